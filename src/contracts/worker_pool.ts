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
  /** Whether the worker has answered the start. */
  readonly answered: boolean;
}

/**
 * Workers on which this process may place now: it holds the permit, the worker
 * is in service and its upstream accepts another call.
 */
export class WorkerPool {
  private readonly health = new workerHealth.WorkerHealth();
  private readonly upstreams = new Map<string, upstream.Upstream>();
  private readonly tasks = new Map<string, PlacedTask>();
  /** Names of placed tasks whose start has not been answered. */
  private readonly unanswered = new Set<string>();
  private now: clock.Milliseconds = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permission: placement.PlacementPermission,
  ) {}

  /** Sets the time for which permits are checked. */
  setTime(now: clock.Milliseconds): void {
    this.now = now;
  }

  /** Updates which workers are available for placement. */
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

  /** Returns when a suspended worker may be probed next. */
  nextDeadline(): clock.Milliseconds {
    return this.health.nextDeadline();
  }

  /** Returns whether a task may be placed on a worker now. */
  mayPlace(candidate: worker.Worker): boolean {
    return (
      this.permission.mayPlace(candidate.name, this.now) &&
      (this.upstreams.get(candidate.name)?.acceptsCalls ?? true)
    );
  }

  /** Returns the view of the fleet for placing a request. */
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

  /** Records that a task was placed on a worker. */
  recordPlacement(
    target: worker.Worker,
    taskName: string,
    label: task.TaskLabel,
    now: clock.Milliseconds,
  ): void {
    const times = {placedAt: now, startedAt: now, answered: false};
    this.tasks.set(taskName, {worker: target, label, ...times});
    this.unanswered.add(taskName);
    this.upstreamOf(target).onSend();
    this.health.recordPlacement(target);
  }

  /** Records an acknowledged start; ignores an unknown task. */
  recordStart(taskName: string, now: clock.Milliseconds): void {
    const placed = this.tasks.get(taskName);
    if (placed === undefined || placed.answered) return;
    this.tasks.set(taskName, {...placed, startedAt: now, answered: true});
    this.unanswered.delete(taskName);
    const calledUpstream = this.upstreamOf(placed.worker);
    // A start that was recorded first also waited for the journal, so its
    // latency does not measure the worker.
    if (placed.label.idempotent) {
      calledUpstream.onAnswer(now - placed.placedAt, now);
    } else {
      calledUpstream.onNeutralEnd();
    }
  }

  /** Records that a task did not run; `sent` if its start was sent and lost. */
  recordNotRun(taskName: string, sent: boolean, now: clock.Milliseconds): void {
    const placed = this.removeTask(taskName);
    if (placed === undefined) return;
    if (!placed.answered) {
      if (sent) this.upstreamOf(placed.worker).onLoss(now);
      else this.upstreamOf(placed.worker).onNeutralEnd();
    }
    this.health.recordNotRun(placed.worker);
  }

  /** Returns the time since a task started; 0 for an unknown task. */
  runTimeMs(taskName: string, now: clock.Milliseconds): clock.Milliseconds {
    return now - (this.tasks.get(taskName)?.startedAt ?? now);
  }

  /** Records that a task finished or failed by itself. */
  recordEnd(taskName: string, failed: boolean, now: clock.Milliseconds): void {
    const runTimeMs = this.runTimeMs(taskName, now);
    const placed = this.removeTask(taskName);
    if (placed === undefined) return;
    // The end of a task also proves that the answer to its start was lost.
    if (!placed.answered) this.upstreamOf(placed.worker).onLoss(now);
    const workload = `${placed.label.team}/${placed.label.workload}`;
    const end = {worker: placed.worker, workload, failed, runTimeMs};
    this.health.recordEnd(end, now);
  }

  private removeTask(taskName: string): PlacedTask | undefined {
    const placed = this.tasks.get(taskName);
    this.tasks.delete(taskName);
    this.unanswered.delete(taskName);
    return placed;
  }

  /** Removes the upstreams of workers that left the fleet. */
  private removeUnusedUpstreams(): void {
    for (const workerName of this.upstreams.keys()) {
      if (this.workers.get(workerName) === undefined) {
        this.upstreams.delete(workerName);
      }
    }
  }

  /** Removes tasks that were abandoned before their start was sent. */
  private removeAbandonedTasks(now: clock.Milliseconds): void {
    for (const taskName of this.unanswered) {
      const placed = this.tasks.get(taskName);
      if (placed?.worker.reservations().has(taskName) === true) continue;
      this.recordNotRun(taskName, false, now);
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
