import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

const NO_ASSIGNMENTS: ReadonlySet<jobTask.Assignment> = new Set();

/** Runs by worker; adding one reserves its resources there. */
export class AssignmentIndex {
  private readonly byWorker = new Map<
    remoteWorker.RemoteWorker,
    Set<jobTask.Assignment>
  >();

  /** Reserves resources for a run and adds it to its task. */
  add(assignment: jobTask.Assignment): void {
    const {worker, jobTask: task} = assignment;
    const size = workerSelection.reservedSize(task.step.definition);
    worker.reserve(assignment, size);
    task.assignments.push(assignment);
    const runs = this.byWorker.get(worker);
    if (runs === undefined) this.byWorker.set(worker, new Set([assignment]));
    else runs.add(assignment);
  }

  /** Releases the resources of a run and removes it from its task. */
  remove(assignment: jobTask.Assignment): void {
    const {worker, jobTask: task} = assignment;
    worker.release(assignment);
    task.removeAssignment(assignment);
    const runs = this.byWorker.get(worker);
    runs?.delete(assignment);
    if (runs?.size === 0) this.byWorker.delete(worker);
  }

  /** Returns the runs that occupy resources on a worker. */
  runsOn(worker: remoteWorker.RemoteWorker): ReadonlySet<jobTask.Assignment> {
    return this.byWorker.get(worker) ?? NO_ASSIGNMENTS;
  }

  *all(): Iterable<jobTask.Assignment> {
    for (const runs of this.byWorker.values()) yield* runs;
  }

  /** Counts the runs of a step on a worker. */
  countRunsOfStep(
    worker: remoteWorker.RemoteWorker,
    step: stepInstance.StepInstance,
  ): number {
    let count = 0;
    for (const {jobTask: task} of this.runsOn(worker)) {
      if (task.step === step) count += 1;
    }
    return count;
  }

  /** Counts runs of tasks with a response time target on a worker. */
  countServingRuns(worker: remoteWorker.RemoteWorker): number {
    return this.countWhere(
      worker,
      step => step.definition.targetMs !== undefined,
    );
  }

  /** Counts runs of tasks that use idle capacity on a worker. */
  countIdleCapacityRuns(worker: remoteWorker.RemoteWorker): number {
    return this.countWhere(worker, step => step.definition.usesIdleCapacity);
  }

  private countWhere(
    worker: remoteWorker.RemoteWorker,
    matches: (step: stepInstance.StepInstance) => boolean,
  ): number {
    let count = 0;
    for (const {jobTask: task} of this.runsOn(worker)) {
      if (matches(task.step)) count += 1;
    }
    return count;
  }
}
