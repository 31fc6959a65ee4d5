import * as heldRestarts from './held_restart.js';
import * as sentStarts from './sent_starts.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A final end of a task that is stored and not acknowledged yet. */
interface HeldEnd {
  readonly task: jobTask.JobTask;
  readonly heldSince: clock.Milliseconds;
  readonly acknowledge: () => void;
}

/** Receives what is held back, and when it is not any more. */
export interface LateStartListener {
  /** A task may not start, as some workers may carry out earlier starts. */
  restartHeld(task: jobTask.JobTask, workers: ReadonlyArray<string>): void;
  /** A final end is acknowledged. */
  endHeldBack(heldMs: clock.Milliseconds): void;
  /** A task may start again on any worker. */
  restartHeldBack(task: jobTask.JobTask, heldMs: clock.Milliseconds): void;
  /** Returns whether a worker would take a task if it had room. */
  mayTake(task: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean;
  /** Starts a task on a worker if that can take it now. */
  restartInPlace(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
  ): void;
}

/**
 * Holds back the next run of a task while a copy of an earlier start may still
 * be carried out: an incarnation that has ended or stopped the earlier run, or
 * has seen a higher fencing token, rejects that copy, but the next one under the
 * worker's id does not. Until then the task may run on that worker alone: if its
 * next incarnation carries the copy out, the later run has ended with the
 * incarnation before.
 *
 * It also holds back the acknowledgement of a success, or of the last attempt that
 * has failed, while a copy of a start of its task may still be carried out. The
 * worker that ran the task rejects such a copy, but its next incarnation does not:
 * it has seen neither the run nor a fencing token. A worker that is lost before
 * the acknowledgement takes the end with it, so that no start follows an
 * acknowledged one.
 */
export class LateStarts {
  private held: ReadonlyArray<HeldEnd> = [];
  private readonly restarts = new Map<
    jobTask.JobTask,
    heldRestarts.HeldRestart
  >();

  constructor(private readonly listener: LateStartListener) {}

  /**
   * Keeps a task without a run from being started, if that is needed. Its last
   * run, if there was one, was last known to run at `lastRunAt`.
   */
  holdRestart(
    task: jobTask.JobTask,
    now: clock.Milliseconds,
    lastRunAt = now,
  ): void {
    if (this.restarts.has(task)) return;
    const held = new heldRestarts.HeldRestart(task, now, lastRunAt);
    const copies = pendingStarts(task, now);
    if (!held.mustWait(copies, now)) return;
    task.delayStart('lateStart');
    this.restarts.set(task, held);
    // At once, before another task takes the room of the last run.
    held.keepRoomOn(this.findKeptWorker(task, copies));
    const workers = copies.map(({worker}) => worker?.id ?? 'ofEarlierTerm');
    this.listener.restartHeld(task, [...new Set(workers)]);
  }

  /** Calls `acknowledge` once no start of the task can be carried out. */
  whenNoneMayArrive(
    task: jobTask.JobTask,
    now: clock.Milliseconds,
    acknowledge: () => void,
  ): void {
    if (mayStartAgain(task, now)) {
      this.held = [...this.held, {task, heldSince: now, acknowledge}];
    } else {
      acknowledge();
    }
  }

  /** Ends what need not be held back any more. */
  review(now: clock.Milliseconds): void {
    for (const held of this.restarts.values()) this.reviewRestart(held, now);
    if (this.held.length === 0) return;
    const due = this.held.filter(({task}) => !mayStartAgain(task, now));
    this.held = this.held.filter(end => !due.includes(end));
    for (const {heldSince, acknowledge} of due) {
      this.listener.endHeldBack(now - heldSince);
      acknowledge();
    }
  }

  private reviewRestart(
    held: heldRestarts.HeldRestart,
    now: clock.Milliseconds,
  ): void {
    const {task, heldSince} = held;
    const copies = pendingStarts(task, now);
    // A task with a run is held again once that has ended.
    if (task.assignments.length > 0 || !held.mustWait(copies, now)) {
      held.keepRoomOn(undefined);
      this.restarts.delete(task);
      task.allowStart('lateStart');
      this.listener.restartHeldBack(task, now - heldSince);
      return;
    }
    const worker = this.findKeptWorker(task, copies);
    held.keepRoomOn(worker);
    if (worker === undefined || !task.isDelayedOnlyBy('lateStart')) return;
    held.useRoom(() => this.listener.restartInPlace(task, worker));
  }

  /**
   * Returns the worker on which a task may start in spite of the copies, if that
   * takes tasks; undefined if there is none.
   */
  private findKeptWorker(
    task: jobTask.JobTask,
    copies: ReadonlyArray<sentStarts.SentStart>,
  ): remoteWorker.RemoteWorker | undefined {
    // A run that has failed there would most likely fail again.
    const hasFailed = task.failedRuns.size > 0 || task.step.definition.gang;
    if (hasFailed || task.assignments.length > 0) return undefined;
    const worker = onlyWorkerOf(copies);
    if (worker === undefined || !this.listener.mayTake(task, worker)) {
      return undefined;
    }
    return worker;
  }
}

/**
 * Returns the newest incarnation of the only worker that may carry out the
 * copies; undefined if there are several, or one that no record names.
 */
function onlyWorkerOf(
  copies: ReadonlyArray<sentStarts.SentStart>,
): remoteWorker.RemoteWorker | undefined {
  const [first, ...others] = copies.map(({worker}) => worker?.newest);
  return others.every(worker => worker === first) ? first : undefined;
}

/**
 * Returns whether a copy of a start of the task may be carried out, or one of
 * another member of its gang: a member's success counts for all of them.
 */
function mayStartAgain(
  task: jobTask.JobTask,
  now: clock.Milliseconds,
): boolean {
  return sentStartsOf(task).some(starts => starts.mayArrive(now));
}

/** Returns the copies that keep a task from being started on other workers. */
function pendingStarts(
  task: jobTask.JobTask,
  now: clock.Milliseconds,
): ReadonlyArray<sentStarts.SentStart> {
  return sentStartsOf(task).flatMap(starts => starts.pending(now));
}

/**
 * Returns whether a copy of a start of the task, or of another member of its
 * gang, may be carried out or may run on an incarnation out of reach.
 */
export function mayRunUnseen(
  task: jobTask.JobTask,
  now: clock.Milliseconds,
): boolean {
  if (mayRunAnywhere(task, now)) return true;
  return pendingStarts(task, now).some(
    copy => sentStarts.stateOf(copy, now) === 'open',
  );
}

/**
 * Returns whether a copy of a start of the task, or of another member of its
 * gang, may run on a worker that no record names.
 */
export function mayRunAnywhere(
  task: jobTask.JobTask,
  now: clock.Milliseconds,
): boolean {
  return sentStartsOf(task).some(starts => starts.mayRunAnywhere(now));
}

/** Returns the starts that count for a task; none if it may have duplicates. */
function sentStartsOf({
  step,
  sentStarts: starts,
}: jobTask.JobTask): ReadonlyArray<sentStarts.SentStarts> {
  if (step.definition.duplicatesAllowed) return [];
  if (!step.definition.gang) return [starts];
  return step.tasks.map(member => member.sentStarts);
}
