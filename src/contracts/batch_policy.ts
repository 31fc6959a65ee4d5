import * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/** Weight of the mean remainder, which decides between equal tightest ones. */
const MEAN_WEIGHT = 0.01;

/**
 * Packs batch work: each task goes to the sampled worker whose tightest
 * dimension it leaves fullest, so that large room stays whole.
 */
export class BatchPolicy implements placementPolicy.PlacementPolicy {
  place(
    job: placementPolicy.PendingJob,
    fleet: placementPolicy.FleetView,
  ): placementPolicy.PlacementDecision {
    const attempt = new placementPolicy.Attempt(job);
    while (attempt.missing > 0) {
      const chosen = choosePacked(attempt, fleet);
      if (chosen === undefined || !attempt.reserve(chosen)) break;
    }
    return attempt.finish();
  }
}

/** Returns the sampled worker that packs a task most tightly. */
export function choosePacked(
  attempt: placementPolicy.Attempt,
  fleet: placementPolicy.FleetView,
): worker.Worker | undefined {
  const {size} = attempt.job;
  const candidates = fleet.sample(size, 'tightest', candidate =>
    attempt.allows(candidate),
  );
  return placementPolicy.cheapest(
    candidates,
    candidate =>
      placementPolicy.tightestRemainder(size, candidate) +
      MEAN_WEIGHT * processorRemainder(candidate),
  );
}

function processorRemainder(candidate: worker.Worker): number {
  const {available, capacity} = candidate;
  return available.processors / Math.max(1, capacity.processors);
}
