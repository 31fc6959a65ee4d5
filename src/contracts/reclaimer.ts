import * as fairShareCalculator from './fair_share_calculator.js';
import * as lendingReserve from './lending_reserve.js';
import * as placementPolicy from './placement_policy.js';
import * as reclaimableTaskTable from './reclaimable_task_table.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as capacityReservationTable from './capacity_reservation_table.js';
import type * as overloadMitigator from './overload_mitigator.js';
import type * as workload from './workload.js';
import type * as worker from '../machines/worker.js';

/** Time within which checkpoints must free the capacity being reclaimed. */
const RECLAIMED_RESERVATION_MS = 2_000;

/** Reclaims lent capacity for urgent requests of teams within their quota. */
export class Reclaimer {
  private readonly tasks: reclaimableTaskTable.ReclaimableTaskTable;

  constructor(
    private readonly shares: fairShareCalculator.FairShareCalculator,
    private readonly reservations: capacityReservationTable.CapacityReservationTable,
    private readonly mayPlace: (candidate: worker.Worker) => boolean,
  ) {
    this.tasks = new reclaimableTaskTable.ReclaimableTaskTable(shares);
  }

  /** Records a placed task; it can be reclaimed if its workload may borrow. */
  recordStart(
    reclaimable: Omit<reclaimableTaskTable.ReclaimableTask, 'worth'>,
    definition: workload.Workload,
  ): void {
    if (!fairShareCalculator.mayBorrow(definition)) return;
    this.tasks.add({...reclaimable, worth: definition.worth});
  }

  /** Records that a task has ended or did not run. */
  recordEnd(taskName: string): void {
    this.tasks.remove(taskName);
  }

  /**
   * Chooses tasks to checkpoint for each request, up to the first one for which
   * there are none, and reserves the reclaimed capacity for that request.
   */
  reclaimFor(
    pendingPlacements: ReadonlyArray<placementPolicy.PendingPlacement>,
    now: clock.Milliseconds,
  ): ReadonlyArray<overloadMitigator.Intervention> {
    const interventions: overloadMitigator.Intervention[] = [];
    for (const pending of pendingPlacements) {
      if (this.reservations.has(pending.request.identity)) continue;
      const choice = this.choose(pending);
      if (choice === undefined) break;
      this.reserveReclaimed(pending, choice, now);
      interventions.push(...choice.tasks.map(checkpointIntervention));
    }
    return interventions;
  }

  /**
   * Chooses long tasks to checkpoint until the lending reserve is restored.
   * Short tasks are left out, as they soon end and refill it by themselves.
   */
  refillReserve(): ReadonlyArray<overloadMitigator.Intervention> {
    let shortfall = this.shares.reserveShortfall(this.tasks.totalReleasing);
    if (shortfall <= 0) return [];
    const chosen: reclaimableTaskTable.ReclaimableTask[] = [];
    for (const candidate of this.tasks.leastValuable(this.shares.fairShare)) {
      if (shortfall <= 0) break;
      if (candidate.expectedRunMs < lendingReserve.LONG_TASK_RUN_TIME_MS) {
        continue;
      }
      chosen.push(candidate);
      shortfall -= this.shares.fleetFractionOf(candidate.size);
    }
    this.tasks.markCheckpointing(chosen);
    return chosen.map(checkpointIntervention);
  }

  private choose(
    pending: placementPolicy.PendingPlacement,
  ): reclaimableTaskTable.ReclaimChoice | undefined {
    const {team} = pending.request;
    const claimCount = this.reservations.countForTeam(team) + 1;
    const claimedSize = resources.scale(pending.size, claimCount);
    if (!this.shares.isWithinQuota(team, claimedSize)) return undefined;
    const attempt = new placementPolicy.PlacementAttempt(pending);
    return this.tasks.choose({
      pending,
      claimantShare: this.shares.weightedShareWith(team, claimedSize),
      mayUse: candidate =>
        attempt.allows(candidate) && this.mayPlace(candidate),
    });
  }

  private reserveReclaimed(
    pending: placementPolicy.PendingPlacement,
    choice: reclaimableTaskTable.ReclaimChoice,
    now: clock.Milliseconds,
  ): void {
    this.tasks.markCheckpointing(choice.tasks);
    this.reservations.set({
      identity: pending.request.identity,
      team: pending.request.team,
      size: pending.size,
      taskCounts: new Map([[choice.worker, 1]]),
      expiresAt: now + RECLAIMED_RESERVATION_MS,
    });
  }
}

function checkpointIntervention(
  reclaimable: reclaimableTaskTable.ReclaimableTask,
): overloadMitigator.Intervention {
  const {worker: target, task, size} = reclaimable;
  return {
    kind: 'checkpoint',
    reason: 'reclaim',
    worker: target,
    task,
    limit: size,
  };
}
