import type * as clock from '../machines/clock.js';

/** Time between two reviews from which on this process itself was late. */
const LATE_REVIEW_MS = 1_000;

/**
 * Notices that this process reviews its members late. It may not have heard
 * them meanwhile, so their silence before such a review tells nothing.
 */
export class ReviewGapDetector {
  private reviewedAt: clock.Milliseconds = -Infinity;

  /** Starts anew, as if after a review. */
  restart(now: clock.Milliseconds): void {
    this.reviewedAt = now;
  }

  /** Records a review; returns whether it comes late after the last one. */
  recordReview(now: clock.Milliseconds): boolean {
    const isLate = now - this.reviewedAt > LATE_REVIEW_MS;
    this.reviewedAt = now;
    return isLate;
  }
}
