import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';
import type * as workerTable from './worker_table.js';

/** Answers the evacuator's queries and carries out its moves. */
export interface EvacuatorListener {
  /** Returns the expected runtime of a step's tasks. */
  predictMs(step: stepInstance.StepInstance): number;
  /**
   * Returns whether a task of the step could start on another worker now. If
   * only a ticket is missing, requests it.
   */
  prepareStart(step: stepInstance.StepInstance): boolean;
  /** Stops a run so that its task starts on another worker. */
  move(assignment: jobTask.Assignment): void;
}

/** Assumed drain time of a worker that reports none. */
const DEFAULT_DRAIN_TIME_MS = 2_500;

/** Progress from which a run without checkpoints is not moved. */
const MINIMUM_KEPT_PROGRESS_PERCENT = 50;

/** Moves runs off draining workers that will leave before the runs end. */
export class Evacuator {
  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly listener: EvacuatorListener,
  ) {}

  /** Moves runs that would not end in time off all draining workers. */
  review(now: clock.Milliseconds): void {
    const refusedSteps = new Set<stepInstance.StepInstance>();
    for (const worker of this.workers.all()) {
      if (worker.entry.state !== 'draining' || worker.unreachable) continue;
      for (const assignment of [...this.assignmentIndex.runsOn(worker)]) {
        const {step} = assignment.jobTask;
        if (refusedSteps.has(step)) continue;
        if (!this.shouldMove(assignment, worker, now)) continue;
        if (this.listener.prepareStart(step)) this.listener.move(assignment);
        else refusedSteps.add(step);
      }
    }
  }

  private shouldMove(
    assignment: jobTask.Assignment,
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): boolean {
    if (assignment.phase !== 'running' || !assignment.reported) return false;
    const {definition} = assignment.jobTask.step;
    // All members of a gang would have to move at once.
    if (definition.gang) return false;
    if (definition.longRunning) return true;
    const leavesAt =
      (worker.drainingSince ?? now) +
      (worker.entry.remainingMs ?? DEFAULT_DRAIN_TIME_MS);
    const remainingRuntimeMs =
      this.listener.predictMs(assignment.jobTask.step) *
      (1 - assignment.progressPercent / 100);
    if (now + remainingRuntimeMs <= leavesAt) return false;
    return (
      definition.checkpointing ||
      assignment.progressPercent < MINIMUM_KEPT_PROGRESS_PERCENT
    );
  }
}
