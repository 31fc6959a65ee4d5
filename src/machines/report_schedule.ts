import type * as clock from './clock.js';

/** Time between reads while the report has to settle what became of a task. */
const URGENT_INTERVAL_MS = 1_000;

/** Time between reads otherwise. Most of a process's traffic at rest. */
const QUIET_INTERVAL_MS = 3_000;

/** Time after which a read that got no answer is repeated. */
const READ_RETRY_MS = 500;

/**
 * Oldest report on which a start may rest. With the lease of the start it
 * bounds how long a leaving worker gets new tasks, even if reports are lost.
 */
const START_REPORT_AGE_LIMIT_MS = 4_000;

/** Time after which a read that was never answered is no longer awaited. */
const READ_TIMEOUT_MS = 5_000;

interface ReadTimes {
  readonly due: clock.Milliseconds;
  /** When the open read was sent; -Infinity when none is open. */
  readonly pendingSince: clock.Milliseconds;
  /** Send time of the newest report that was used. */
  readonly newestSentAt: clock.Milliseconds;
}

const NEVER_READ: ReadTimes = {
  due: 0,
  pendingSince: -Infinity,
  newestSentAt: -Infinity,
};

/** When each worker's report is read; at most one read is open a worker. */
export class ReportSchedule {
  private readonly times = new Map<string, ReadTimes>();

  /** Tells whether a read is to be sent now, and notes that it is. */
  startReadIfDue(
    worker: string,
    now: clock.Milliseconds,
    urgent: boolean,
  ): boolean {
    const known = this.times.get(worker) ?? NEVER_READ;
    if (now < this.dueTime(known)) return false;
    const interval = urgent ? URGENT_INTERVAL_MS : QUIET_INTERVAL_MS;
    this.times.set(worker, {...known, due: now + interval, pendingSince: now});
    return true;
  }

  /** Returns when `take` is wanted next for a worker. */
  nextReadAt(worker: string): clock.Milliseconds {
    return this.dueTime(this.times.get(worker) ?? NEVER_READ);
  }

  /** Moves the next read forward. */
  expedite(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker) ?? NEVER_READ;
    this.times.set(worker, {...known, due: Math.min(known.due, now)});
  }

  /** Notes a report; false when a newer one has been used already. */
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

  /** Notes that a read got no answer. */
  recordFailure(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker);
    if (known === undefined) return;
    const due = Math.min(known.due, now + READ_RETRY_MS);
    this.times.set(worker, {...known, due, pendingSince: -Infinity});
  }

  /** Whether the last report is new enough to start a task on the worker. */
  isFresh(worker: string, now: clock.Milliseconds): boolean {
    const {newestSentAt} = this.times.get(worker) ?? NEVER_READ;
    return now - newestSentAt <= START_REPORT_AGE_LIMIT_MS;
  }

  private dueTime(known: ReadTimes): clock.Milliseconds {
    return Math.max(known.due, known.pendingSince + READ_TIMEOUT_MS);
  }
}
