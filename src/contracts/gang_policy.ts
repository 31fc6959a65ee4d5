import * as batchPolicy from './batch_policy.js';
import * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/**
 * Places all tasks of a gang at once or none of them. Each chosen worker
 * receives as many tasks as it has capacity for, which keeps the gang together
 * and needs fewer samples.
 */
export class GangPolicy implements placementPolicy.PlacementPolicy {
  place(
    pending: placementPolicy.PendingPlacement,
    fleet: placementPolicy.FleetView,
  ): placementPolicy.PlacementDecision {
    const attempt = new placementPolicy.PlacementAttempt(pending);
    while (attempt.unplacedTaskCount > 0) {
      const chosen = batchPolicy.chooseBestFit(attempt, fleet);
      if (chosen === undefined || !fillWorker(attempt, chosen)) break;
    }
    return attempt.finish();
  }
}

function fillWorker(
  attempt: placementPolicy.PlacementAttempt,
  chosen: worker.Worker,
): boolean {
  if (!attempt.reserve(chosen)) return false;
  while (attempt.unplacedTaskCount > 0 && attempt.allows(chosen)) {
    if (!attempt.reserve(chosen)) break;
  }
  return true;
}
