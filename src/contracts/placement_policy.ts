import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as freeCapacityIndex from '../machines/free_capacity_index.js';
import type * as request from './request.js';
import type * as task from './task.js';
import type * as worker from '../machines/worker.js';

/** A waiting request with the size that each of its tasks reserves. */
export interface PendingPlacement {
  readonly request: request.Request;
  /** Size of one task: the declared size or the learned one. */
  readonly size: resources.Resources;
  /** Distinguishes the attempts to place the same request. */
  readonly attemptNumber: number;
}

/** View of the fleet for a placement policy. */
export interface FleetView {
  /** Samples workers with enough capacity that this process may place on. */
  sample(
    size: resources.Resources,
    order: freeCapacityIndex.SearchOrder,
    filter: freeCapacityIndex.CandidateFilter,
  ): ReadonlyArray<worker.Worker>;
  /** Returns the number of tasks of a workload on a rack. */
  countOnRack(team: string, workload: string, rack: string): number;
}

/** Workers with reserved capacity for each task in order, or no capacity. */
export type PlacementDecision =
  | {readonly kind: 'placed'; readonly workers: ReadonlyArray<worker.Worker>}
  | {readonly kind: 'noRoom'};

/** Chooses workers for one kind of workload and reserves capacity there. */
export interface PlacementPolicy {
  place(
    pending: PendingPlacement,
    fleet: FleetView,
    now: clock.Milliseconds,
  ): PlacementDecision;
}

/** Reservations for the tasks of one request; all are kept or none. */
export class PlacementAttempt {
  private readonly reservedWorkers: worker.Worker[] = [];
  private readonly taskCountsByRack = new Map<string, number>();

  constructor(readonly pending: PendingPlacement) {}

  /** Number of tasks without a reservation so far. */
  get unplacedTaskCount(): number {
    return this.pending.request.taskCount - this.reservedWorkers.length;
  }

  /** Returns the number of tasks of this attempt on a rack. */
  countOnRack(rack: string): number {
    return this.taskCountsByRack.get(rack) ?? 0;
  }

  /** Returns whether zones and rack limit allow another task on a worker. */
  allows(candidate: worker.Worker): boolean {
    const {zones, maximumPerRack} = this.pending.request.workload;
    if (zones.length > 0 && !zones.includes(candidate.description.zone)) {
      return false;
    }
    if (maximumPerRack === 0) return true;
    return this.countOnRack(candidate.rack) < maximumPerRack;
  }

  /** Reserves capacity for the next task; returns false if it does not fit. */
  reserve(chosen: worker.Worker): boolean {
    const name = taskName(this.pending, this.reservedWorkers.length);
    const label = buildTaskLabel(this.pending.request);
    const {size} = this.pending;
    if (!chosen.reserve({task: name, label, size})) return false;
    this.reservedWorkers.push(chosen);
    this.taskCountsByRack.set(chosen.rack, this.countOnRack(chosen.rack) + 1);
    return true;
  }

  /** Places each task on the worker that `choose` returns for it, if any. */
  placeOneByOne(choose: () => worker.Worker | undefined): PlacementDecision {
    while (this.unplacedTaskCount > 0) {
      const chosen = choose();
      if (chosen === undefined || !this.reserve(chosen)) break;
    }
    return this.finish();
  }

  /** Returns the decision; releases all capacity unless every task has some. */
  finish(): PlacementDecision {
    if (this.unplacedTaskCount === 0) {
      return {kind: 'placed', workers: this.reservedWorkers};
    }
    this.reservedWorkers.forEach((chosen, index) => {
      chosen.release(taskName(this.pending, index));
    });
    return {kind: 'noRoom'};
  }
}

/** Returns the name of a task, unique to the attempt. */
export function taskName(pending: PendingPlacement, index: number): string {
  return `${pending.request.identity}/${index}.${pending.attemptNumber}`;
}

/** Builds the label of the tasks of a request. */
export function buildTaskLabel(source: request.Request): task.TaskLabel {
  return {
    identity: source.identity,
    client: source.client,
    team: source.team,
    workload: source.workload.name,
    idempotent: source.workload.idempotent,
    worth: source.workload.worth,
  };
}

/** Returns the candidate with the lowest cost, the first one on a tie. */
export function selectLowestCost(
  candidates: ReadonlyArray<worker.Worker>,
  costOf: (candidate: worker.Worker) => number,
): worker.Worker | undefined {
  let best: worker.Worker | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(candidate);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/** Returns the free fraction of the dimension that a task would fill most. */
export function smallestRemainingFraction(
  size: resources.Resources,
  candidate: worker.Worker,
): number {
  let least = Infinity;
  const {available, capacity} = candidate;
  for (const dimension of resources.DIMENSIONS) {
    if (capacity[dimension] <= 0) continue;
    const left = available[dimension] - size[dimension];
    least = Math.min(least, left / capacity[dimension]);
  }
  return least;
}
