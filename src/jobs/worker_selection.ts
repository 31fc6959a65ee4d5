import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** Cost of a rack without the step's data, in shares of a worker. */
const REMOTE_RACK_COST = 2;

/** Cost of a worker that surely fails what it runs. */
const SUSPICION_COST = 4;

/** Answers what placement must know of a worker beside its room. */
export interface WorkerFacts {
  /** A ticket, or the empty string where none is needed. */
  ticketFor(worker: remoteWorker.RemoteWorker): string | undefined;
  /** Tasks of the step that run on the worker. */
  countTasksOfStep(worker: remoteWorker.RemoteWorker): number;
  /** Serving tasks with a target of response times on the worker. */
  countServingTasks(worker: remoteWorker.RemoteWorker): number;
  /** Tasks on the worker that use idle capacity. */
  countIdleCapacityTasks(worker: remoteWorker.RemoteWorker): number;
  /** How likely the worker is to fail what it runs, from 0 to 1. */
  suspicion(worker: remoteWorker.RemoteWorker): number;
}

/** A place for one task. */
export interface SelectedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  readonly ticket: string | undefined;
}

/** What a task of a step counts against a worker's room. */
export function reservedSize(step: job.Step): resources.Resources {
  if (!step.usesIdleCapacity) return step.size;
  return {...step.size, processors: 0};
}

/** Tells whether a worker takes new tasks at all. */
export function isSchedulable(
  worker: remoteWorker.RemoteWorker,
  now: clock.Milliseconds,
): boolean {
  return (
    worker.fenceAccepted &&
    worker.recorded &&
    worker.acceptsTasks &&
    worker.excludedUntil <= now
  );
}

function hasLabel(worker: remoteWorker.RemoteWorker, step: job.Step): boolean {
  const {requiredLabel} = step;
  if (requiredLabel === undefined) return true;
  return worker.entry.labels.includes(requiredLabel);
}

/** Tells whether a worker could run a task of the step with the room it has. */
export function hasFreeCapacity(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
): boolean {
  return (
    hasLabel(worker, step) && resources.fits(reservedSize(step), worker.free)
  );
}

/** Tells whether a worker could take a task now, but for a ticket. */
export function isEligible(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
  facts: WorkerFacts,
): boolean {
  return (
    hasFreeCapacity(worker, step) && costOf(step, worker, facts) < Infinity
  );
}

/** Tells whether a step's task would fit an empty worker. */
export function fitsTotalCapacity(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
): boolean {
  return (
    hasLabel(worker, step) &&
    resources.fits(reservedSize(step), worker.entry.capacity)
  );
}

/**
 * Picks the worker for one task: near its data, and otherwise the one that is
 * filled best, so that large tasks find room on the others.
 */
export function selectWorker(
  step: stepInstance.StepInstance,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  facts: WorkerFacts,
): SelectedWorker | undefined {
  let best: SelectedWorker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!hasFreeCapacity(worker, step.definition)) continue;
    const cost = costOf(step.definition, worker, facts);
    if (cost >= bestCost) continue;
    const ticket = facts.ticketFor(worker);
    if (ticket === undefined) continue;
    best = {worker, ticket: ticket === '' ? undefined : ticket};
    bestCost = cost;
  }
  return best;
}

function costOf(
  step: job.Step,
  worker: remoteWorker.RemoteWorker,
  facts: WorkerFacts,
): number {
  const tasksOnWorker = facts.countTasksOfStep(worker);
  if (
    step.maximumPerWorker !== undefined &&
    tasksOnWorker >= step.maximumPerWorker
  ) {
    return Infinity;
  }
  const isRemote = step.dataRack !== undefined && worker.rack !== step.dataRack;
  let cost = isRemote ? REMOTE_RACK_COST : 0;
  cost += SUSPICION_COST * facts.suspicion(worker);
  if (step.usesIdleCapacity) {
    if (facts.countServingTasks(worker) > 0) return Infinity;
    // Idle processors are what these tasks live on.
    return (
      cost +
      resources.dominantShare(worker.used, worker.entry.capacity) +
      facts.countIdleCapacityTasks(worker)
    );
  }
  if (step.targetMs !== undefined) {
    cost += REMOTE_RACK_COST * facts.countIdleCapacityTasks(worker);
  }
  const freeAfterPlacement = resources.subtract(
    worker.free,
    reservedSize(step),
  );
  return (
    cost + resources.dominantShare(freeAfterPlacement, worker.entry.capacity)
  );
}
