import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as placementPolicy from './placement_policy.js';
import type * as task from './task.js';
import type * as worker from '../machines/worker.js';

/** Workers that one step of a plan looks at; bounds the cost of a turn. */
const PLAN_STEP = 64;

/** Time after which a plan for waiting work is made anew. */
const REPLAN_MS = 30_000;

/** Room kept for one waiting request until all of it is free. */
export interface Earmark {
  readonly identity: string;
  readonly team: string;
  /** Room of one task. */
  readonly size: resources.Resources;
  /** Tasks that each worker is to take. */
  readonly rooms: ReadonlyMap<worker.Worker, number>;
  readonly until: clock.Milliseconds;
}

interface Plan {
  readonly job: placementPolicy.PendingJob;
  readonly rooms: Map<worker.Worker, number>;
  readonly racks: Map<string, number>;
  missing: number;
  position: number;
}

/** What planning needs to know of workers and their tasks. */
export interface PlanView {
  all(): ReadonlyArray<worker.Worker>;
  mayPlace(candidate: worker.Worker): boolean;
  /** Whether a task runs until somebody stops it. */
  isLasting(label: task.TaskLabel): boolean;
}

/**
 * Keeps room for requests that need more than is free at once, so that
 * smaller work cannot take each piece as it becomes free. One waiting request
 * at a time is planned for; reclaimed room is earmarked besides.
 */
export class EarmarkKeeper {
  private readonly earmarks = new Map<string, Earmark>();
  private plan: Plan | undefined;
  private waitingHolder: placementPolicy.PendingJob | undefined;
  private nextPlan = 0;

  constructor(private readonly view: PlanView) {}

  /** All earmarks. */
  all(): Iterable<Earmark> {
    return this.earmarks.values();
  }

  /** Earmarks in force. */
  get size(): number {
    return this.earmarks.size;
  }

  /** Whether room is earmarked for a request. */
  has(identity: string): boolean {
    return this.earmarks.has(identity);
  }

  /** Earmarks of a team. */
  countOf(team: string): number {
    let count = 0;
    for (const earmark of this.earmarks.values()) {
      if (earmark.team === team) count += 1;
    }
    return count;
  }

  /** Puts an earmark in force. */
  set(earmark: Earmark): void {
    this.drop(earmark.identity);
    this.earmarks.set(earmark.identity, earmark);
    for (const [target, count] of earmark.rooms) {
      target.earmark(resources.scale(earmark.size, count));
    }
  }

  /** Gives the earmarked room of a request back. */
  drop(identity: string): void {
    if (this.plan?.job.request.identity === identity) this.plan = undefined;
    if (this.waitingHolder?.request.identity === identity) {
      this.waitingHolder = undefined;
    }
    const earmark = this.earmarks.get(identity);
    if (earmark === undefined) return;
    this.earmarks.delete(identity);
    for (const [target, count] of earmark.rooms) {
      target.withdrawEarmark(resources.scale(earmark.size, count));
    }
  }

  /** Gives back what was not used in time or is on unusable workers. */
  expire(now: clock.Milliseconds): void {
    for (const earmark of [...this.earmarks.values()]) {
      const usable = [...earmark.rooms.keys()].every(
        target => target.ready && this.view.mayPlace(target),
      );
      if (now >= earmark.until || !usable) this.drop(earmark.identity);
    }
  }

  /**
   * Works on a plan for a request that found no room. The oldest such request
   * is planned for; the plan is put in force once it covers all tasks.
   */
  consider(job: placementPolicy.PendingJob, now: clock.Milliseconds): void {
    const {identity} = job.request;
    if (this.earmarks.has(identity)) return;
    const rival = this.waitingHolder ?? this.plan?.job;
    if (rival !== undefined && rival.request.identity !== identity) {
      if (rival.request.arrivedAt <= job.request.arrivedAt) return;
      this.drop(rival.request.identity);
      this.nextPlan = 0;
    }
    if (now < this.nextPlan) return;
    this.plan ??= {
      job,
      rooms: new Map(),
      racks: new Map(),
      missing: job.request.taskCount,
      position: 0,
    };
    this.advance(this.plan, now);
  }

  private advance(plan: Plan, now: clock.Milliseconds): void {
    const workers = this.view.all();
    const end = Math.min(workers.length, plan.position + PLAN_STEP);
    while (plan.position < end && plan.missing > 0) {
      this.include(plan, workers[plan.position]);
      plan.position += 1;
    }
    if (plan.missing > 0 && plan.position < workers.length) return;
    this.plan = undefined;
    this.nextPlan = plan.missing > 0 ? now + REPLAN_MS : now;
    if (plan.missing > 0) return;
    const {request, size} = plan.job;
    this.set({
      identity: request.identity,
      team: request.team,
      size,
      rooms: plan.rooms,
      until: now + REPLAN_MS,
    });
    this.waitingHolder = plan.job;
  }

  private include(plan: Plan, candidate: worker.Worker): void {
    if (!candidate.ready || !this.view.mayPlace(candidate)) return;
    const {zones, maximumPerRack} = plan.job.request.workload;
    if (zones.length > 0 && !zones.includes(candidate.description.zone)) return;
    const onRack = plan.racks.get(candidate.rack) ?? 0;
    const rackRoom = maximumPerRack > 0 ? maximumPerRack - onRack : Infinity;
    const count = Math.min(
      plan.missing,
      rackRoom,
      resources.fitCount(plan.job.size, this.eventualRoom(candidate)),
    );
    if (count <= 0) return;
    plan.rooms.set(candidate, count);
    plan.racks.set(candidate.rack, onRack + count);
    plan.missing -= count;
  }

  /** Room that is free once all tasks that end by themselves have ended. */
  private eventualRoom(candidate: worker.Worker): resources.Resources {
    let room = candidate.capacity;
    for (const held of candidate.reservations().values()) {
      if (!this.view.isLasting(held.label)) continue;
      room = resources.subtract(room, held.size);
    }
    return room;
  }
}

/** Whether all earmarked room is free by now. */
export function isReady(earmark: Earmark): boolean {
  for (const [target, count] of earmark.rooms) {
    if (!target.ready) return false;
    if (resources.fitCount(earmark.size, target.free) < count) return false;
  }
  return true;
}
