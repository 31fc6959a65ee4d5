import * as heldRoom from './held_room.js';
import * as placement from './placement.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Finds places for all tasks of a gang at once, or none. Tasks that suffer
 * from distance are kept on one rack where a rack has the room.
 */
export function planGang(
  step: stepInstance.StepInstance,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  facts: placement.WorkerFacts,
): ReadonlyArray<placement.Place> | undefined {
  if (step.definition.sameRack) {
    for (const onRack of byRack(workers)) {
      const plan = planAll(step, onRack, facts);
      if (plan !== undefined) return plan;
    }
  }
  return planAll(step, workers, facts);
}

function byRack(
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

function planAll(
  step: stepInstance.StepInstance,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  facts: placement.WorkerFacts,
): ReadonlyArray<placement.Place> | undefined {
  const plan: placement.Place[] = [];
  const planned = new Map<remoteWorker.RemoteWorker, number>();
  const counting: placement.WorkerFacts = {
    ticket: worker => facts.ticket(worker),
    tasksOfStep: worker =>
      facts.tasksOfStep(worker) + (planned.get(worker) ?? 0),
    servingTasks: worker => facts.servingTasks(worker),
    idleCapacityTasks: worker => facts.idleCapacityTasks(worker),
    suspicion: worker => facts.suspicion(worker),
  };
  const size = placement.chargedSize(step.definition);
  const room = new heldRoom.HeldRoom('plan');
  while (plan.length < step.tasks.length) {
    const place = placement.pickWorker(step, workers, counting);
    if (place === undefined) break;
    room.hold(place.worker, size);
    planned.set(place.worker, (planned.get(place.worker) ?? 0) + 1);
    plan.push(place);
  }
  room.release();
  return plan.length === step.tasks.length ? plan : undefined;
}
