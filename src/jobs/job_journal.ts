import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A change that has to outlive this process. */
export type JournalChange =
  | {readonly kind: 'definition'; readonly definition: job.JobDefinition}
  | {
      readonly kind: 'progress';
      readonly id: string;
      readonly progress: jobRecord.JobProgress;
    }
  /** The job is done with. */
  | {readonly kind: 'dropped'; readonly id: string}
  /** The workers on which anything may run. */
  | {
      readonly kind: 'workers';
      readonly workers: ReadonlyArray<StoredWorker>;
    };

/** A worker that a successor has to find, or else wait for its leases. */
export interface StoredWorker {
  readonly entry: remoteWorker.RegistryEntry;
  /**
   * The jobs that have runs there, when nothing more is started there. While
   * it is undefined, a run of any job may be there.
   */
  readonly closedJobs?: ReadonlyArray<string>;
}

/** What an earlier term stored. */
export interface JournalContent {
  readonly jobs: ReadonlyArray<{
    readonly definition: job.JobDefinition;
    readonly progress: jobRecord.JobProgress | undefined;
  }>;
  readonly workers: ReadonlyArray<StoredWorker>;
}

/** What came of storing changes. */
export type StoreOutcome =
  | 'stored'
  /** Surely not stored; may be tried again. */
  | 'refused'
  /** May be stored now or later; the same call may be repeated. */
  | 'unanswered'
  /** A later term has closed the journal to this one. */
  | 'superseded';

/** The journal of all jobs in the platform's store, open to one term. */
export interface JobJournalStore {
  /** Closes the journal to earlier terms. */
  open(term: number): Promise<StoreOutcome>;
  /** Reads all that is stored; undefined when it can't be read now. */
  load(): Promise<JournalContent | undefined>;
  /**
   * Stores changes all or nothing. `sequence` rises by one with each new set;
   * the same number repeats the same set without storing it twice.
   */
  append(
    term: number,
    sequence: number,
    changes: ReadonlyArray<JournalChange>,
    timeoutMs: number,
  ): Promise<StoreOutcome>;
}

/** Time for the answer to the first call with a set of changes. */
const APPEND_TIMEOUT_MS = 900;

/** Time for later calls with it: they show when the store is back. */
const RETRY_TIMEOUT_MS = 350;

/** Pause before a call that got no answer or a refusal is repeated. */
const RETRY_DELAY_MS = 120;

/** Waits between attempts; tests replace it. */
export interface Pauses {
  pause(milliseconds: number): Promise<void>;
}

/** Called when the change it was given with is stored. */
export type StoredListener = () => void;

/**
 * Writes changes in order, one call at a time. Changes that gather while a
 * call is out go into the next one; of one job only the newest progress goes.
 */
export class JobJournal {
  private readonly pending = new Map<string, () => JournalChange>();
  private storedListeners: StoredListener[] = [];
  private writing = false;
  private closed = false;
  private sequence = 0;
  private unansweredSince: clock.Milliseconds | undefined;

  constructor(
    private readonly store: JobJournalStore,
    private readonly term: number,
    private readonly clock: clock.Clock,
    private readonly pauses: Pauses,
    private readonly onSuperseded: () => void,
  ) {}

  /** How long the store has left a change unanswered; 0 when none is out. */
  unansweredMs(now: clock.Milliseconds): number {
    return this.unansweredSince === undefined ? 0 : now - this.unansweredSince;
  }

  /** The store was last silent, and nothing waits that would show a change. */
  get needsProbe(): boolean {
    return this.unansweredSince !== undefined && !this.writing;
  }

  /** Queues a change under a key; `read` is called when it is sent. */
  put(key: string, read: () => JournalChange, onStored?: StoredListener): void {
    this.pending.delete(key);
    this.pending.set(key, read);
    if (onStored !== undefined) this.storedListeners.push(onStored);
    if (!this.writing) void this.writePending();
  }

  /** Withdraws a change that has not been sent; false when it may be. */
  withdraw(key: string): boolean {
    return this.pending.delete(key);
  }

  /** Sends nothing more. */
  close(): void {
    this.closed = true;
  }

  private async writePending(): Promise<void> {
    this.writing = true;
    // Changes of the same turn share a call.
    await Promise.resolve();
    while (this.pending.size > 0 && !this.closed) await this.appendBatch();
    this.writing = false;
  }

  /** Sends all that waits until it is stored, or surely is not. */
  private async appendBatch(): Promise<void> {
    const sent = new Map(this.pending);
    const {storedListeners: listeners} = this;
    const changes = [...sent.values()].map(read => read());
    this.pending.clear();
    this.storedListeners = [];
    this.unansweredSince ??= this.clock.now();
    const outcome = await this.appendUntilCertain(this.sequence + 1, changes);
    if (outcome === 'refused') {
      this.requeue(sent, listeners);
      await this.pauses.pause(RETRY_DELAY_MS);
    }
    if (outcome !== 'stored') return;
    this.sequence += 1;
    this.unansweredSince = undefined;
    for (const listener of listeners) listener();
  }

  /** The set was surely not stored: its changes wait as if never sent. */
  private requeue(
    sent: ReadonlyMap<string, () => JournalChange>,
    listeners: ReadonlyArray<StoredListener>,
  ): void {
    const newer = [...this.pending];
    this.pending.clear();
    for (const [key, read] of [...sent, ...newer]) this.pending.set(key, read);
    this.storedListeners = [...listeners, ...this.storedListeners];
  }

  /**
   * Repeats a call that got no answer until its outcome is certain: such a
   * call may take effect later.
   */
  private async appendUntilCertain(
    sequence: number,
    changes: ReadonlyArray<JournalChange>,
  ): Promise<'stored' | 'refused' | 'closed'> {
    let outcomeUnknown = false;
    while (!this.closed) {
      const outcome = await this.store.append(
        this.term,
        sequence,
        changes,
        outcomeUnknown ? RETRY_TIMEOUT_MS : APPEND_TIMEOUT_MS,
      );
      if (outcome === 'stored') return 'stored';
      if (outcome === 'superseded') {
        this.closed = true;
        this.onSuperseded();
        return 'closed';
      }
      if (outcome === 'unanswered') outcomeUnknown = true;
      if (outcome === 'refused' && !outcomeUnknown) return 'refused';
      await this.pauses.pause(RETRY_DELAY_MS);
    }
    return 'closed';
  }
}
