import * as jobCell from './job_cell.js';
import * as scriptedWorkers from './scripted_workers.js';
import * as loopMeter from '../../src/machines/loop_meter.js';
import * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';

/** Label that the workers have and the steps require. */
const LABEL = 'a';

/** Microtask turns after which all promise callbacks have run. */
const MICROTASK_TURNS = 40;

/** Journal store that answers at once and keeps what it is given. */
class InstantJournalStore implements jobJournal.JobJournalStore {
  readonly changes: jobJournal.JournalChange[] = [];
  /** Number of changes of each append. */
  readonly batchSizes: number[] = [];
  /** Whether appends are neither stored nor answered in time. */
  isSilent = false;

  constructor(private readonly content: jobJournal.JournalContent) {}

  async open(): Promise<jobJournal.StoreOutcome> {
    return 'stored';
  }

  async load(): Promise<jobJournal.JournalContent> {
    return this.content;
  }

  measure(): jobJournal.ChangeSize {
    return {bytes: 0};
  }

  async append(
    _term: number,
    _sequence: number,
    changes: ReadonlyArray<jobJournal.JournalChange>,
  ): Promise<jobJournal.StoreOutcome> {
    if (this.isSilent) return 'unanswered';
    this.batchSizes.push(changes.length);
    this.changes.push(...changes);
    return 'stored';
  }
}

/** What one event loop turn of the scheduler did. */
export interface Turn {
  readonly durationMs: number;
  /** Pairs of a step and a worker that were looked at. */
  readonly examinedPairs: number;
}

/** Settings of a `BacklogCell`. */
export interface BacklogOptions {
  readonly workerCount: number;
  readonly queues?: ReadonlyArray<job.Queue>;
  readonly advice?: adviceCache.CellAdviceClient;
  readonly stored?: jobJournal.JournalContent;
}

/**
 * One scheduler whose workers, journal and event loop are driven by hand, one
 * turn at a time. Counts how many pairs of a step and a worker each turn looks
 * at, by the reads of the workers' labels.
 */
export class BacklogCell {
  readonly scheduler: jobScheduler.JobScheduler;
  readonly workers = new scriptedWorkers.ScriptedWorkers(() => this.nowMs);
  readonly journal: InstantJournalStore;
  readonly counts = new Map<string, number>();
  nowMs = 1_000;
  private entries: ReadonlyArray<remoteWorker.RegistryEntry>;
  private labelReads = 0;
  private deferred: Array<() => void> = [];
  private delayed: Array<() => void> = [];

  constructor(options: BacklogOptions) {
    this.journal = new InstantJournalStore(
      options.stored ?? {jobs: [], workers: [], queues: []},
    );
    this.scheduler = new jobScheduler.JobScheduler({
      term: 1,
      clock: {now: () => this.nowMs},
      wallClock: () => this.nowMs,
      retentionTimes: {stateKeptMs: 120_000},
      journalStore: this.journal,
      workerClient: this.workers,
      adviceClient: options.advice ?? {
        accepts: () => false,
        ask: async () => ({kind: 'busy'}),
      },
      timer: {
        delay: () => new Promise(resolve => this.delayed.push(resolve)),
      },
      loopLoad: {delayMs: 0, times: {active: 0, idle: 0}},
      linkLoad: {sendDelayMs: 0},
      loopMeter: new loopMeter.LoopMeter({now: () => this.nowMs}),
      log: {event: () => {}},
      counters: {count: name => this.count(name), observe: () => {}},
      mayGrantLeases: () => true,
      isProvedLeader: () => true,
      earlierTerms: {
        provedLeaderAt: () => this.nowMs,
        majorityInformedAt: () => 0,
        grantorInformedAt: () => 0,
      },
      isConfigurationUsable: () => true,
      onSuperseded: () => {},
      defer: run => this.deferred.push(run),
    });
    this.scheduler.configure({
      version: 1,
      queues: options.queues ?? [jobCell.QUEUE],
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    });
    this.entries = this.buildEntries(options.workerCount);
    this.scheduler.updateWorkers(this.entries);
  }

  /** Whether a callback waits for the next turn. */
  get hasTurn(): boolean {
    return this.deferred.length > 0;
  }

  /** Begins the term and runs all turns of the takeover. */
  async begin(): Promise<ReadonlyArray<Turn>> {
    void this.scheduler.begin();
    return this.runTurns();
  }

  /** Returns a job that runs only on this cell's workers. */
  jobOf(id: string, step: Partial<job.Step> = {}): job.JobDefinition {
    return jobCell.jobOf(id, {requiredLabel: LABEL, ...step});
  }

  submit(id: string, step: Partial<job.Step> = {}): void {
    jobCell.submit(this.scheduler, this.jobOf(id, step));
  }

  /** Lets the registry list a worker as draining. */
  drain(id: string): void {
    this.entries = this.entries.map(entry =>
      entry.id === id
        ? this.withCountedLabels({...entry, state: 'draining'})
        : entry,
    );
    this.scheduler.updateWorkers(this.entries);
  }

  /** Runs turns until none is left, and returns what each of them did. */
  async runTurns(maximumCount = 100_000): Promise<ReadonlyArray<Turn>> {
    const turns: Turn[] = [];
    await this.endDelays();
    while (this.deferred.length > 0 && turns.length < maximumCount) {
      turns.push(this.runTurn());
      await this.endDelays();
    }
    return turns;
  }

  /** Ends the delays that are running; each lasts until the next turn. */
  private async endDelays(): Promise<void> {
    await drainMicrotasks();
    const {delayed} = this;
    this.delayed = [];
    for (const end of delayed) end();
    await drainMicrotasks();
  }

  private runTurn(): Turn {
    const callbacks = this.deferred;
    this.deferred = [];
    const readsBefore = this.labelReads;
    const startedAtMs = performance.now();
    for (const callback of callbacks) callback();
    return {
      durationMs: performance.now() - startedAtMs,
      examinedPairs: this.labelReads - readsBefore,
    };
  }

  private buildEntries(
    count: number,
  ): ReadonlyArray<remoteWorker.RegistryEntry> {
    return Array.from({length: count}, (_unused, index) =>
      this.withCountedLabels(jobCell.registryEntry(`w${index}`)),
    );
  }

  private withCountedLabels(
    entry: remoteWorker.RegistryEntry,
  ): remoteWorker.RegistryEntry {
    const countRead = (): void => {
      this.labelReads += 1;
    };
    return Object.defineProperty({...entry}, 'labels', {
      enumerable: true,
      get: () => {
        countRead();
        return entry.labels;
      },
    });
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
}
