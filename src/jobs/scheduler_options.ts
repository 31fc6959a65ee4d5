import type * as adviceCache from './advice_cache.js';
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
export interface RetentionTimes {
  /** States are kept for this long after the end of a job. */
  readonly stateKeptMs: number;
}

/** What a scheduler works with; tests pass fakes. */
export interface SchedulerOptions {
  /** Position of the claim in the cell's log: the fencing token. */
  readonly term: number;
  readonly clock: clock.Clock;
  readonly wallClock: () => number;
  readonly retentionTimes: RetentionTimes;
  readonly journalStore: jobJournal.JobJournalStore;
  readonly workerCalls: workerClient.WorkerClient;
  readonly adviceClient: adviceCache.AdviceClient;
  readonly pauses: jobJournal.Pauses;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Tells whether this process still has proof that it may lead. */
  readonly mayGrantLeases: () => boolean;
  /** A later term exists. */
  readonly onSuperseded: (reason: string) => void;
  /** Runs a placement pass after the present turn. */
  readonly defer: (pass: () => void) => void;
}
