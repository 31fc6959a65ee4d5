import type * as clock from '../machines/clock.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** Where a run stands between its order and its end. */
export type AssignmentPhase = 'starting' | 'running' | 'stopping';

/** One run of a task on one worker. */
export class Assignment implements remoteWorker.RunId {
  phase: AssignmentPhase = 'starting';
  /** The worker has listed the run. */
  reported = false;
  /** When a stop was answered: a start that comes later is refused. */
  stopConfirmedAt: clock.Milliseconds = Infinity;
  /** When the last order about this run was sent. */
  lastOrderAt: clock.Milliseconds;
  orderInFlight = false;
  /** Starts that got no answer. */
  unansweredStarts = 0;
  progressPercent = 0;
  /** When the percentage last rose. */
  progressedAt: clock.Milliseconds;
  /** Share of the processors that the task was last told to use. */
  processorPercent = 100;
  /** Last usage that the worker reported. */
  reportedUsage = 0;

  constructor(
    readonly jobTask: JobTask,
    readonly worker: remoteWorker.RemoteWorker,
    readonly run: number,
    readonly ticket: string | undefined,
    readonly startedAt: clock.Milliseconds,
  ) {
    this.lastOrderAt = startedAt;
    this.progressedAt = startedAt;
  }

  get task(): string {
    return this.jobTask.name;
  }
}

/** One task of a step. */
export class JobTask {
  done = false;
  /** Highest run number that was ever used. */
  highestRun = 0;
  checkpoint = '';
  /** Runs that were stopped because they stood still or were slow. */
  replacementCount = 0;
  readonly assignments: Assignment[] = [];
  private readonly failed = new Set<number>();

  constructor(
    readonly step: stepInstance.StepInstance,
    readonly index: number,
    readonly name: string,
  ) {}

  /** Numbers of the runs that ended `failed`. */
  get failedRuns(): ReadonlySet<number> {
    return this.failed;
  }

  /** Counts a failed run once; false when it was counted before. */
  addFailure(run: number): boolean {
    if (this.failed.has(run)) return false;
    this.failed.add(run);
    return true;
  }

  get waiting(): boolean {
    return !this.done && this.assignments.length === 0;
  }

  find(worker: remoteWorker.RemoteWorker, run: number): Assignment | undefined {
    return this.assignments.find(
      assignment => assignment.worker === worker && assignment.run === run,
    );
  }

  remove(assignment: Assignment): void {
    const position = this.assignments.indexOf(assignment);
    if (position >= 0) this.assignments.splice(position, 1);
  }
}
