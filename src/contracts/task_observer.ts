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

/** Dependencies of `TaskObserver`, which it updates with task outcomes. */
export interface TaskObserverDependencies {
  readonly workers: fleet.Fleet;
  readonly pool: workerPool.WorkerPool;
  readonly reclaimer: reclaimer.Reclaimer;
  readonly estimator: usageEstimator.UsageEstimator;
  workloadOf(label: task.TaskLabel): workload.Workload | undefined;
}

/** Passes task outcomes and reports to the components that depend on them. */
export class TaskObserver {
  private readonly overloadMitigator =
    new overloadMitigator.OverloadMitigator();

  constructor(private readonly dependencies: TaskObserverDependencies) {}

  /** Processes the outcome of a task. */
  observeOutcome(
    outcome: trackedTask.TaskOutcome,
    now: clock.Milliseconds,
  ): void {
    const {task: taskName, label} = outcome.reference;
    switch (outcome.kind) {
      case 'started':
        this.dependencies.pool.recordStart(taskName, now);
        return;
      case 'adopted':
        this.recordAdoption(outcome.reference);
        return;
      case 'unknown':
        return;
      case 'notRun':
        this.dependencies.reclaimer.recordEnd(taskName);
        this.dependencies.estimator.discard(taskName);
        this.dependencies.pool.recordNotRun(taskName, outcome.sent, now);
        return;
      case 'ended':
        this.recordEnd(taskName, label, outcome.end, now);
    }
  }

  /**
   * Processes a worker's report. The reservation of a task that uses more than
   * it reserved grows at once; if that overcommits the worker, the overload is
   * mitigated.
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
    const {team: teamName} = reference.label;
    const expectedRunMs =
      this.dependencies.estimator.runTimeMs(teamName, definition.name) ??
      definition.runTimeMs;
    const {task: taskName, size} = reservation;
    const adopted = {task: taskName, team: teamName, size, worker: target};
    this.dependencies.reclaimer.recordStart(
      {...adopted, expectedRunMs},
      definition,
    );
  }

  private recordEnd(
    taskName: string,
    label: task.TaskLabel,
    end: trackedTask.TaskEndState,
    now: clock.Milliseconds,
  ): void {
    const runTimeMs = this.dependencies.pool.runTimeMs(taskName, now);
    this.dependencies.reclaimer.recordEnd(taskName);
    if (end === 'finished') {
      this.dependencies.estimator.recordEnd(taskName, label, runTimeMs);
    } else {
      this.dependencies.estimator.discard(taskName);
    }
    const byItself = end === 'finished' || end === 'failed';
    if (byItself) {
      this.dependencies.pool.recordEnd(taskName, end === 'failed', now);
    } else {
      this.dependencies.pool.recordNotRun(taskName, false, now);
    }
  }
}
