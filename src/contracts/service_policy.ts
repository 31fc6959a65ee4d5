import * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/**
 * Spreads the tasks of a service: each goes to the sampled rack with the
 * fewest tasks of the service, and there to the worker with the most free
 * capacity.
 */
export class ServicePolicy implements placementPolicy.PlacementPolicy {
  place(
    pending: placementPolicy.PendingPlacement,
    fleet: placementPolicy.FleetView,
  ): placementPolicy.PlacementDecision {
    const attempt = new placementPolicy.PlacementAttempt(pending);
    return attempt.placeOneByOne(() => chooseWorker(attempt, fleet));
  }
}

function chooseWorker(
  attempt: placementPolicy.PlacementAttempt,
  fleet: placementPolicy.FleetView,
): worker.Worker | undefined {
  const {request, size} = attempt.pending;
  const {maximumPerRack, name} = request.workload;
  // Replicas are placed one at a time, so the fleet's count covers all of them.
  const onRack = (rack: string): number =>
    fleet.countOnRack(request.team, name, rack);
  const candidates = fleet.sample(
    size,
    'loosest',
    candidate =>
      attempt.allows(candidate) &&
      (maximumPerRack === 0 || onRack(candidate.rack) < maximumPerRack),
  );
  // The remaining fraction is at most 1, so the rack count always dominates.
  return placementPolicy.selectLowestCost(
    candidates,
    candidate =>
      2 * onRack(candidate.rack) -
      placementPolicy.smallestRemainingFraction(size, candidate),
  );
}
