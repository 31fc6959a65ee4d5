import * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/**
 * Weight of the available processors, which decide between workers with the
 * same remaining fraction in their tightest dimension.
 */
const TIE_BREAK_WEIGHT = 0.01;

/**
 * Packs batch tasks by best fit: each task goes to the sampled worker with the
 * smallest remaining fraction in its tightest dimension, which avoids
 * fragmentation of large free capacity.
 */
export class BatchPolicy implements placementPolicy.PlacementPolicy {
  place(
    pending: placementPolicy.PendingPlacement,
    fleet: placementPolicy.FleetView,
  ): placementPolicy.PlacementDecision {
    const attempt = new placementPolicy.PlacementAttempt(pending);
    return attempt.placeOneByOne(() => chooseBestFit(attempt, fleet));
  }
}

/** Returns the sampled worker that is the best fit for a task. */
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
