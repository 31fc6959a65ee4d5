import * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/** Weight of the mean remainder, which decides between equal tightest ones. */
const TIE_BREAK_WEIGHT = 0.01;

/**
 * Packs batch work: each task goes to the sampled worker whose tightest
 * dimension it leaves fullest, so that large room stays whole.
 */
export class BatchPolicy implements placementPolicy.PlacementPolicy {
  place(
    pending: placementPolicy.PendingPlacement,
    fleet: placementPolicy.FleetView,
  ): placementPolicy.PlacementDecision {
    const attempt = new placementPolicy.PlacementAttempt(pending);
    while (attempt.unplacedTaskCount > 0) {
      const chosen = chooseBestFit(attempt, fleet);
      if (chosen === undefined || !attempt.reserve(chosen)) break;
    }
    return attempt.finish();
  }
}

/** Returns the sampled worker that packs a task most tightly. */
export function chooseBestFit(
  attempt: placementPolicy.PlacementAttempt,
  fleet: placementPolicy.FleetView,
): worker.Worker | undefined {
  const {size} = attempt.pending;
  const candidates = fleet.sample(size, 'tightest', candidate =>
    attempt.allows(candidate),
  );
  return placementPolicy.selectLowestCost(
    candidates,
    candidate =>
      placementPolicy.smallestRemainingFraction(size, candidate) +
      TIE_BREAK_WEIGHT * processorRemainder(candidate),
  );
}

function processorRemainder(candidate: worker.Worker): number {
  const {available, capacity} = candidate;
  return available.processors / Math.max(1, capacity.processors);
}
