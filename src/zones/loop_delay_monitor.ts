import type * as clock from '../machines/clock.js';

/** Time between two ticks of a loop that is not late. */
const USUAL_TICK_GAP_MS = 100;

/** Time between two ticks above which the loop was late. */
const MAXIMUM_TICK_GAP_MS = 250;

/**
 * Measures how late this process's event loop is by its periodic ticks. In a
 * late turn, messages that arrived may not have been read yet, so silence must
 * not be blamed on the senders.
 */
export class LoopDelayMonitor {
  constructor(private lastTickAt: clock.Milliseconds) {}

  /** Records a tick; returns the time since the previous one. */
  recordTick(now: clock.Milliseconds): number {
    const gapMs = now - this.lastTickAt;
    this.lastTickAt = now;
    return gapMs;
  }

  /** Returns the time since the last tick in which the loop was blocked. */
  lostMs(now: clock.Milliseconds): number {
    return lostTimeMs(now - this.lastTickAt);
  }
}

/** Returns the part of a gap between ticks in which the loop was blocked. */
export function lostTimeMs(tickGapMs: number): number {
  return tickGapMs > MAXIMUM_TICK_GAP_MS ? tickGapMs - USUAL_TICK_GAP_MS : 0;
}
