import type * as adviceBook from './advice_book.js';
import type * as clock from '../machines/clock.js';
import type * as jobJournal from './job_journal.js';
import type * as workerClient from '../machines/worker_client.js';

/** Receives one event a decision. */
export interface EventLog {
  event(
    level: 'info' | 'warn' | 'error',
    name: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void;
}

/** Counts refusals, retries and other outcomes by reason. */
export interface Counters {
  count(name: string, reason: string): void;
  observe(name: string, milliseconds: number): void;
}

/** Times that the platform promises or asks for. */
export interface Bounds {
  /** States are kept for this long after the end of a job. */
  readonly stateKeptMs: number;
}

/** What a scheduler works with; tests pass fakes. */
export interface SchedulerOptions {
  /** Position of the claim in the cell's log: the fencing token. */
  readonly term: number;
  readonly clock: clock.Clock;
  readonly wallClock: () => number;
  readonly bounds: Bounds;
  readonly journal: jobJournal.JournalStore;
  readonly workers: workerClient.WorkerClient;
  readonly advice: adviceBook.AdviceCalls;
  readonly pauses: jobJournal.Pauses;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Tells whether this process still has proof that it may lead. */
  readonly mayExtend: () => boolean;
  /** A later term exists. */
  readonly onSuperseded: (reason: string) => void;
  /** Runs a placement pass after the present turn. */
  readonly defer: (pass: () => void) => void;
}
