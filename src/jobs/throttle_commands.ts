import * as fencingToken from '../machines/fencing_token.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';
import type * as workerClient from '../machines/worker_client.js';

/** Time after which a command without a known outcome is sent again. */
export const COMMAND_RETRY_INTERVAL_MS = 400;

/** Time for which an unanswered limit may still be carried out. */
const LATE_COMMAND_MS = 10_000;

/** Interval at which a limit is repeated as long as an older one may follow. */
const REPEAT_INTERVAL_MS = 2_000;

/** The limit that a run shall have, and what is known of its delivery. */
interface WantedLimit {
  readonly percent: number;
  /** Number of the limit among those of its run. */
  readonly version: number;
  readonly sentAt: clock.Milliseconds;
  /** Whether the worker has confirmed this limit. */
  readonly confirmed: boolean;
  readonly inFlight: boolean;
  /** Until when an unanswered earlier limit may still be carried out. */
  readonly uncertainUntil: clock.Milliseconds;
}

/**
 * Sends the processor limits of runs, each until the worker has confirmed it.
 * The last wanted limit wins: it is repeated while an earlier one that was not
 * answered may still be carried out.
 */
export class ThrottleCommands {
  private readonly limits = new Map<jobTask.Assignment, WantedLimit>();

  constructor(
    private readonly workerClient: workerClient.WorkerClient,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly clock: clock.Clock,
    private readonly term: number,
    private readonly onRejected: (
      assignment: jobTask.Assignment,
      reason: workerClient.RejectionReason,
    ) => void,
  ) {}

  /** Sets the limit of a run and sends it. */
  set(assignment: jobTask.Assignment, percent: number): void {
    const earlier = this.limits.get(assignment);
    const uncertainUntil = earlier?.uncertainUntil ?? -Infinity;
    this.limits.set(assignment, {
      percent,
      version: (earlier?.version ?? 0) + 1,
      sentAt: -Infinity,
      confirmed: false,
      inFlight: false,
      uncertainUntil,
    });
    this.send(assignment);
  }

  /** Sends limits again whose outcome is not known. */
  retry(now: clock.Milliseconds): void {
    for (const [assignment, limit] of this.limits) {
      if (this.isOver(assignment) || isSettled(limit, now)) {
        this.limits.delete(assignment);
        continue;
      }
      if (limit.inFlight || assignment.worker.unreachable) continue;
      const intervalMs = limit.confirmed
        ? REPEAT_INTERVAL_MS
        : COMMAND_RETRY_INTERVAL_MS;
      if (now - limit.sentAt >= intervalMs) this.send(assignment);
    }
  }

  private isOver(assignment: jobTask.Assignment): boolean {
    const isStopping = assignment.phase === 'stopping';
    return isStopping || !this.assignmentIndex.has(assignment);
  }

  private send(assignment: jobTask.Assignment): void {
    const limit = this.limits.get(assignment);
    if (limit === undefined) return;
    const {worker} = assignment;
    const {percent, version} = limit;
    const sentAt = this.clock.now();
    this.limits.set(assignment, {...limit, sentAt, inFlight: true});
    const token = fencingToken.fencingTokenOf(this.term, worker.incarnation);
    void this.workerClient
      .throttle(worker.entry, assignment, percent, token)
      .then(outcome => this.handleOutcome(assignment, version, outcome));
  }

  private handleOutcome(
    assignment: jobTask.Assignment,
    version: number,
    outcome: workerClient.CommandOutcome,
  ): void {
    const limit = this.limits.get(assignment);
    const uncertainUntil = this.clock.now() + LATE_COMMAND_MS;
    if (limit !== undefined) {
      const isCurrent = limit.version === version;
      this.limits.set(assignment, {
        ...limit,
        inFlight: isCurrent ? false : limit.inFlight,
        confirmed: limit.confirmed || (isCurrent && outcome.kind === 'done'),
        uncertainUntil:
          outcome.kind === 'unanswered' ? uncertainUntil : limit.uncertainUntil,
      });
    }
    if (outcome.kind === 'rejected') {
      this.onRejected(assignment, outcome.reason);
    }
  }
}

/** Returns whether a limit is confirmed and no older one can follow it. */
function isSettled(limit: WantedLimit, now: clock.Milliseconds): boolean {
  return limit.confirmed && now >= limit.uncertainUntil;
}
