import type * as clock from '../machines/clock.js';
import type * as jobJournal from '../jobs/job_journal.js';

/** Interval between two calls of this process to a leader that doesn't serve. */
const PROBE_INTERVAL_MS = 60;

/** Scheduler in this process, which is called without the network. */
export interface LocalScheduler {
  /** Whether the scheduler leads and has loaded the jobs. */
  readonly servesJobs: boolean;
}

/** Call that waits for a serving leader. */
interface WaitingCall {
  readonly until: clock.Milliseconds;
  /** Ends the wait; the call may be sent if `mayCall` is true. */
  readonly end: (mayCall: boolean) => void;
}

/**
 * Holds back calls while the leader does not serve, for example while it reads
 * the journal. Whatever the number of waiting calls, only one is sent for each
 * interval; once one of them is answered, the others follow.
 */
export class LeaderGate {
  private open = true;
  /** Time from which the next call may be sent to a leader that doesn't serve. */
  private nextProbeAt: clock.Milliseconds = -Infinity;
  /** Calls that wait, the longest waiting one first. */
  private waitingCalls: WaitingCall[] = [];
  private isReviewing = false;

  constructor(
    private readonly clock: clock.Clock,
    private readonly timer: jobJournal.DelayTimer,
    private readonly localScheduler: LocalScheduler,
  ) {}

  /** Records that the leader answered a call. */
  recordAnswer(): void {
    this.open = true;
    this.review();
  }

  /** Records that the leader refused a call or did not serve it. */
  recordRefusal(): void {
    if (this.open) this.nextProbeAt = this.clock.now() + PROBE_INTERVAL_MS;
    this.open = false;
  }

  /**
   * Resolves to true once a call may be sent, or to false if it may not be sent
   * before `until`.
   */
  async pass(until: clock.Milliseconds): Promise<boolean> {
    const now = this.clock.now();
    if (until <= now) return false;
    if (this.admits(now)) return true;
    return new Promise(resolve => {
      this.waitingCalls.push({until, end: resolve});
      void this.reviewUntilEmpty();
    });
  }

  /** Reviews the waiting calls at each probe time until none is left. */
  private async reviewUntilEmpty(): Promise<void> {
    if (this.isReviewing) return;
    this.isReviewing = true;
    while (this.waitingCalls.length > 0) {
      await this.timer.delay(this.nextProbeAt - this.clock.now());
      this.review();
    }
    this.isReviewing = false;
  }

  /** Ends the wait of calls that may be sent, or whose time is over. */
  private review(): void {
    const now = this.clock.now();
    this.waitingCalls = this.waitingCalls.filter(({until, end}) => {
      const isOver = until <= now;
      const mayCall = !isOver && this.admits(now);
      if (isOver || mayCall) end(mayCall);
      return !isOver && !mayCall;
    });
  }

  /** Returns whether a call may be sent now, and counts it as a probe if so. */
  private admits(now: clock.Milliseconds): boolean {
    if (this.open || this.localScheduler.servesJobs) return true;
    if (now < this.nextProbeAt) return false;
    this.nextProbeAt = now + PROBE_INTERVAL_MS;
    return true;
  }
}
