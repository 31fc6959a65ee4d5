import * as task from './task.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as placement from './placement.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerClient from '../machines/worker_client.js';

/** Hears what became of orders. */
export interface DispatchListener {
  /** The worker obeys a later term. */
  superseded(): void;
  /** The worker at this address lives another life. */
  lifeEnded(worker: remoteWorker.RemoteWorker): void;
  /** A start was surely not carried out, so that the task waits again. */
  startRejected(
    assignment: task.Assignment,
    why: workerClient.RejectionReason,
  ): void;
  /** A run was confirmed by its worker. */
  started(assignment: task.Assignment): void;
}

/** Pause before an order without an answer is repeated. */
const REPEAT_MS = 400;

/** Repeats of a start that follow at once. */
const PROMPT_REPEATS = 3;

/** Starts without an answer after which the run is stopped instead. */
const START_PATIENCE_MS = 2_000;

/** Orders starts and stops and follows each until its outcome is certain. */
export class Dispatcher {
  constructor(
    private readonly calls: workerClient.WorkerClient,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly clock: clock.Clock,
    private readonly fence: number,
    private readonly leaseMs: number,
    /** Tells whether leases may be granted; each start grants one. */
    private readonly mayExtend: () => boolean,
    private readonly listener: DispatchListener,
  ) {}

  /** Starts a run of a task; its room is taken at once. */
  start(
    target: task.Task,
    place: placement.Place,
    run: number,
  ): task.Assignment {
    const now = this.clock.now();
    const {worker, ticket} = place;
    const assignment = new task.Assignment(target, worker, run, ticket, now);
    target.lastRun = Math.max(target.lastRun, run);
    this.index.add(assignment);
    this.sendStart(assignment);
    return assignment;
  }

  /** Stops a run; its room stays taken until the end is listed. */
  stop(assignment: task.Assignment): void {
    if (assignment.phase === 'stopping') return;
    assignment.phase = 'stopping';
    this.sendStop(assignment);
  }

  /** Repeats orders that got no answer. */
  repeatOrders(): void {
    const now = this.clock.now();
    for (const assignment of this.index.all()) {
      if (assignment.orderInFlight || assignment.worker.unreachable) continue;
      if (now - assignment.orderedAt < REPEAT_MS) continue;
      const settled = assignment.stopSettledAt < Infinity;
      if (assignment.phase === 'stopping' && !settled) {
        this.sendStop(assignment);
      }
      if (assignment.phase !== 'starting') continue;
      if (now - assignment.startedAt < START_PATIENCE_MS) {
        this.sendStart(assignment);
      } else {
        this.stop(assignment);
      }
    }
  }

  /** Sets the share of its processors at which a run works. */
  pace(assignment: task.Assignment, percent: number): void {
    assignment.pace = percent;
    const {worker} = assignment;
    void this.calls.throttle(worker.entry, assignment, percent, this.fence);
  }

  private sendStart(assignment: task.Assignment): void {
    const {target, worker, run, ticket} = assignment;
    // The run may have been given up since its last order.
    if (!this.mayExtend() || !this.index.of(worker).has(assignment)) return;
    const now = this.clock.now();
    const deadlineMs = worker.extendLease(now, this.leaseMs);
    if (deadlineMs === undefined) return;
    this.markSent(assignment, now);
    const order = {
      task: target.name,
      run,
      payload: target.step.owner.definition.payload,
      fence: this.fence,
      deadlineMs,
      checkpoint: target.checkpoint,
      ticket,
    };
    void this.calls
      .start(worker.entry, order)
      .then(outcome => this.startAnswered(assignment, outcome));
  }

  private startAnswered(
    assignment: task.Assignment,
    outcome: workerClient.CommandOutcome,
  ): void {
    assignment.orderInFlight = false;
    if (outcome.kind === 'unanswered') {
      this.repeatStart(assignment);
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
        this.listener.lifeEnded(assignment.worker);
        return;
      default:
        this.startRejected(assignment, outcome.reason);
    }
  }

  private startRejected(
    assignment: task.Assignment,
    why: workerClient.RejectionReason,
  ): void {
    // An earlier copy of the order was carried out.
    if (assignment.seen) return;
    // An earlier copy without an answer may have run, even to its end, or may
    // start later: what the worker lists after a stop tells.
    if (assignment.unanswered > 0) this.stop(assignment);
    else this.listener.startRejected(assignment, why);
  }

  /**
   * The same start may be sent again: a worker that carried it out before says
   * so. Later repeats are left to the next look at all orders.
   */
  private repeatStart(assignment: task.Assignment): void {
    assignment.unanswered += 1;
    const wanted = assignment.phase === 'starting' && !assignment.seen;
    if (!wanted || assignment.worker.unreachable) return;
    if (assignment.unanswered <= PROMPT_REPEATS) this.sendStart(assignment);
  }

  private sendStop(assignment: task.Assignment): void {
    this.markSent(assignment, this.clock.now());
    const {worker} = assignment;
    void this.calls.stop(worker.entry, assignment, this.fence).then(outcome => {
      assignment.orderInFlight = false;
      if (outcome.kind === 'done') {
        assignment.stopSettledAt = this.clock.now();
      }
      if (outcome.kind !== 'rejected') return;
      if (outcome.reason === 'superseded') this.listener.superseded();
      if (outcome.reason === 'otherLife') this.listener.lifeEnded(worker);
    });
  }

  private markSent(assignment: task.Assignment, now: clock.Milliseconds): void {
    assignment.orderInFlight = true;
    assignment.orderedAt = now;
  }
}
