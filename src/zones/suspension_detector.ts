import type * as clock from '../machines/clock.js';

/**
 * Advance of the time of day over the steady clock from which on this VM may
 * have been suspended.
 */
const SUSPICIOUS_ADVANCE_MS = 200;

/** Drift of the time of day, in each millisecond, that is no suspension. */
const TOLERATED_DRIFT = 0.02;

/**
 * Notices that this VM may have been suspended. The steady clock stands still
 * meanwhile, so that permissions seem to last longer than they do; the time of
 * day goes on. A correction of the time of day looks the same.
 */
export class SuspensionDetector {
  private offsetMs: number;
  private reviewedAt: clock.Milliseconds;

  constructor(
    private readonly steadyClock: clock.Clock,
    /** Returns Unix time in milliseconds. */
    private readonly wallClock: () => number,
  ) {
    this.reviewedAt = steadyClock.now();
    this.offsetMs = wallClock() - this.reviewedAt;
  }

  /**
   * Returns how long this VM may have been suspended since that was last told.
   * Short suspensions add up.
   */
  review(): number {
    const now = this.steadyClock.now();
    const tolerated = TOLERATED_DRIFT * (now - this.reviewedAt);
    const offsetMs = this.wallClock() - now;
    const advanceMs = offsetMs - this.offsetMs - tolerated;
    this.reviewedAt = now;
    // An advance within the tolerance, or a time that is set back, is forgotten.
    this.offsetMs = advanceMs > 0 ? this.offsetMs + tolerated : offsetMs;
    if (advanceMs < SUSPICIOUS_ADVANCE_MS) return 0;
    this.offsetMs = offsetMs;
    return advanceMs;
  }
}
