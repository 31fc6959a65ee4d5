import type * as clock from '../machines/clock.js';
import type * as jobJournal from '../jobs/job_journal.js';

/** Interval between two calls of this process to a leader that doesn't serve. */
const PROBE_INTERVAL_MS = 60;

/**
 * Holds back calls while the leader does not serve, for example while it reads
 * the journal. Whatever the number of waiting calls, only one is sent for each
 * interval; once one of them is answered, the others follow.
 */
export class LeaderGate {
  private open = true;
  private nextProbeAt: clock.Milliseconds = -Infinity;

  constructor(
    private readonly clock: clock.Clock,
    private readonly timer: jobJournal.DelayTimer,
  ) {}

  /** Records that the leader answered a call. */
  recordAnswer(): void {
    this.open = true;
  }

  /** Records that the leader refused a call or did not serve it. */
  recordRefusal(): void {
    this.open = false;
  }

  /** Resolves once a call may be sent, or at `until`. */
  async pass(until: clock.Milliseconds): Promise<void> {
    if (this.open) return;
    const now = this.clock.now();
    const probeAt = Math.max(now, this.nextProbeAt) + PROBE_INTERVAL_MS;
    this.nextProbeAt = probeAt;
    while (!this.open && this.clock.now() < Math.min(probeAt, until)) {
      await this.timer.delay(PROBE_INTERVAL_MS);
    }
  }
}
