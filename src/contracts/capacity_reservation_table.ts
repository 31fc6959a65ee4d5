import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as placementPolicy from './placement_policy.js';
import type * as task from './task.js';
import type * as worker from '../machines/worker.js';

/** Workers that one planning step examines; bounds the cost of a cycle. */
const WORKERS_PER_PLANNING_STEP = 64;

/** Time between plans, and lifetime of a reservation made by a plan. */
const REPLANNING_INTERVAL_MS = 30_000;

/** Capacity reserved for one waiting request until all of it is free. */
export interface CapacityReservation {
  readonly identity: string;
  readonly team: string;
  /** Capacity for one task. */
  readonly size: resources.Resources;
  /** Number of tasks that each worker is to run. */
  readonly taskCounts: ReadonlyMap<worker.Worker, number>;
  readonly expiresAt: clock.Milliseconds;
}

interface ReservationPlan {
  readonly pending: placementPolicy.PendingPlacement;
  readonly taskCounts: Map<worker.Worker, number>;
  readonly taskCountsByRack: Map<string, number>;
  uncoveredTaskCount: number;
  nextWorkerIndex: number;
}

/** View of the workers and their tasks that planning uses. */
export interface ReservationPlanningView {
  workers(): ReadonlyArray<worker.Worker>;
  mayPlace(candidate: worker.Worker): boolean;
  /** Returns whether a task runs until it is stopped, as services do. */
  runsUntilStopped(label: task.TaskLabel): boolean;
}

/**
 * Reserves capacity for requests that need more than is free at once, so that
 * smaller requests cannot take each part as it becomes free. Planning covers
 * one waiting request at a time; reclaimed capacity is reserved in addition.
 */
export class CapacityReservationTable {
  private readonly reservations = new Map<string, CapacityReservation>();
  private plan: ReservationPlan | undefined;
  private reservedPlacement: placementPolicy.PendingPlacement | undefined;
  private nextPlanningAt = 0;

  constructor(private readonly view: ReservationPlanningView) {}

  /** Returns the reservations in force. */
  all(): Iterable<CapacityReservation> {
    return this.reservations.values();
  }

  /** Number of reservations in force. */
  get size(): number {
    return this.reservations.size;
  }

  /** Returns whether a request has a reservation. */
  has(identity: string): boolean {
    return this.reservations.has(identity);
  }

  /** Returns the number of reservations of a team. */
  countForTeam(team: string): number {
    let count = 0;
    for (const reservation of this.reservations.values()) {
      if (reservation.team === team) count += 1;
    }
    return count;
  }

  /** Adds a reservation, replacing an earlier one of the same request. */
  set(reservation: CapacityReservation): void {
    this.release(reservation.identity);
    this.reservations.set(reservation.identity, reservation);
    for (const [target, count] of reservation.taskCounts) {
      target.addCapacityReservation(resources.scale(reservation.size, count));
    }
  }

  /** Releases the reservation of a request and cancels its plan. */
  release(identity: string): void {
    if (this.plan?.pending.request.identity === identity) this.plan = undefined;
    if (this.reservedPlacement?.request.identity === identity) {
      this.reservedPlacement = undefined;
    }
    const reservation = this.reservations.get(identity);
    if (reservation === undefined) return;
    this.reservations.delete(identity);
    for (const [target, count] of reservation.taskCounts) {
      target.removeCapacityReservation(
        resources.scale(reservation.size, count),
      );
    }
  }

  /** Releases reservations that have expired or include unusable workers. */
  expire(now: clock.Milliseconds): void {
    for (const reservation of [...this.reservations.values()]) {
      const usable = [...reservation.taskCounts.keys()].every(
        target => target.ready && this.view.mayPlace(target),
      );
      if (now >= reservation.expiresAt || !usable) {
        this.release(reservation.identity);
      }
    }
  }

  /**
   * Continues planning for a request that could not be placed. Only the oldest
   * such request is planned for; its reservation takes effect once the plan
   * covers all tasks.
   */
  planFor(
    pending: placementPolicy.PendingPlacement,
    now: clock.Milliseconds,
  ): void {
    const {identity} = pending.request;
    if (this.reservations.has(identity)) return;
    const current = this.reservedPlacement ?? this.plan?.pending;
    if (current !== undefined && current.request.identity !== identity) {
      if (current.request.arrivedAt <= pending.request.arrivedAt) return;
      this.release(current.request.identity);
      this.nextPlanningAt = 0;
    }
    if (now < this.nextPlanningAt) return;
    this.plan ??= {
      pending,
      taskCounts: new Map(),
      taskCountsByRack: new Map(),
      uncoveredTaskCount: pending.request.taskCount,
      nextWorkerIndex: 0,
    };
    this.continuePlan(this.plan, now);
  }

  private continuePlan(plan: ReservationPlan, now: clock.Milliseconds): void {
    const workers = this.view.workers();
    const end = Math.min(
      workers.length,
      plan.nextWorkerIndex + WORKERS_PER_PLANNING_STEP,
    );
    while (plan.nextWorkerIndex < end && plan.uncoveredTaskCount > 0) {
      this.addWorker(plan, workers[plan.nextWorkerIndex]);
      plan.nextWorkerIndex += 1;
    }
    if (plan.uncoveredTaskCount > 0 && plan.nextWorkerIndex < workers.length) {
      return;
    }
    this.plan = undefined;
    this.nextPlanningAt =
      plan.uncoveredTaskCount > 0 ? now + REPLANNING_INTERVAL_MS : now;
    if (plan.uncoveredTaskCount > 0) return;
    const {request, size} = plan.pending;
    this.set({
      identity: request.identity,
      team: request.team,
      size,
      taskCounts: plan.taskCounts,
      expiresAt: now + REPLANNING_INTERVAL_MS,
    });
    this.reservedPlacement = plan.pending;
  }

  private addWorker(plan: ReservationPlan, candidate: worker.Worker): void {
    if (!candidate.ready || !this.view.mayPlace(candidate)) return;
    const {zones, maximumPerRack} = plan.pending.request.workload;
    if (zones.length > 0 && !zones.includes(candidate.description.zone)) return;
    const countOnRack = plan.taskCountsByRack.get(candidate.rack) ?? 0;
    const rackAllowance =
      maximumPerRack > 0 ? maximumPerRack - countOnRack : Infinity;
    const count = Math.min(
      plan.uncoveredTaskCount,
      rackAllowance,
      resources.fitCount(plan.pending.size, this.eventuallyFree(candidate)),
    );
    if (count <= 0) return;
    plan.taskCounts.set(candidate, count);
    plan.taskCountsByRack.set(candidate.rack, countOnRack + count);
    plan.uncoveredTaskCount -= count;
  }

  /** Returns the capacity that is free when only services are left running. */
  private eventuallyFree(candidate: worker.Worker): resources.Resources {
    let free = candidate.capacity;
    for (const reservation of candidate.reservations().values()) {
      if (!this.view.runsUntilStopped(reservation.label)) continue;
      free = resources.subtract(free, reservation.size);
    }
    return free;
  }
}

/** Returns whether all reserved capacity is free now. */
export function isAvailable(reservation: CapacityReservation): boolean {
  for (const [target, count] of reservation.taskCounts) {
    if (!target.ready) return false;
    if (resources.fitCount(reservation.size, target.free) < count) return false;
  }
  return true;
}
