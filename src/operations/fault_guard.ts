import type * as clock from '../machines/clock.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Time over which faults are counted. */
const FAULT_WINDOW_MS = 10_000;

/** Faults within the window from which on the process can't be of use. */
const MAXIMUM_FAULTS = 10;

/** Dependencies of a `FaultGuard`. */
export interface FaultGuardOptions {
  readonly clock: clock.Clock;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  /** Discards state that the fault may have left half changed. */
  readonly recover: () => void;
  /** Ends the process, so that the platform starts it anew. */
  readonly exit: () => void;
}

/**
 * Last resort for errors that nothing else has handled. One of them, which a
 * single message may cause, must not end a process that serves many requests.
 */
export class FaultGuard {
  private faultTimes: ReadonlyArray<clock.Milliseconds> = [];

  constructor(private readonly options: FaultGuardOptions) {}

  /** Logs and counts an error, and recovers, or exits if there are too many. */
  handle(error: unknown): void {
    const {clock, log, counters, recover, exit} = this.options;
    const now = clock.now();
    this.faultTimes = [...this.faultTimes, now].filter(
      time => now - time < FAULT_WINDOW_MS,
    );
    const detail = error instanceof Error ? error.stack : String(error);
    counters.count('turn_failed', 'unhandled');
    log.event('error', 'turnFailed', {fault: detail});
    if (this.faultTimes.length >= MAXIMUM_FAULTS) exit();
    else recover();
  }
}
