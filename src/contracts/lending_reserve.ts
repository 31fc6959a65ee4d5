import type * as clock from '../machines/clock.js';

/**
 * Fraction of the fleet that is not lent while a team below its fair level
 * may claim it; without it, each start of such a team waits for an end.
 */
const MINIMUM_RESERVE_FRACTION = 0.05;

/** Largest fraction kept back, however much the demand varies. */
const MAXIMUM_RESERVE_FRACTION = 0.2;

/** Deviations of the demand that the reserve for long tasks covers. */
const COVERED_STANDARD_DEVIATIONS = 3;

/** Time over which demand is compared: about that of a checkpoint. */
const DEMAND_COMPARISON_MS = 500;

/** Weight of the newest difference in the running variance. */
const VARIANCE_SMOOTHING_FACTOR = 0.01;

/**
 * Expected run time from which lent tasks count as long. Shorter ones end
 * about as fast as they could be checkpointed, and refill the reserve.
 */
export const LONG_TASK_RUN_TIME_MS = 5_000;

interface DemandSample {
  readonly at: clock.Milliseconds;
  readonly demand: number;
}

/**
 * Sizes the reserve of room that is not lent. Long lent tasks give room back
 * only by a checkpoint, so their reserve covers what the demand of the teams
 * within their fair level varies by in the meantime.
 */
export class LendingReserve {
  private readonly samples: DemandSample[] = [];
  private variance = 0;

  /** Notes the fraction of the fleet that teams hold within their level. */
  recordDemand(demand: number, now: clock.Milliseconds): void {
    this.samples.push({at: now, demand});
    while (
      this.samples.length > 0 &&
      this.samples[0].at <= now - DEMAND_COMPARISON_MS
    ) {
      const difference = demand - this.samples[0].demand;
      const change = difference ** 2 - this.variance;
      this.variance += VARIANCE_SMOOTHING_FACTOR * change;
      this.samples.shift();
    }
  }

  /** Fraction of the fleet to keep back from tasks of a run time. */
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
