import * as overloadMitigator from './overload_mitigator.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as reclaimer from './reclaimer.js';
import type * as task from './task.js';
import type * as trackedTask from '../machines/tracked_task.js';
import type * as usageEstimator from './usage_estimator.js';
import type * as workerPool from './worker_pool.js';
import type * as workload from './workload.js';

/** The objects that learn from tasks. */
export interface TaskObserverDependencies {
  readonly workers: fleet.Fleet;
  readonly pool: workerPool.WorkerPool;
  readonly reclaimer: reclaimer.Reclaimer;
  readonly estimator: usageEstimator.UsageEstimator;
  workloadOf(label: task.TaskLabel): workload.Workload | undefined;
}

/** Passes on what becomes of tasks to those that decide by it. */
export class TaskObserver {
  private readonly overloadMitigator =
    new overloadMitigator.OverloadMitigator();

  constructor(private readonly dependencies: TaskObserverDependencies) {}

  /** Learns what became of a task. */
  observeOutcome(
    outcome: trackedTask.TaskOutcome,
    now: clock.Milliseconds,
  ): void {
    const {task: name, label} = outcome.reference;
    switch (outcome.kind) {
      case 'started':
        this.dependencies.pool.recordStart(name, now);
        return;
      case 'adopted':
        this.recordAdoption(outcome.reference);
        return;
      case 'unknown':
        return;
      case 'notRun':
        this.dependencies.reclaimer.recordEnd(name);
        this.dependencies.estimator.forget(name);
        this.dependencies.pool.recordNotRun(name, outcome.sent, now);
        return;
      case 'ended':
        this.recordEnd(name, label, outcome.end, now);
    }
  }

  /**
   * Learns from a worker's report. A task that uses more than its room gets
   * the room at once; if the worker is then overcommitted, it is relieved.
   */
  observeReport(
    report: task.WorkerReport,
    now: clock.Milliseconds,
  ): ReadonlyArray<overloadMitigator.Intervention> {
    const target = this.dependencies.workers.get(report.worker);
    if (target === undefined) return [];
    for (const item of report.tasks) {
      const reservation = target.reservations().get(item.task);
      if (reservation === undefined || item.state !== 'running') continue;
      this.dependencies.estimator.recordUsage(item);
      if (resources.fits(item.usage, reservation.size)) continue;
      target.resize(
        item.task,
        resources.roundedUpMaximum(item.usage, reservation.size),
      );
    }
    return this.overloadMitigator.mitigate(target, now);
  }

  private recordAdoption(reference: trackedTask.TaskReference): void {
    const target = this.dependencies.workers.get(reference.worker);
    const reservation = target?.reservations().get(reference.task);
    const definition = this.dependencies.workloadOf(reference.label);
    if (target === undefined || reservation === undefined) return;
    if (definition === undefined) return;
    const {team: name} = reference.label;
    const expectedRunMs =
      this.dependencies.estimator.runTimeMs(name, definition.name) ??
      definition.runTimeMs;
    const {task: taskName, size} = reservation;
    const adopted = {task: taskName, team: name, size, worker: target};
    this.dependencies.reclaimer.recordStart(
      {...adopted, expectedRunMs},
      definition,
    );
  }

  private recordEnd(
    name: string,
    label: task.TaskLabel,
    end: trackedTask.TaskEndState,
    now: clock.Milliseconds,
  ): void {
    const ranMs = this.dependencies.pool.ranMs(name, now);
    this.dependencies.reclaimer.recordEnd(name);
    if (end === 'finished') {
      this.dependencies.estimator.recordEnd(name, label, ranMs);
    } else this.dependencies.estimator.forget(name);
    const byItself = end === 'finished' || end === 'failed';
    if (byItself) this.dependencies.pool.recordEnd(name, end === 'failed', now);
    else this.dependencies.pool.recordNotRun(name, false, now);
  }
}
