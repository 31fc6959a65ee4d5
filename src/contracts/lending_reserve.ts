import type * as clock from '../machines/clock.js';

/**
 * Fraction of the fleet that is not lent while a team below its fair share may
 * claim it. Without it, each start of such a team waits for a task to end.
 */
const MINIMUM_RESERVE_FRACTION = 0.05;

/** Largest fraction of the fleet that is reserved, however demand varies. */
const MAXIMUM_RESERVE_FRACTION = 0.2;

/** Standard deviations of the demand that the reserve for long tasks covers. */
const COVERED_STANDARD_DEVIATIONS = 3;

/** Interval over which demand changes are compared: about one checkpoint. */
const DEMAND_COMPARISON_MS = 500;

/** Weight of the newest demand change in the moving variance. */
const VARIANCE_SMOOTHING_FACTOR = 0.01;

/**
 * Expected run time from which borrowing tasks count as long. Shorter ones end
 * about as fast as they could be checkpointed, and so refill the reserve.
 */
export const LONG_TASK_RUN_TIME_MS = 5_000;

interface DemandSample {
  readonly recordedAt: clock.Milliseconds;
  readonly demand: number;
}

/**
 * Sizes the reserve of capacity that is not lent. Long tasks release borrowed
 * capacity only by a checkpoint, so their reserve covers the variation, during
 * a checkpoint, of the demand of teams within their fair share.
 */
export class LendingReserve {
  private readonly samples: DemandSample[] = [];
  private variance = 0;

  /** Records the fraction of the fleet that teams hold within fair share. */
  recordDemand(demand: number, now: clock.Milliseconds): void {
    this.samples.push({recordedAt: now, demand});
    while (
      this.samples.length > 0 &&
      this.samples[0].recordedAt <= now - DEMAND_COMPARISON_MS
    ) {
      const difference = demand - this.samples[0].demand;
      const change = difference ** 2 - this.variance;
      this.variance += VARIANCE_SMOOTHING_FACTOR * change;
      this.samples.shift();
    }
  }

  /** Returns the fleet fraction that is not lent to tasks of a run time. */
  fractionFor(runTimeMs: clock.Milliseconds): number {
    if (runTimeMs < LONG_TASK_RUN_TIME_MS) return MINIMUM_RESERVE_FRACTION;
    const coveredVariation =
      COVERED_STANDARD_DEVIATIONS * Math.sqrt(this.variance);
    return Math.min(
      MAXIMUM_RESERVE_FRACTION,
      Math.max(MINIMUM_RESERVE_FRACTION, coveredVariation),
    );
  }
}
