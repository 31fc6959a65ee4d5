import * as quotaLedgers from './quota_ledger.js';
import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

const NO_ASSIGNMENTS: ReadonlySet<jobTask.Assignment> = new Set();

/** The runs on one worker, with the counts that placement needs. */
class WorkerRuns {
  readonly assignments = new Set<jobTask.Assignment>();
  readonly countByStep = new Map<stepInstance.StepInstance, number>();
  servingCount = 0;
  idleCapacityCount = 0;

  add(assignment: jobTask.Assignment): void {
    this.assignments.add(assignment);
    this.count(assignment.jobTask.step, 1);
  }

  remove(assignment: jobTask.Assignment): void {
    if (!this.assignments.delete(assignment)) return;
    this.count(assignment.jobTask.step, -1);
  }

  private count(step: stepInstance.StepInstance, change: 1 | -1): void {
    const {targetMs, usesIdleCapacity} = step.definition;
    if (targetMs !== undefined) this.servingCount += change;
    if (usesIdleCapacity) this.idleCapacityCount += change;
    const runsOfStep = (this.countByStep.get(step) ?? 0) + change;
    if (runsOfStep === 0) this.countByStep.delete(step);
    else this.countByStep.set(step, runsOfStep);
  }
}

/** Runs by worker; adding one reserves its resources there. */
export class AssignmentIndex {
  private readonly byWorker = new Map<remoteWorker.RemoteWorker, WorkerRuns>();
  private preemptibleRuns = 0;

  constructor(private readonly quotaLedger = new quotaLedgers.QuotaLedger()) {}

  /** Number of runs that more urgent work may preempt once they run. */
  get preemptibleCount(): number {
    return this.preemptibleRuns;
  }

  /** Reserves resources for a run and adds it to its task. */
  add(assignment: jobTask.Assignment): void {
    const {worker, jobTask: task} = assignment;
    const size = workerSelection.reservedSize(task.step.definition);
    worker.reserve(assignment, size);
    task.addAssignment(assignment);
    let runs = this.byWorker.get(worker);
    if (runs === undefined) {
      runs = new WorkerRuns();
      this.byWorker.set(worker, runs);
    }
    runs.add(assignment);
    this.quotaLedger.add(task.step);
    if (task.step.isPreemptible) this.preemptibleRuns += 1;
  }

  /** Releases the resources of a run and removes it from its task. */
  remove(assignment: jobTask.Assignment): void {
    if (!this.has(assignment)) return;
    const {worker, jobTask: task} = assignment;
    worker.release(assignment);
    task.removeAssignment(assignment);
    const runs = this.byWorker.get(worker);
    runs?.remove(assignment);
    if (runs?.assignments.size === 0) this.byWorker.delete(worker);
    this.quotaLedger.remove(task.step);
    if (task.step.isPreemptible) this.preemptibleRuns -= 1;
  }

  /** Returns whether a run still occupies resources. */
  has(assignment: jobTask.Assignment): boolean {
    return this.runsOn(assignment.worker).has(assignment);
  }

  /** Returns the runs that occupy resources on a worker. */
  runsOn(worker: remoteWorker.RemoteWorker): ReadonlySet<jobTask.Assignment> {
    return this.byWorker.get(worker)?.assignments ?? NO_ASSIGNMENTS;
  }

  *all(): Iterable<jobTask.Assignment> {
    for (const runs of this.byWorker.values()) yield* runs.assignments;
  }

  /** Counts the runs of a step on a worker. */
  countRunsOfStep(
    worker: remoteWorker.RemoteWorker,
    step: stepInstance.StepInstance,
  ): number {
    return this.byWorker.get(worker)?.countByStep.get(step) ?? 0;
  }

  /** Counts runs of tasks with a response time target on a worker. */
  countServingRuns(worker: remoteWorker.RemoteWorker): number {
    return this.byWorker.get(worker)?.servingCount ?? 0;
  }

  /** Counts runs of tasks that use idle capacity on a worker. */
  countIdleCapacityRuns(worker: remoteWorker.RemoteWorker): number {
    return this.byWorker.get(worker)?.idleCapacityCount ?? 0;
  }
}
