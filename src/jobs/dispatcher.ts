import * as jobTask from './job_task.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerClient from '../machines/worker_client.js';

/** Hears what became of orders. */
export interface DispatchListener {
  /** The worker obeys a later term. */
  superseded(): void;
  /** The worker at this address lives another life. */
  incarnationEnded(worker: remoteWorker.RemoteWorker): void;
  /** A start was surely not carried out, so that the task waits again. */
  startRejected(
    assignment: jobTask.Assignment,
    why: workerClient.RejectionReason,
  ): void;
  /** A run was confirmed by its worker. */
  started(assignment: jobTask.Assignment): void;
}

/** Pause before an order without an answer is repeated. */
const ORDER_RETRY_INTERVAL_MS = 400;

/** Repeats of a start that follow at once. */
const FAST_RETRIES = 3;

/** Starts without an answer after which the run is stopped instead. */
const START_TIMEOUT_MS = 2_000;

/** Orders starts and stops and follows each until its outcome is certain. */
export class Dispatcher {
  constructor(
    private readonly calls: workerClient.WorkerClient,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly clock: clock.Clock,
    private readonly fencingToken: number,
    private readonly leaseMs: number,
    /** Tells whether leases may be granted; each start grants one. */
    private readonly mayGrantLeases: () => boolean,
    private readonly listener: DispatchListener,
  ) {}

  /** Starts a run of a task; its room is taken at once. */
  start(
    task: jobTask.JobTask,
    selected: workerSelection.SelectedWorker,
    run: number,
  ): jobTask.Assignment {
    const now = this.clock.now();
    const {worker, ticket} = selected;
    const assignment = new jobTask.Assignment(task, worker, run, ticket, now);
    task.highestRun = Math.max(task.highestRun, run);
    this.index.add(assignment);
    this.sendStart(assignment);
    return assignment;
  }

  /** Stops a run; its room stays taken until the end is listed. */
  stop(assignment: jobTask.Assignment): void {
    if (assignment.phase === 'stopping') return;
    assignment.phase = 'stopping';
    this.sendStop(assignment);
  }

  /** Repeats orders that got no answer. */
  retryOrders(): void {
    const now = this.clock.now();
    for (const assignment of this.index.all()) {
      if (assignment.orderInFlight || assignment.worker.unreachable) continue;
      if (now - assignment.lastOrderAt < ORDER_RETRY_INTERVAL_MS) continue;
      const stopConfirmed = assignment.stopConfirmedAt < Infinity;
      if (assignment.phase === 'stopping' && !stopConfirmed) {
        this.sendStop(assignment);
      }
      if (assignment.phase !== 'starting') continue;
      if (now - assignment.startedAt < START_TIMEOUT_MS) {
        this.sendStart(assignment);
      } else {
        this.stop(assignment);
      }
    }
  }

  /** Sets the share of its processors at which a run works. */
  throttle(assignment: jobTask.Assignment, percent: number): void {
    assignment.processorPercent = percent;
    const {worker} = assignment;
    void this.calls.throttle(
      worker.entry,
      assignment,
      percent,
      this.fencingToken,
    );
  }

  private sendStart(assignment: jobTask.Assignment): void {
    const {jobTask: task, worker, run, ticket} = assignment;
    // The run may have been given up since its last order.
    if (!this.mayGrantLeases() || !this.index.runsOn(worker).has(assignment)) {
      return;
    }
    const now = this.clock.now();
    const deadlineMs = worker.extendLease(now, this.leaseMs);
    if (deadlineMs === undefined) return;
    this.markSent(assignment, now);
    const order = {
      task: task.name,
      run,
      payload: task.step.owner.definition.payload,
      fence: this.fencingToken,
      deadlineMs,
      checkpoint: task.checkpoint,
      ticket,
    };
    void this.calls
      .start(worker.entry, order)
      .then(outcome => this.handleStartOutcome(assignment, outcome));
  }

  private handleStartOutcome(
    assignment: jobTask.Assignment,
    outcome: workerClient.CommandOutcome,
  ): void {
    assignment.orderInFlight = false;
    if (outcome.kind === 'unanswered') {
      this.retryStart(assignment);
      return;
    }
    if (outcome.kind === 'done') {
      if (assignment.phase === 'starting') assignment.phase = 'running';
      this.listener.started(assignment);
      return;
    }
    switch (outcome.reason) {
      case 'superseded':
        this.listener.superseded();
        return;
      case 'otherLife':
        this.listener.incarnationEnded(assignment.worker);
        return;
      default:
        this.handleStartRejection(assignment, outcome.reason);
    }
  }

  private handleStartRejection(
    assignment: jobTask.Assignment,
    why: workerClient.RejectionReason,
  ): void {
    // An earlier copy of the order was carried out.
    if (assignment.reported) return;
    // An earlier copy without an answer may have run, even to its end, or may
    // start later: what the worker lists after a stop tells.
    if (assignment.unansweredStarts > 0) this.stop(assignment);
    else this.listener.startRejected(assignment, why);
  }

  /**
   * The same start may be sent again: a worker that carried it out before says
   * so. Later repeats are left to the next look at all orders.
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
    void this.calls
      .stop(worker.entry, assignment, this.fencingToken)
      .then(outcome => {
        assignment.orderInFlight = false;
        if (outcome.kind === 'done') {
          assignment.stopConfirmedAt = this.clock.now();
        }
        if (outcome.kind !== 'rejected') return;
        if (outcome.reason === 'superseded') this.listener.superseded();
        if (outcome.reason === 'otherLife') {
          this.listener.incarnationEnded(worker);
        }
      });
  }

  private markSent(
    assignment: jobTask.Assignment,
    now: clock.Milliseconds,
  ): void {
    assignment.orderInFlight = true;
    assignment.lastOrderAt = now;
  }
}
