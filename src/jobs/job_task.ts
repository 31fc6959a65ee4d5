import * as sentStarts from './sent_starts.js';
import type * as clock from '../machines/clock.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** Phase of a run between its start command and its end. */
export type AssignmentPhase = 'starting' | 'running' | 'stopping';

/** One run of a task on one worker. */
export class Assignment implements remoteWorker.RunId {
  private currentPhase: AssignmentPhase = 'starting';
  /** Whether the worker has reported the run. */
  reported = false;
  /** When the worker confirmed a stop; it rejects starts that arrive later. */
  stopConfirmedAt: clock.Milliseconds = Infinity;
  /** When the last command for this run was sent. */
  lastCommandAt: clock.Milliseconds;
  commandInFlight = false;
  /** Number of start commands that got no answer. */
  unansweredStarts = 0;
  /** Number of start commands that may still be answered. */
  startsInFlight = 0;
  /**
   * Whether the journal names the worker of the run, as far as it has to; until
   * then no start is sent.
   */
  placementStored = true;
  /** When its start could be sent first. */
  sendableSince: clock.Milliseconds;
  progressPercent = 0;
  /** When the progress last rose, or the run was first known to run. */
  progressedAt: clock.Milliseconds;
  /**
   * Percentage of its processors that the run may use; undefined while it is not
   * known, because an earlier term may have limited the run.
   */
  processorPercent: number | undefined = 100;
  /**
   * Last usage that the worker reported: tail response time in ms for serving
   * tasks, thousandths of a core for others.
   */
  reportedUsage = 0;
  /** When the worker first confirmed or reported the run. */
  private confirmedAt: clock.Milliseconds | undefined;

  constructor(
    readonly jobTask: JobTask,
    readonly worker: remoteWorker.RemoteWorker,
    readonly run: number,
    readonly ticket: string | undefined,
    readonly startedAt: clock.Milliseconds,
  ) {
    this.lastCommandAt = startedAt;
    this.sendableSince = startedAt;
    this.progressedAt = startedAt;
  }

  get task(): string {
    return this.jobTask.name;
  }

  get phase(): AssignmentPhase {
    return this.currentPhase;
  }

  /** When the run was first known to run, which is later than its start. */
  get runningSince(): clock.Milliseconds {
    return this.confirmedAt ?? this.startedAt;
  }

  /**
   * Whether a start command may be carried out by the worker's next incarnation,
   * which has the same id: an answer may be missing, or may have come from that
   * one. Only a report shows which incarnation has started the run.
   */
  get mayStartInNextIncarnation(): boolean {
    if (!this.placementStored) return false;
    const outcomeUnknown = this.unansweredStarts + this.startsInFlight > 0;
    return outcomeUnknown || !this.reported;
  }

  /** Records that the worker runs the task; has no effect after that. */
  confirm(now: clock.Milliseconds): void {
    if (this.currentPhase === 'starting') this.currentPhase = 'running';
    if (this.confirmedAt !== undefined) return;
    this.confirmedAt = now;
    this.progressedAt = now;
  }

  /** Records that the run is being stopped. */
  beginStop(): void {
    this.currentPhase = 'stopping';
  }
}

/** Why a task that waits may not be started yet. */
export type StartDelay =
  /** Its runs keep ending soon. */
  | 'backoff'
  /** A copy of an earlier start may still be carried out. */
  | 'lateStart'
  /** A worker that may run it for an earlier term has not reported. */
  | 'earlierRun';

const NO_WORKERS: ReadonlySet<string> = new Set();

/** One task of a step, with its runs. */
export class JobTask {
  done = false;
  /** Highest run number used so far. */
  highestRun = 0;
  checkpoint = '';
  /** Number of runs stopped because they stalled or were slow. */
  replacementCount = 0;
  /** When the last run was started. */
  lastStartedAt: clock.Milliseconds = -Infinity;
  /** Workers that may run the task for an earlier term, while that is unknown. */
  earlierWorkers: ReadonlySet<string> = NO_WORKERS;
  /** Workers of the newest run, and of others that go on beside it. */
  private placedWorkers: ReadonlySet<string> = NO_WORKERS;
  /** Workers that the job's last record names, as sent and as stored. */
  private sentWorkers: ReadonlySet<string> = NO_WORKERS;
  private storedWorkers: ReadonlySet<string> = NO_WORKERS;
  /** Copies of starts of all runs that may still be carried out. */
  readonly sentStarts = new sentStarts.SentStarts();
  private readonly activeAssignments: Assignment[] = [];
  private readonly startDelays = new Set<StartDelay>();
  private readonly failedRunNumbers = new Set<number>();

  constructor(
    readonly step: stepInstance.StepInstance,
    readonly index: number,
    readonly name: string,
  ) {}

  /** Numbers of the runs that ended as `failed`. */
  get failedRuns(): ReadonlySet<number> {
    return this.failedRunNumbers;
  }

  /** Records a failed run; returns false if it was recorded before. */
  addFailure(run: number): boolean {
    if (this.failedRunNumbers.has(run)) return false;
    this.failedRunNumbers.add(run);
    return true;
  }

  /** The runs of the task that may occupy resources. */
  get assignments(): ReadonlyArray<Assignment> {
    return this.activeAssignments;
  }

  /** Ids of the workers that may run the task; the last one until the next run. */
  get workerIds(): ReadonlySet<string> {
    return new Set([...this.earlierWorkers, ...this.placedWorkers]);
  }

  /**
   * Restores the workers that an earlier term has stored. The task is not started
   * until `EarlierServiceRuns` releases it.
   */
  restoreWorkers(workerIds: ReadonlySet<string>): void {
    this.earlierWorkers = workerIds;
    this.delayStart('earlierRun');
    this.sentWorkers = workerIds;
    this.storedWorkers = workerIds;
  }

  /** Records that the present `workerIds` are being stored. */
  markWorkersSent(): void {
    this.sentWorkers = this.workerIds;
  }

  /** Records that the last sent ones are stored. */
  markWorkersStored(): void {
    this.storedWorkers = this.sentWorkers;
  }

  /** Returns whether the journal names a worker, whichever record it holds. */
  isStoredAt(workerId: string): boolean {
    return this.sentWorkers.has(workerId) && this.storedWorkers.has(workerId);
  }

  /** Whether the task may be started now, apart from its step's order. */
  get waiting(): boolean {
    const mayStart = !this.done && this.startDelays.size === 0;
    return mayStart && this.assignments.length === 0;
  }

  /** Keeps the task from being started until `allowStart`. */
  delayStart(reason: StartDelay): void {
    if (this.waiting) this.step.taskStoppedWaiting();
    this.startDelays.add(reason);
  }

  /** Whether a reason, and no other one, keeps the task from being started. */
  isDelayedOnlyBy(reason: StartDelay): boolean {
    return this.startDelays.size === 1 && this.startDelays.has(reason);
  }

  /** Ends the delay of `delayStart`. */
  allowStart(reason: StartDelay): void {
    if (!this.startDelays.delete(reason)) return;
    if (this.waiting) this.step.taskWaits();
  }

  addAssignment(assignment: Assignment): void {
    if (this.waiting) this.step.taskStoppedWaiting();
    this.lastStartedAt = assignment.startedAt;
    const others = this.activeAssignments.map(({worker}) => worker.id);
    this.placedWorkers = new Set([...others, assignment.worker.id]);
    this.activeAssignments.push(assignment);
  }

  findAssignment(
    worker: remoteWorker.RemoteWorker,
    run: number,
  ): Assignment | undefined {
    return this.assignments.find(
      assignment => assignment.worker === worker && assignment.run === run,
    );
  }

  removeAssignment(assignment: Assignment): void {
    const position = this.activeAssignments.indexOf(assignment);
    if (position < 0) return;
    this.activeAssignments.splice(position, 1);
    if (this.waiting) this.step.taskWaits();
  }
}
