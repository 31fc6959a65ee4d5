import type * as clock from '../machines/clock.js';
import type * as runRecovery from './run_recovery.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Interval of logging what a takeover still waits for. */
const REPORT_INTERVAL_MS = 2_000;

/** Most workers that one such line names. */
const MAXIMUM_REPORTED_WORKERS = 3;

/** Logs what the jobs of earlier terms wait for, once per interval. */
export class RecoveryReporter {
  private nextReportAt: clock.Milliseconds;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    this.nextReportAt = options.clock.now() + REPORT_INTERVAL_MS;
  }

  /** Logs a line if it is due; called several times a second. */
  review(
    now: clock.Milliseconds,
    recovery: runRecovery.RunRecovery | undefined,
  ): void {
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + REPORT_INTERVAL_MS;
    if (recovery === undefined || recovery.complete) return;
    const {blockedJobs, ofAllJobs, unreportedWorkers} = recovery.waits;
    this.options.log.event('info', 'recoveryWaits', {
      term: this.options.term,
      jobs: blockedJobs,
      unreported: unreportedWorkers,
      ofAllJobs: ofAllJobs.length,
      workers: ofAllJobs
        .slice(0, MAXIMUM_REPORTED_WORKERS)
        .map(({id, restarted}) => (restarted ? `${id}(restarted)` : id))
        .join(' '),
    });
  }
}
