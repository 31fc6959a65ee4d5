import * as overloadRelief from './overload_relief.js';
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
export interface ObserverParts {
  readonly workers: fleet.Fleet;
  readonly pool: workerPool.WorkerPool;
  readonly reclaimer: reclaimer.Reclaimer;
  readonly estimator: usageEstimator.UsageEstimator;
  workloadOf(label: task.TaskLabel): workload.Workload | undefined;
}

/** Passes on what becomes of tasks to those that decide by it. */
export class TaskObserver {
  private readonly relief = new overloadRelief.OverloadRelief();

  constructor(private readonly parts: ObserverParts) {}

  /** Learns what became of a task. */
  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void {
    const {task: name, label} = outcome.reference;
    switch (outcome.kind) {
      case 'started':
        this.parts.pool.started(name, now);
        return;
      case 'adopted':
        this.adopted(outcome.reference);
        return;
      case 'unknown':
        return;
      case 'notRun':
        this.parts.reclaimer.ended(name);
        this.parts.estimator.forget(name);
        this.parts.pool.notRun(name, outcome.sent, now);
        return;
      case 'ended':
        this.ended(name, label, outcome.end, now);
    }
  }

  /**
   * Learns from a worker's report. A task that uses more than its room gets
   * the room at once; if the worker is then overcommitted, it is relieved.
   */
  observeReport(
    report: task.WorkerReport,
    now: clock.Milliseconds,
  ): ReadonlyArray<overloadRelief.Intervention> {
    const target = this.parts.workers.get(report.worker);
    if (target === undefined) return [];
    for (const item of report.tasks) {
      const held = target.reservations().get(item.task);
      if (held === undefined || item.state !== 'running') continue;
      this.parts.estimator.observe(item);
      if (resources.fits(item.usage, held.size)) continue;
      target.resize(
        item.task,
        resources.roundedUpMaximum(item.usage, held.size),
      );
    }
    return this.relief.relieve(target, now);
  }

  private adopted(of: trackedTask.TaskReference): void {
    const target = this.parts.workers.get(of.worker);
    const held = target?.reservations().get(of.task);
    const described = this.parts.workloadOf(of.label);
    if (target === undefined || held === undefined) return;
    if (described === undefined) return;
    const {team: name} = of.label;
    const expectedRunMs =
      this.parts.estimator.runTimeMs(name, described.name) ??
      described.runTimeMs;
    const {task: taskName, size} = held;
    const loan = {task: taskName, team: name, size, worker: target};
    this.parts.reclaimer.started({...loan, expectedRunMs}, described);
  }

  private ended(
    name: string,
    label: task.TaskLabel,
    end: trackedTask.TaskEndState,
    now: clock.Milliseconds,
  ): void {
    const ranMs = this.parts.pool.ranMs(name, now);
    this.parts.reclaimer.ended(name);
    if (end === 'finished') this.parts.estimator.ended(name, label, ranMs);
    else this.parts.estimator.forget(name);
    const byItself = end === 'finished' || end === 'failed';
    if (byItself) this.parts.pool.ended(name, end === 'failed', now);
    else this.parts.pool.notRun(name, false, now);
  }
}
