import * as fencingToken from '../machines/fencing_token.js';
import * as sentStarts from './sent_starts.js';
import * as jobTask from './job_task.js';
import * as throttleCommands from './throttle_commands.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as workerSelection from './worker_selection.js';
import type * as loopMeter from '../machines/loop_meter.js';
import type * as runMonitor from './run_monitor.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerClient from '../machines/worker_client.js';

/** Receives the outcomes of commands. */
export interface DispatchListener {
  /** A worker rejected a command because it has seen a higher fencing token. */
  termSuperseded(worker: remoteWorker.RemoteWorker): void;
  /** Another incarnation answered at the worker's address. */
  workerReplaced(worker: remoteWorker.RemoteWorker): void;
  /** A start was definitely not carried out; the task waits again. */
  startRejected(
    assignment: jobTask.Assignment,
    reason: workerClient.RejectionReason,
  ): void;
  /** A copy of a start got no answer and may still be carried out. */
  startUnanswered(assignment: jobTask.Assignment): void;
  /** Stores the worker of a run whose start may not be sent before. */
  storePlacement(assignment: jobTask.Assignment, onStored: () => void): void;
  /** The worker confirmed a start. */
  startConfirmed(assignment: jobTask.Assignment): void;
}

/** Retries of a start that are sent without a delay. */
const FAST_RETRIES = 3;

/** Age at which an unanswered start is no longer retried but stopped. */
const START_TIMEOUT_MS = 2_000;

/** Most commands that one call of `retryCommands` sends. */
const MAXIMUM_RETRIES_PER_CALL = 100;

/** Sends commands to workers, each until its outcome is known. */
export class Dispatcher {
  /** Runs whose last command may need a retry. */
  private readonly unconfirmed = new Set<jobTask.Assignment>();
  private readonly throttleCommands: throttleCommands.ThrottleCommands;

  constructor(
    private readonly workerClient: workerClient.WorkerClient,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly clock: clock.Clock,
    private readonly term: number,
    private readonly leaseMs: number,
    /** Returns whether leases may be granted; each start grants one. */
    private readonly mayGrantLeases: () => boolean,
    private readonly loopMeter: loopMeter.LoopMeter,
    private readonly runMonitor: runMonitor.RunMonitor,
    private readonly listener: DispatchListener,
  ) {
    this.throttleCommands = new throttleCommands.ThrottleCommands(
      workerClient,
      assignmentIndex,
      clock,
      term,
      (assignment, reason) => this.handleRejection(assignment, reason),
    );
  }

  /** Starts a run of a task and reserves its resources at once. */
  start(
    task: jobTask.JobTask,
    selected: workerSelection.SelectedWorker,
    run: number,
  ): jobTask.Assignment {
    const now = this.clock.now();
    const {worker, ticket} = selected;
    const assignment = new jobTask.Assignment(task, worker, run, ticket, now);
    task.highestRun = Math.max(task.highestRun, run);
    this.assignmentIndex.add(assignment);
    this.unconfirmed.add(assignment);
    const {longRunning} = task.step.definition;
    if (longRunning && !task.isStoredAt(worker.id)) {
      this.sendOnceStored(assignment);
    } else {
      this.sendStart(assignment);
    }
    return assignment;
  }

  /**
   * Sends a start once the journal names its worker, so that the next term need
   * wait for no other. The write costs tasks that last little: they are few.
   */
  private sendOnceStored(assignment: jobTask.Assignment): void {
    assignment.placementStored = false;
    this.listener.storePlacement(assignment, () => {
      assignment.placementStored = true;
      assignment.sendableSince = this.clock.now();
      if (assignment.phase === 'starting') this.sendStart(assignment);
    });
  }

  /** Stops a run; its resources stay reserved until its end is reported. */
  stop(assignment: jobTask.Assignment): void {
    if (assignment.phase === 'stopping') return;
    assignment.beginStop();
    this.unconfirmed.add(assignment);
    this.sendStop(assignment);
  }

  /** Retries unanswered commands that are due. */
  retryCommands(): void {
    const now = this.clock.now();
    this.throttleCommands.retry(now);
    let sentCount = 0;
    for (const assignment of this.unconfirmed) {
      if (!this.needsCommand(assignment)) {
        this.unconfirmed.delete(assignment);
        continue;
      }
      if (assignment.commandInFlight || assignment.worker.unreachable) continue;
      if (!isSendable(assignment)) continue;
      const sinceCommandMs = now - assignment.lastCommandAt;
      if (sinceCommandMs < throttleCommands.COMMAND_RETRY_INTERVAL_MS) continue;
      this.retryCommand(assignment, now);
      sentCount += 1;
      if (sentCount === MAXIMUM_RETRIES_PER_CALL) return;
    }
  }

  /** Limits a run to a percentage of its processors. */
  throttle(assignment: jobTask.Assignment, percent: number): void {
    assignment.processorPercent = percent;
    this.throttleCommands.set(assignment, percent);
  }

  private needsCommand(assignment: jobTask.Assignment): boolean {
    if (!this.assignmentIndex.has(assignment)) return false;
    const {phase, stopConfirmedAt} = assignment;
    return (
      phase === 'starting' ||
      (phase === 'stopping' && stopConfirmedAt === Infinity)
    );
  }

  private retryCommand(
    assignment: jobTask.Assignment,
    now: clock.Milliseconds,
  ): void {
    if (assignment.phase === 'stopping') {
      this.sendStop(assignment);
    } else if (now - assignment.sendableSince < START_TIMEOUT_MS) {
      this.sendStart(assignment);
    } else {
      this.stop(assignment);
    }
  }

  private sendStart(assignment: jobTask.Assignment): void {
    const {jobTask: task, worker, run, ticket} = assignment;
    // The run may have been released since its last command.
    if (!this.mayGrantLeases() || !this.assignmentIndex.has(assignment)) {
      return;
    }
    const now = this.clock.now();
    // The worker may have restarted and carried out a copy of an earlier run. Its
    // next answer shows that, and `retryCommands` sends the start after it.
    const awaitsAnswer =
      worker.mayHaveRestarted(now) &&
      task.sentStarts.hasPendingBefore(run, worker, now);
    if (awaitsAnswer) return;
    const deadlineMs = worker.extendLease(now, this.leaseMs);
    if (deadlineMs === undefined) return;
    this.markSent(assignment, now);
    assignment.startsInFlight += 1;
    const copy = task.sentStarts.add(now, run, worker);
    const isRepeat = assignment.unansweredStarts > 0;
    const maySend = (): boolean => this.confirmSending(assignment, isRepeat);
    const command = {
      task: task.name,
      run,
      payload: task.step.jobRecord.definition.payload,
      fencingToken: this.fencingTokenOf(worker),
      deadlineMs,
      checkpoint: task.checkpoint,
      ticket,
    };
    void this.loopMeter
      .measure('starts', () =>
        this.workerClient.start(worker.entry, command, maySend),
      )
      .then(outcome => {
        if (isConclusive(outcome)) {
          task.sentStarts.settle(copy);
        } else {
          sentStarts.expectLateStart(worker, copy);
          this.listener.startUnanswered(assignment);
        }
        this.handleStartOutcome(assignment, outcome);
      });
  }

  /**
   * Decides once more about a start that is about to leave: it may have waited
   * for a connection, or this process may have stood still.
   */
  private confirmSending(
    assignment: jobTask.Assignment,
    isRepeat: boolean,
  ): boolean {
    const isWanted =
      assignment.phase !== 'stopping' && this.assignmentIndex.has(assignment);
    if (!isWanted || !this.mayGrantLeases()) return false;
    this.runMonitor.startSent(assignment, isRepeat, this.clock.now());
    return true;
  }

  private handleStartOutcome(
    assignment: jobTask.Assignment,
    outcome: workerClient.CommandOutcome,
  ): void {
    assignment.commandInFlight = false;
    assignment.startsInFlight -= 1;
    if (outcome.kind === 'unanswered') {
      this.retryStart(assignment);
      return;
    }
    if (outcome.kind === 'done') {
      assignment.confirm(this.clock.now());
      this.listener.startConfirmed(assignment);
      return;
    }
    switch (outcome.reason) {
      case 'superseded':
        this.listener.termSuperseded(assignment.worker);
        return;
      case 'otherLife':
        this.listener.workerReplaced(assignment.worker);
        return;
      default:
        this.handleStartRejection(assignment, outcome.reason);
    }
  }

  private handleStartRejection(
    assignment: jobTask.Assignment,
    reason: workerClient.RejectionReason,
  ): void {
    // The worker carried out an earlier copy of the command.
    if (assignment.reported) return;
    // An unanswered earlier copy may have run, even to its end, or may still be
    // carried out. The worker's report after a stop shows which.
    if (assignment.unansweredStarts > 0) this.stop(assignment);
    else this.listener.startRejected(assignment, reason);
  }

  /**
   * Retries a start, which is idempotent: a worker that has carried it out
   * confirms it again. After `FAST_RETRIES`, `retryCommands` takes over.
   */
  private retryStart(assignment: jobTask.Assignment): void {
    assignment.unansweredStarts += 1;
    const stillWanted = assignment.phase === 'starting' && !assignment.reported;
    if (!stillWanted || assignment.worker.unreachable) return;
    if (assignment.unansweredStarts <= FAST_RETRIES) this.sendStart(assignment);
  }

  private sendStop(assignment: jobTask.Assignment): void {
    this.markSent(assignment, this.clock.now());
    const {worker} = assignment;
    void this.workerClient
      .stop(worker.entry, assignment, this.fencingTokenOf(worker))
      .then(outcome => {
        assignment.commandInFlight = false;
        if (outcome.kind === 'done') {
          assignment.stopConfirmedAt = this.clock.now();
        }
        if (outcome.kind === 'rejected') {
          this.handleRejection(assignment, outcome.reason);
        }
      });
  }

  /** Handles what a rejection says about this term or the worker's incarnation. */
  private handleRejection(
    assignment: jobTask.Assignment,
    reason: workerClient.RejectionReason,
  ): void {
    if (reason === 'superseded') {
      this.listener.termSuperseded(assignment.worker);
    }
    if (reason === 'otherLife') {
      this.listener.workerReplaced(assignment.worker);
    }
  }

  private fencingTokenOf(worker: remoteWorker.RemoteWorker): number {
    return fencingToken.fencingTokenOf(this.term, worker.incarnation);
  }

  private markSent(
    assignment: jobTask.Assignment,
    now: clock.Milliseconds,
  ): void {
    assignment.commandInFlight = true;
    assignment.lastCommandAt = now;
  }
}

/** Returns whether a start with this outcome can't be carried out any more. */
function isConclusive(outcome: workerClient.CommandOutcome): boolean {
  return outcome.kind !== 'unanswered' || outcome.notSent === true;
}

/** Returns whether a command may be sent: a start waits for its placement. */
function isSendable({phase, placementStored}: jobTask.Assignment): boolean {
  return phase === 'stopping' || placementStored;
}
