import type * as clock from '../machines/clock.js';

/**
 * Advance of the time of day over the steady clock from which on this VM may
 * have been suspended.
 */
const SUSPICIOUS_ADVANCE_MS = 200;

/**
 * Notices that this VM may have been suspended. The steady clock stands still
 * meanwhile, so that permissions seem to last longer than they do; the time of
 * day goes on. A correction of the time of day looks the same.
 */
export class SuspensionDetector {
  private offsetMs: number;

  constructor(
    private readonly steadyClock: clock.Clock,
    /** Returns Unix time in milliseconds. */
    private readonly wallClock: () => number,
  ) {
    this.offsetMs = this.readOffset();
  }

  /** Returns how long this VM may have been suspended since the last call. */
  review(): number {
    const offsetMs = this.readOffset();
    const advanceMs = offsetMs - this.offsetMs;
    this.offsetMs = offsetMs;
    return advanceMs < SUSPICIOUS_ADVANCE_MS ? 0 : advanceMs;
  }

  private readOffset(): number {
    return this.wallClock() - this.steadyClock.now();
  }
}
