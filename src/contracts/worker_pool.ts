import * as upstream from '../machines/upstream.js';
import * as workerHealth from '../machines/worker_health.js';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as freeCapacityIndex from '../machines/free_capacity_index.js';
import type * as placementPolicy from './placement_policy.js';
import type * as request from './request.js';
import type * as placement from './placement.js';
import type * as task from './task.js';
import type * as worker from '../machines/worker.js';

interface PlacedTask {
  readonly worker: worker.Worker;
  readonly label: task.TaskLabel;
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
  private readonly tasks = new Map<string, PlacedTask>();
  /** Placed tasks whose start has not been answered. */
  private readonly unanswered = new Set<string>();
  private now: clock.Milliseconds = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permission: placement.PlacementPermission,
  ) {}

  /** Sets the time at which permits are judged. */
  setTime(now: clock.Milliseconds): void {
    this.now = now;
  }

  /** Brings the choice of workers up to date. */
  refresh(now: clock.Milliseconds): void {
    this.removeAbandonedTasks(now);
    this.health.readmit(now);
    this.workers.refresh(candidate =>
      this.permission.mayPlace(candidate.name, now),
    );
    if (this.upstreams.size > this.workers.all().length) {
      this.removeUnusedUpstreams();
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
      (this.upstreams.get(candidate.name)?.acceptsCalls ?? true)
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

  /** Notes a placed task. */
  recordPlacement(
    target: worker.Worker,
    name: string,
    label: task.TaskLabel,
    now: clock.Milliseconds,
  ): void {
    const times = {placedAt: now, startedAt: now, answered: false};
    this.tasks.set(name, {worker: target, label, ...times});
    this.unanswered.add(name);
    this.upstreamOf(target).onSend();
    this.health.recordPlacement(target);
  }

  /** Notes an acknowledged start; does nothing when the task is unknown. */
  recordStart(name: string, now: clock.Milliseconds): void {
    const known = this.tasks.get(name);
    if (known === undefined || known.answered) return;
    this.tasks.set(name, {...known, startedAt: now, answered: true});
    this.unanswered.delete(name);
    const upstreamOfWorker = this.upstreamOf(known.worker);
    // A start that was recorded first says nothing about the worker's speed.
    if (known.label.idempotent) {
      upstreamOfWorker.onAnswer(now - known.placedAt, now);
    } else upstreamOfWorker.onNeutralEnd();
  }

  /** Notes a task that did not run; `sent` when its start was lost. */
  recordNotRun(name: string, sent: boolean, now: clock.Milliseconds): void {
    const known = this.removeTask(name);
    if (known === undefined) return;
    if (!known.answered) {
      if (sent) this.upstreamOf(known.worker).onLoss(now);
      else this.upstreamOf(known.worker).onNeutralEnd();
    }
    this.health.recordNotRun(known.worker);
  }

  /** Time since a task started. */
  ranMs(name: string, now: clock.Milliseconds): clock.Milliseconds {
    return now - (this.tasks.get(name)?.startedAt ?? now);
  }

  /** Notes a task that finished or failed by itself. */
  recordEnd(name: string, failed: boolean, now: clock.Milliseconds): void {
    const ranMs = this.ranMs(name, now);
    const known = this.removeTask(name);
    if (known === undefined) return;
    // The end also answers a start whose own answer was lost.
    if (!known.answered) this.upstreamOf(known.worker).onLoss(now);
    const workload = `${known.label.team}/${known.label.workload}`;
    const end = {worker: known.worker, workload, failed, ranMs};
    this.health.recordEnd(end, now);
  }

  private removeTask(name: string): PlacedTask | undefined {
    const known = this.tasks.get(name);
    this.tasks.delete(name);
    this.unanswered.delete(name);
    return known;
  }

  /** Drops what is known of workers that left the fleet. */
  private removeUnusedUpstreams(): void {
    for (const name of this.upstreams.keys()) {
      if (this.workers.get(name) === undefined) this.upstreams.delete(name);
    }
  }

  /** Drops tasks that were given up before their start was sent. */
  private removeAbandonedTasks(now: clock.Milliseconds): void {
    for (const name of this.unanswered) {
      const known = this.tasks.get(name);
      if (known?.worker.reservations().has(name) === true) continue;
      this.recordNotRun(name, false, now);
    }
  }

  private sample(
    size: worker.Reservation['size'],
    order: freeCapacityIndex.SearchOrder,
    filter: freeCapacityIndex.CandidateFilter,
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

  private upstreamOf(target: worker.Worker): upstream.Upstream {
    const existing = this.upstreams.get(target.name);
    if (existing !== undefined) return existing;
    const created = new upstream.Upstream();
    this.upstreams.set(target.name, created);
    return created;
  }
}
