import * as jobScheduler from '../jobs/job_scheduler.js';
import type * as clock from '../machines/clock.js';

/**
 * Proof that this process may still lead: no later term was known at a recent
 * time. A successor waits for the proof's lifetime before it relies on the old
 * leader having stopped.
 */
export class LeadershipProof {
  private provedAt: clock.Milliseconds = -Infinity;
  private acceptedFrom: clock.Milliseconds = -Infinity;

  /** Records that no later term was known at `at`. */
  prove(at: clock.Milliseconds): void {
    this.provedAt = Math.max(this.provedAt, at);
  }

  /** Accepts a message that is read now and knows no later term. */
  acceptMessage(now: clock.Milliseconds): void {
    if (now >= this.acceptedFrom) this.prove(now);
  }

  /**
   * Voids the proof after a pause of this process. Messages that are read
   * before `acceptedFrom` may be from before the pause.
   */
  voidUntil(acceptedFrom: clock.Milliseconds): void {
    this.provedAt = -Infinity;
    this.acceptedFrom = acceptedFrom;
  }

  isValid(now: clock.Milliseconds): boolean {
    return now - this.provedAt < jobScheduler.LEADERSHIP_PROOF_LIFETIME_MS;
  }
}
