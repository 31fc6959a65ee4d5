import * as workerRanking from './worker_ranking.js';
import * as temporaryReservation from './temporary_reservation.js';
import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Selects workers for all tasks of a gang; undefined unless all fit. A step
 * with `sameRack` is placed on one rack if all its tasks fit on one.
 */
export function planGang(
  step: stepInstance.StepInstance,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  facts: workerSelection.WorkerFacts,
): ReadonlyArray<workerSelection.SelectedWorker> | undefined {
  if (step.definition.sameRack) {
    for (const onRack of groupByRack(workers)) {
      const plan = placeAllTasks(step, onRack, facts);
      if (plan !== undefined) return plan;
    }
  }
  return placeAllTasks(step, workers, facts);
}

function groupByRack(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): Iterable<ReadonlyArray<remoteWorker.RemoteWorker>> {
  const racks = new Map<string, remoteWorker.RemoteWorker[]>();
  for (const worker of workers) {
    const rack = worker.rack ?? '';
    const onRack = racks.get(rack);
    if (onRack === undefined) racks.set(rack, [worker]);
    else onRack.push(worker);
  }
  return racks.values();
}

function placeAllTasks(
  step: stepInstance.StepInstance,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  facts: workerSelection.WorkerFacts,
): ReadonlyArray<workerSelection.SelectedWorker> | undefined {
  const plan: workerSelection.SelectedWorker[] = [];
  const plannedTaskCounts = new Map<remoteWorker.RemoteWorker, number>();
  const factsWithPlan: workerSelection.WorkerFacts = {
    ticketFor: worker => facts.ticketFor(worker),
    countRunsOfStep: worker =>
      facts.countRunsOfStep(worker) + (plannedTaskCounts.get(worker) ?? 0),
    countServingRuns: worker => facts.countServingRuns(worker),
    countIdleCapacityRuns: worker => facts.countIdleCapacityRuns(worker),
    mayHoldForeignLeases: worker => facts.mayHoldForeignLeases(worker),
    failureProbability: worker => facts.failureProbability(worker),
  };
  const size = workerSelection.reservedSize(step.definition);
  const reservation = new temporaryReservation.TemporaryReservation();
  const ranking = new workerRanking.WorkerRanking(step, workers, factsWithPlan);
  while (plan.length < step.tasks.length) {
    const selected = ranking.select();
    if (selected === undefined) break;
    reservation.reserve(selected.worker, size);
    plannedTaskCounts.set(
      selected.worker,
      (plannedTaskCounts.get(selected.worker) ?? 0) + 1,
    );
    plan.push(selected);
    ranking.update();
  }
  reservation.release();
  return plan.length === step.tasks.length ? plan : undefined;
}
