import type * as clock from './clock.js';

/** Time between reads while the report has to settle what became of a task. */
const URGENT_INTERVAL_MS = 1_000;

/** Time between reads otherwise. Most of a process's traffic at rest. */
const QUIET_INTERVAL_MS = 3_000;

/** Time after which a read that got no answer is repeated. */
const RETRY_INTERVAL_MS = 500;

/**
 * Oldest report on which a start may rest. With the lease of the start it
 * bounds how long a leaving worker gets new tasks, even if reports are lost.
 */
const START_AGE_MS = 4_000;

/** Time after which a read that was never answered is no longer awaited. */
const READ_LIMIT_MS = 5_000;

interface ReportTimes {
  readonly due: clock.Milliseconds;
  /** When the open read was sent; -Infinity when none is open. */
  readonly openSince: clock.Milliseconds;
  /** Send time of the newest report that was used. */
  readonly newest: clock.Milliseconds;
}

const NEW: ReportTimes = {due: 0, openSince: -Infinity, newest: -Infinity};

/** When each worker's report is read; at most one read is open a worker. */
export class ReportSchedule {
  private readonly times = new Map<string, ReportTimes>();

  /** Tells whether a read is to be sent now, and notes that it is. */
  take(worker: string, now: clock.Milliseconds, urgent: boolean): boolean {
    const known = this.times.get(worker) ?? NEW;
    if (now < this.dueAt(known)) return false;
    const interval = urgent ? URGENT_INTERVAL_MS : QUIET_INTERVAL_MS;
    this.times.set(worker, {...known, due: now + interval, openSince: now});
    return true;
  }

  /** Returns when `take` is wanted next for a worker. */
  due(worker: string): clock.Milliseconds {
    return this.dueAt(this.times.get(worker) ?? NEW);
  }

  /** Moves the next read forward. */
  hurry(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker) ?? NEW;
    this.times.set(worker, {...known, due: Math.min(known.due, now)});
  }

  /** Notes a report; false when a newer one has been used already. */
  arrived(worker: string, sentAt: clock.Milliseconds): boolean {
    const known = this.times.get(worker) ?? NEW;
    const newer = sentAt >= known.newest;
    const newest = Math.max(known.newest, sentAt);
    this.times.set(worker, {...known, openSince: -Infinity, newest});
    return newer;
  }

  /** Notes that a read got no answer. */
  failed(worker: string, now: clock.Milliseconds): void {
    const known = this.times.get(worker);
    if (known === undefined) return;
    const due = Math.min(known.due, now + RETRY_INTERVAL_MS);
    this.times.set(worker, {...known, due, openSince: -Infinity});
  }

  /** Whether the last report is new enough to start a task on the worker. */
  isFresh(worker: string, now: clock.Milliseconds): boolean {
    const {newest} = this.times.get(worker) ?? NEW;
    return now - newest <= START_AGE_MS;
  }

  private dueAt(known: ReportTimes): clock.Milliseconds {
    return Math.max(known.due, known.openSince + READ_LIMIT_MS);
  }
}
