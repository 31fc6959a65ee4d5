import type * as clock from '../machines/clock.js';

/** Pause after a placement pass, as a multiple of the pass's duration. */
const PAUSE_FACTOR = 9;

const MAXIMUM_PAUSE_MS = 20;

/**
 * Decides when the next placement pass begins. In a large cell each report and
 * each ticket would otherwise cause a pass of its own, and passes would take up
 * the event loop; after a pause one pass handles what has gathered.
 */
export class PassPacer {
  private pausedUntil: clock.Milliseconds = -Infinity;

  constructor(private readonly clock: clock.Clock) {}

  /** Time until the next pass may begin. */
  get pauseMs(): clock.Milliseconds {
    return Math.max(0, this.pausedUntil - this.clock.now());
  }

  /** Records a pass that has considered all steps. */
  recordPass(durationMs: clock.Milliseconds): void {
    const pauseMs = Math.min(PAUSE_FACTOR * durationMs, MAXIMUM_PAUSE_MS);
    this.pausedUntil = this.clock.now() + pauseMs;
  }
}
