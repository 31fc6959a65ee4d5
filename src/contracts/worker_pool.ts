import * as upstream from '../machines/upstream.js';
import * as workerHealth from '../machines/worker_health.js';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as freeRoomIndex from '../machines/free_room_index.js';
import type * as placementPolicy from './placement_policy.js';
import type * as request from './request.js';
import type * as scheduler from './scheduler.js';
import type * as task from './task.js';
import type * as worker from '../machines/worker.js';

interface TaskTimes {
  readonly placedAt: clock.Milliseconds;
  readonly startedAt: clock.Milliseconds;
  /** Whether the start has been answered. */
  readonly answered: boolean;
}

/**
 * The workers on which this process may place now: it holds the permit, the
 * worker is in service and its upstream accepts another call.
 */
export class WorkerPool {
  private readonly health = new workerHealth.WorkerHealth();
  private readonly upstreams = new Map<string, upstream.Upstream>();
  private readonly tasks = new Map<string, TaskTimes>();
  private now: clock.Milliseconds = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permission: scheduler.PlacementPermission,
  ) {}

  /** Sets the time at which permits are judged. */
  setTime(now: clock.Milliseconds): void {
    this.now = now;
  }

  /** Brings the choice of workers up to date. */
  refresh(now: clock.Milliseconds): void {
    this.health.readmit(now);
    this.workers.refresh(candidate =>
      this.permission.mayPlace(candidate.name, now),
    );
    for (const name of this.upstreams.keys()) {
      if (this.workers.get(name) === undefined) this.upstreams.delete(name);
    }
  }

  /** When a suspended worker may be probed next. */
  nextDeadline(): clock.Milliseconds {
    return this.health.nextDeadline();
  }

  /** Whether a task may be placed on a worker now. */
  mayPlace(candidate: worker.Worker): boolean {
    return (
      this.permission.mayPlace(candidate.name, this.now) &&
      (this.upstreams.get(candidate.name)?.isOpen ?? true)
    );
  }

  /** What the placement of a request sees of the fleet. */
  viewFor(waiting: request.Request): placementPolicy.FleetView {
    const {workload, taskCount} = waiting;
    const mayProbe = workload.idempotent && taskCount === 1;
    return {
      sample: (size, order, filter) =>
        this.sample(size, order, filter, mayProbe),
      countOnRack: (team, name, rack) =>
        this.workers.countOnRack(team, name, rack),
    };
  }

  /** Notes a start that is sent now. */
  placed(on: worker.Worker, name: string, now: clock.Milliseconds): void {
    this.tasks.set(name, {placedAt: now, startedAt: now, answered: false});
    this.upstreamOf(on).sent();
    this.health.placed(on);
  }

  /** Notes an acknowledged start. */
  started(on: worker.Worker, name: string, now: clock.Milliseconds): void {
    const times = this.tasks.get(name);
    if (times === undefined || times.answered) return;
    this.tasks.set(name, {...times, startedAt: now, answered: true});
    this.upstreamOf(on).answered(now - times.placedAt, now);
  }

  /** Notes a start that did not take place. */
  notRun(on: worker.Worker, name: string, now: clock.Milliseconds): void {
    if (this.tasks.delete(name)) this.upstreamOf(on).lost(now);
    this.health.notRun(on);
  }

  /** Time since a task started. */
  ranMs(name: string, now: clock.Milliseconds): clock.Milliseconds {
    return now - (this.tasks.get(name)?.startedAt ?? now);
  }

  /** Notes the end of a task; returns true when it suspended the worker. */
  ended(
    on: worker.Worker,
    name: string,
    label: task.TaskLabel,
    failed: boolean,
    now: clock.Milliseconds,
  ): boolean {
    const ranMs = this.ranMs(name, now);
    const workload = `${label.team}/${label.workload}`;
    const times = this.tasks.get(name);
    this.tasks.delete(name);
    // The end also answers a start whose own answer was lost.
    if (times?.answered === false) this.upstreamOf(on).lost(now);
    return this.health.ended({worker: on, workload, failed, ranMs}, now);
  }

  private sample(
    size: worker.Reservation['size'],
    order: freeRoomIndex.SearchOrder,
    filter: freeRoomIndex.CandidateFilter,
    mayProbe: boolean,
  ): ReadonlyArray<worker.Worker> {
    return this.workers.sample(
      size,
      order,
      candidate =>
        this.mayPlace(candidate) &&
        (mayProbe || !this.health.isOnProbation(candidate)) &&
        filter(candidate),
    );
  }

  private upstreamOf(on: worker.Worker): upstream.Upstream {
    const known = this.upstreams.get(on.name);
    if (known !== undefined) return known;
    const created = new upstream.Upstream();
    this.upstreams.set(on.name, created);
    return created;
  }
}
