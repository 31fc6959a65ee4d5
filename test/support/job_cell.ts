import * as fakeJournalStore from './fake_journal_store.js';
import * as fakeWorkers from './fake_workers.js';
import * as jobScheduler from '../../src/jobs/job_scheduler.js';
import * as simulatedClock from './simulated_clock.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';
import type * as workerModel from '../../stand_ins/worker_model.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as schedulerOptions from '../../src/jobs/scheduler_options.js';
import type * as job from '../../src/jobs/job.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';

/** The queue of most tests. */
export const QUEUE: job.Queue = {
  name: 'orders',
  host: 'orders.example',
  pathPrefix: '/orders/',
  service: 'dispatch',
  priority: 0,
  attempts: 2,
  stretch: 1.5,
  objectiveMs: 500,
  timeoutMs: 3_000,
};

/** A step of one task that needs a core for a second. */
export const STEP: job.Step = {
  count: 1,
  size: {processors: 1_000, memory: 1_024, accelerators: 0, slots: 1},
  estimatedRuntimeMs: 1_000,
  after: [],
  gang: false,
  sameRack: false,
  checkpointing: false,
  duplicatesAllowed: false,
  longRunning: false,
  usesIdleCapacity: false,
};

/** A job of the given steps. */
export function jobOf(
  id: string,
  ...steps: ReadonlyArray<Partial<job.Step>>
): job.JobDefinition {
  return {
    id,
    queue: QUEUE.name,
    payload: `payload of ${id}`,
    steps: steps.map(step => ({...STEP, ...step})),
  };
}

/** A worker of four cores. */
export function workerEntry(
  name: string,
  changes: Partial<remoteWorker.RegistryEntry> = {},
): remoteWorker.RegistryEntry {
  return {
    id: name,
    born: 1,
    machine: `machine-${name}`,
    address: `${name}:1`,
    service: QUEUE.service,
    zone: 'kigali-a',
    state: 'ready',
    capacity: {
      processors: 4_000,
      memory: 16_384,
      accelerators: 0,
      slots: Number.MAX_SAFE_INTEGER,
    },
    labels: ['a', 'r1-1'],
    ...changes,
  };
}

/** All runs take a second and succeed. */
export const ONE_SECOND_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 1_000,
  outcome: 'done',
});

/** Schedulers over fakes of all that is around them, in simulated time. */
export class JobCell {
  readonly time = new simulatedClock.SimulatedClock();
  readonly workers = new fakeWorkers.FakeWorkers(this.time);
  readonly journal = new fakeJournalStore.FakeJournalStore(this.time);
  readonly superseded: string[] = [];
  /** Receives what schedulers log. */
  log: schedulerOptions.EventLog = {event: () => {}};
  /** Whether the scheduler has proof that it may lead. */
  hasLeadershipProof = true;
  queues: ReadonlyArray<job.Queue> = [QUEUE];
  advice: adviceCache.AdviceClient = {
    accepts: () => true,
    ask: async () => ({kind: 'busy'}),
  };
  entries: ReadonlyArray<remoteWorker.RegistryEntry> = [];

  /** Adds workers with the same plan. */
  addWorkers(plan: workerModel.RunPlan, ...names: string[]): void {
    for (const name of names) this.addWorker(workerEntry(name), plan);
  }

  addWorker(
    entry: remoteWorker.RegistryEntry,
    plan: workerModel.RunPlan = ONE_SECOND_RUNS,
  ): workerModel.WorkerModel {
    this.entries = [...this.entries, entry];
    return this.workers.add(entry, plan);
  }

  /** Begins a term and lets it take over. */
  async startTerm(
    term: number,
    mayExtend: () => boolean = () => this.hasLeadershipProof,
  ): Promise<jobScheduler.JobScheduler> {
    const started = new jobScheduler.JobScheduler({
      term,
      clock: this.time,
      wallClock: () => this.time.now(),
      retentionTimes: {stateKeptMs: 120_000},
      journalStore: this.journal,
      workerCalls: this.workers,
      adviceClient: {
        accepts: expectedMs => this.advice.accepts(expectedMs),
        ask: (...call) => this.advice.ask(...call),
      },
      pauses: this.time,
      log: this.log,
      counters: {count: () => {}, observe: () => {}},
      mayGrantLeases: mayExtend,
      onSuperseded: reason => {
        this.superseded.push(reason);
        started.retire();
      },
      defer: pass => this.time.runAt(this.time.now(), pass),
    });
    started.configure({
      version: 1,
      queues: this.queues,
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    });
    started.updateWorkers(this.entries);
    this.time.runEvery(100, () => started.tick());
    void started.begin();
    await this.time.advance(50);
    return started;
  }

  /** Starts of tasks whose name begins with a text. */
  startsOf(prefix: string): ReadonlyArray<workerModel.WorkerEvent> {
    return this.workers.events.filter(
      event => event.kind === 'started' && event.task.startsWith(prefix),
    );
  }
}

/** Hands a job in and returns what became of it, once it is known. */
export function submit(
  to: jobScheduler.JobScheduler,
  definition: job.JobDefinition,
): {outcome: jobAdmission.SubmitOutcome | undefined} {
  const result: {outcome: jobAdmission.SubmitOutcome | undefined} = {
    outcome: undefined,
  };
  to.submit(definition, 1, outcome => {
    result.outcome = outcome;
  });
  return result;
}
