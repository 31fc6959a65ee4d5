import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** Cost of a rack without the step's data; 1 equals a worker left empty. */
const REMOTE_RACK_COST = 2;

/** Cost of a worker that is certain to fail its runs, on the same scale. */
const FAILURE_COST = 4;

/**
 * Cost of a worker on which leases for its earlier incarnation may last, for a
 * task that lasts: if it is lost, the task waits for these leases.
 */
const FOREIGN_LEASE_COST = 3;

/** Facts that selection needs about a worker besides its free resources. */
export interface WorkerFacts {
  /** Returns a ticket; empty if none is needed, undefined if it is missing. */
  ticketFor(worker: remoteWorker.RemoteWorker): string | undefined;
  /** Counts the step's runs on the worker. */
  countRunsOfStep(worker: remoteWorker.RemoteWorker): number;
  /** Counts runs with a response time target on the worker. */
  countServingRuns(worker: remoteWorker.RemoteWorker): number;
  /** Counts runs that use idle capacity on the worker. */
  countIdleCapacityRuns(worker: remoteWorker.RemoteWorker): number;
  /** Returns whether leases for its earlier incarnation may last on the worker. */
  mayHoldForeignLeases(worker: remoteWorker.RemoteWorker): boolean;
  /** Returns how likely the worker is to fail its runs, from 0 to 1. */
  failureProbability(worker: remoteWorker.RemoteWorker): number;
}

/** A worker selected for one task, with the ticket for the start. */
export interface SelectedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  readonly ticket: string | undefined;
}

/**
 * Returns the resources that a task reserves on its worker. A task that uses
 * idle capacity reserves no processors.
 */
export function reservedSize(step: job.Step): resources.Resources {
  if (!step.usesIdleCapacity) return step.size;
  return {...step.size, processors: 0};
}

/** Returns whether new tasks may be placed on a worker. */
export function isSchedulable(
  worker: remoteWorker.RemoteWorker,
  now: clock.Milliseconds,
): boolean {
  return (
    worker.fencingTokenAccepted &&
    worker.stored &&
    worker.acceptsTasks &&
    worker.excludedUntil <= now &&
    !worker.mayHoldLateStart(now)
  );
}

function hasLabel(worker: remoteWorker.RemoteWorker, step: job.Step): boolean {
  const {requiredLabel} = step;
  if (requiredLabel === undefined) return true;
  return worker.entry.labels.includes(requiredLabel);
}

/** Returns whether a task of the step fits the worker's free resources. */
export function hasFreeCapacity(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
): boolean {
  return (
    hasLabel(worker, step) && resources.fits(reservedSize(step), worker.free)
  );
}

/** Returns whether the rules of the step allow one more run on a worker. */
function hasRunsLeft(
  step: job.Step,
  worker: remoteWorker.RemoteWorker,
  facts: WorkerFacts,
): boolean {
  const {maximumPerWorker, usesIdleCapacity} = step;
  if (
    maximumPerWorker !== undefined &&
    facts.countRunsOfStep(worker) >= maximumPerWorker
  ) {
    return false;
  }
  return !usesIdleCapacity || facts.countServingRuns(worker) === 0;
}

/** Returns whether a worker could run a task now, tickets aside. */
export function isEligible(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
  facts: WorkerFacts,
): boolean {
  return hasFreeCapacity(worker, step) && hasRunsLeft(step, worker, facts);
}

/** Returns whether a task of the step would fit the worker if it were empty. */
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
 * Returns the cost of a worker for one task; Infinity if it can't take it.
 * Lowest are workers close to the step's data, then the best fit, which leaves
 * free capacity for large tasks on other workers.
 */
export function costOf(
  step: job.Step,
  worker: remoteWorker.RemoteWorker,
  facts: WorkerFacts,
): number {
  if (!hasRunsLeft(step, worker, facts)) return Infinity;
  const isRemote = step.dataRack !== undefined && worker.rack !== step.dataRack;
  let cost = isRemote ? REMOTE_RACK_COST : 0;
  cost += FAILURE_COST * facts.failureProbability(worker);
  if (step.longRunning && facts.mayHoldForeignLeases(worker)) {
    cost += FOREIGN_LEASE_COST;
  }
  if (step.usesIdleCapacity) {
    // These tasks run on idle processors: prefer the least loaded worker.
    return (
      cost +
      resources.dominantShare(worker.used, worker.entry.capacity) +
      facts.countIdleCapacityRuns(worker)
    );
  }
  if (step.targetMs !== undefined) {
    cost += REMOTE_RACK_COST * facts.countIdleCapacityRuns(worker);
  }
  const freeAfterPlacement = resources.subtract(
    worker.free,
    reservedSize(step),
  );
  return (
    cost + resources.dominantShare(freeAfterPlacement, worker.entry.capacity)
  );
}
