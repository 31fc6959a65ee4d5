import type * as adviceCache from './advice_cache.js';
import type * as earlierLeases from './earlier_leases.js';
import type * as clock from '../machines/clock.js';
import type * as jobJournal from './job_journal.js';
import type * as linkLoads from '../machines/link_load.js';
import type * as loopMeter from '../machines/loop_meter.js';
import type * as loopLoads from '../machines/loop_load.js';
import type * as workerClient from '../machines/worker_client.js';

/** Log of structured events, one for each decision. */
export interface EventLog {
  event(
    level: 'info' | 'warn' | 'error',
    name: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void;
}

/** Metrics: counts outcomes by reason and records durations. */
export interface Counters {
  count(name: string, reason: string, amount?: number): void;
  observe(name: string, milliseconds: number): void;
}

/** Retention times that the platform configures. */
export interface RetentionTimes {
  /** How long a job's state stays available after the job has settled. */
  readonly stateKeptMs: number;
}

/** Dependencies and settings of a scheduler; tests pass fakes. */
export interface SchedulerOptions {
  /** Position of this term's claim in the cell's log. */
  readonly term: number;
  readonly clock: clock.Clock;
  /** Returns Unix time in milliseconds. */
  readonly wallClock: () => number;
  readonly retentionTimes: RetentionTimes;
  readonly journalStore: jobJournal.JobJournalStore;
  readonly workerClient: workerClient.WorkerClient;
  readonly adviceClient: adviceCache.CellAdviceClient;
  readonly timer: jobJournal.DelayTimer;
  readonly loopLoad: loopLoads.LoopLoadSource;
  readonly linkLoad: linkLoads.LinkLoadSource;
  readonly loopMeter: loopMeter.LoopMeter;
  readonly log: EventLog;
  readonly counters: Counters;
  /**
   * Returns whether no other leader has existed lately, so that a job which is
   * refused here was accepted nowhere.
   */
  readonly isProvedLeader: () => boolean;
  /** Returns whether leases may be granted and tasks started. */
  readonly mayGrantLeases: () => boolean;
  /** What this term knows of the leaders before and after it. */
  readonly earlierTerms: earlierLeases.EarlierTerms;
  /**
   * Returns whether the configuration is proven new enough to accept jobs and
   * start tasks by. While it is not, this process asks for a newer one.
   */
  readonly isConfigurationUsable: () => boolean;
  /** Called when a later term is found to exist. */
  readonly onSuperseded: (reason: string) => void;
  /** Runs a slice of work in the next event loop turn, after messages are read. */
  readonly defer: (runSlice: () => void) => void;
}
