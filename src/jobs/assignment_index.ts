import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

const NO_ASSIGNMENTS: ReadonlySet<jobTask.Assignment> = new Set();

/** Which runs occupy room on which worker. */
export class AssignmentIndex {
  private readonly byWorker = new Map<
    remoteWorker.RemoteWorker,
    Set<jobTask.Assignment>
  >();

  /** Takes the room of a run and notes it at its task. */
  add(assignment: jobTask.Assignment): void {
    const {worker, jobTask: task} = assignment;
    const size = workerSelection.reservedSize(task.step.definition);
    worker.reserve(assignment, size);
    task.assignments.push(assignment);
    const runs = this.byWorker.get(worker);
    if (runs === undefined) this.byWorker.set(worker, new Set([assignment]));
    else runs.add(assignment);
  }

  /** Frees the room of a run. */
  remove(assignment: jobTask.Assignment): void {
    const {worker, jobTask: task} = assignment;
    worker.release(assignment);
    task.remove(assignment);
    const runs = this.byWorker.get(worker);
    runs?.delete(assignment);
    if (runs?.size === 0) this.byWorker.delete(worker);
  }

  /** Runs on a worker. */
  runsOn(worker: remoteWorker.RemoteWorker): ReadonlySet<jobTask.Assignment> {
    return this.byWorker.get(worker) ?? NO_ASSIGNMENTS;
  }

  /** All runs. */
  *all(): Iterable<jobTask.Assignment> {
    for (const runs of this.byWorker.values()) yield* runs;
  }

  /** Tasks of a step on a worker. */
  countTasksOfStep(
    worker: remoteWorker.RemoteWorker,
    step: stepInstance.StepInstance,
  ): number {
    let count = 0;
    for (const {jobTask: task} of this.runsOn(worker)) {
      if (task.step === step) count += 1;
    }
    return count;
  }

  /** Serving tasks that have a target of response times. */
  countServingTasks(worker: remoteWorker.RemoteWorker): number {
    return this.countWhere(
      worker,
      step => step.definition.targetMs !== undefined,
    );
  }

  /** Tasks that use idle capacity. */
  countIdleCapacityTasks(worker: remoteWorker.RemoteWorker): number {
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
