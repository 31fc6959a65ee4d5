import type * as clock from './clock.js';

/** Kind of work of the scheduler on the event loop. */
export type LoopWork =
  | 'admission'
  | 'advice'
  | 'evacuation'
  | 'forecast'
  | 'placement'
  | 'reports'
  | 'runReview'
  | 'starts'
  | 'workerReview';

/**
 * Measures the time that the event loop spends on each kind of work. Work that
 * is measured inside other work counts for the inner kind only.
 */
export class LoopMeter {
  private timesByWork = new Map<LoopWork, clock.Milliseconds>();
  /** Time of the work measured inside the present one. */
  private innerMs = 0;

  constructor(private readonly clock: clock.Clock) {}

  /** Runs work and counts its time. */
  measure<Result>(work: LoopWork, run: () => Result): Result {
    const startedAt = this.clock.now();
    const outerInnerMs = this.innerMs;
    this.innerMs = 0;
    try {
      return run();
    } finally {
      const elapsedMs = this.clock.now() - startedAt;
      const known = this.timesByWork.get(work) ?? 0;
      this.timesByWork.set(work, known + elapsedMs - this.innerMs);
      this.innerMs = outerInnerMs + elapsedMs;
    }
  }

  /** Returns the times since the last call. */
  take(): ReadonlyMap<LoopWork, clock.Milliseconds> {
    const taken = this.timesByWork;
    this.timesByWork = new Map();
    return taken;
  }
}
