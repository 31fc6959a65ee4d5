import type * as clock from './clock.js';

/** Interval between reads while the state of a task depends on the report. */
const URGENT_INTERVAL_MS = 1_000;

/** Interval between reads otherwise; most of the traffic of an idle process. */
const QUIET_INTERVAL_MS = 3_000;

/** Delay before a failed read is repeated. */
const READ_RETRY_MS = 500;

/**
 * Maximum age of the last report for starting a task. Together with the start
 * lease it bounds how long a leaving worker gets new tasks if reports are lost.
 */
const START_REPORT_AGE_LIMIT_MS = 4_000;

/** Time after which a read without any answer counts as lost. */
const READ_TIMEOUT_MS = 5_000;

interface ReadTimes {
  readonly dueAt: clock.Milliseconds;
  /** When the pending read was sent; -Infinity when none is pending. */
  readonly pendingSince: clock.Milliseconds;
  /** Request time of the newest report that was used. */
  readonly newestSentAt: clock.Milliseconds;
}

const NEVER_READ: ReadTimes = {
  dueAt: 0,
  pendingSince: -Infinity,
  newestSentAt: -Infinity,
};

/** Schedules the reads of worker reports, at most one pending per worker. */
export class ReportSchedule {
  private readonly times = new Map<string, ReadTimes>();

  /** Returns whether a read is due and, if so, records it as sent. */
  startReadIfDue(
    worker: string,
    now: clock.Milliseconds,
    urgent: boolean,
  ): boolean {
    const known = this.times.get(worker) ?? NEVER_READ;
    if (now < this.dueTime(known)) return false;
    const interval = urgent ? URGENT_INTERVAL_MS : QUIET_INTERVAL_MS;
    this.times.set(worker, {
      ...known,
      dueAt: now + interval,
      pendingSince: now,
    });
    return true;
  }

  /** Returns when the next read of a worker's report is due. */
  nextReadAt(worker: string): clock.Milliseconds {
    return this.dueTime(this.times.get(worker) ?? NEVER_READ);
  }

  /** Makes the next read due now. */
  expedite(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker) ?? NEVER_READ;
    this.times.set(worker, {...known, dueAt: Math.min(known.dueAt, now)});
  }

  /** Records a report; returns false when a newer one has been used already. */
  recordReport(worker: string, sentAt: clock.Milliseconds): boolean {
    const known = this.times.get(worker) ?? NEVER_READ;
    const newer = sentAt >= known.newestSentAt;
    const newestSentAt = Math.max(known.newestSentAt, sentAt);
    this.times.set(worker, {
      ...known,
      pendingSince: -Infinity,
      newestSentAt,
    });
    return newer;
  }

  /** Records that a read failed and schedules a retry. */
  recordFailure(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker);
    if (known === undefined) return;
    const dueAt = Math.min(known.dueAt, now + READ_RETRY_MS);
    this.times.set(worker, {...known, dueAt, pendingSince: -Infinity});
  }

  /** Returns whether the last report is recent enough to start a task. */
  isFresh(worker: string, now: clock.Milliseconds): boolean {
    const {newestSentAt} = this.times.get(worker) ?? NEVER_READ;
    return now - newestSentAt <= START_REPORT_AGE_LIMIT_MS;
  }

  private dueTime(known: ReadTimes): clock.Milliseconds {
    return Math.max(known.dueAt, known.pendingSince + READ_TIMEOUT_MS);
  }
}
