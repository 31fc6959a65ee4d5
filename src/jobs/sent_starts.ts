import * as earlierLeases from './earlier_leases.js';
import * as remoteWorker from '../machines/remote_worker.js';
import type * as clock from '../machines/clock.js';

/** One copy of a start, until its answer has arrived. */
export interface SentStart {
  readonly sentAt: clock.Milliseconds;
  /** Number of the run; 0 if an earlier term has sent it. */
  readonly run: number;
  /** Worker that it was sent to; undefined if no record of its term names it. */
  readonly worker?: remoteWorker.RemoteWorker;
}

/**
 * What may still become of a copy without an answer, while its task has no run.
 * `open`: its worker may carry it out, or run it unseen. `rejected`: the worker
 * rejects it, or is gone, as far as is known; an incarnation that is not known
 * yet has seen neither a fencing token nor a run and would carry it out. `over`:
 * it can't be carried out any more.
 */
export type CopyState = 'open' | 'rejected' | 'over';

/** Records at a worker that a copy has got no answer and may arrive late. */
export function expectLateStart(
  worker: remoteWorker.RemoteWorker,
  copy: SentStart,
): void {
  const until = copy.sentAt + remoteWorker.LATE_CALL_MS;
  const {newest} = worker;
  newest.lateStartsUntil = Math.max(newest.lateStartsUntil, until);
}

/** Records at a worker that a start of an earlier term may arrive late. */
export function inheritLateStart(
  worker: remoteWorker.RemoteWorker,
  now: clock.Milliseconds,
): void {
  expectLateStart(worker, inheritedStart(now));
}

/**
 * Returns a start that an earlier term left without an answer, as if it were
 * sent when that term's proof of leadership ends: it may be repeated until then.
 */
function inheritedStart(
  now: clock.Milliseconds,
  worker?: remoteWorker.RemoteWorker,
): SentStart {
  const sentAt = now + earlierLeases.LEADERSHIP_PROOF_LIFETIME_MS;
  return {sentAt, run: 0, worker};
}

/** The copies of a task's starts, of all runs, that may still be carried out. */
export class SentStarts {
  private readonly copies = new Set<SentStart>();

  /** Records a copy that is being sent. */
  add(
    now: clock.Milliseconds,
    run: number,
    worker: remoteWorker.RemoteWorker,
  ): SentStart {
    const copy = {sentAt: now, run, worker};
    this.copies.add(copy);
    return copy;
  }

  /** Records that an earlier term left a start without an answer. */
  inherit(
    now: clock.Milliseconds,
    worker: remoteWorker.RemoteWorker | undefined,
  ): void {
    this.copies.add(inheritedStart(now, worker));
  }

  /** Records that a copy can't be carried out any more. */
  settle(copy: SentStart): void {
    this.copies.delete(copy);
  }

  /** Returns whether a copy may still be carried out. */
  mayArrive(now: clock.Milliseconds): boolean {
    const sinceMs = now - remoteWorker.LATE_CALL_MS;
    return [...this.copies].some(({sentAt}) => sentAt > sinceMs);
  }

  /**
   * Returns whether a copy that is known to have been sent, but not where, may
   * still be carried out or may run unseen.
   */
  mayRunAnywhere(now: clock.Milliseconds): boolean {
    if (!this.mayRunUnseen(now)) return false;
    return [...this.copies].some(({worker}) => worker === undefined);
  }

  /** Returns whether a copy may still be carried out, or may run unseen. */
  mayRunUnseen(now: clock.Milliseconds): boolean {
    const sinceMs = now - remoteWorker.LATE_LEASE_MS;
    for (const copy of this.copies) {
      if (copy.sentAt <= sinceMs) this.copies.delete(copy);
    }
    return this.copies.size > 0;
  }

  /**
   * Returns whether a worker may have to do with a copy of an earlier run than
   * `run`, in this incarnation or in one that is not known yet.
   */
  hasPendingBefore(
    run: number,
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): boolean {
    return this.pending(now).some(
      copy => copy.run < run && copy.worker?.newest === worker,
    );
  }

  /** Returns the copies that are not over. */
  pending(now: clock.Milliseconds): ReadonlyArray<SentStart> {
    return [...this.copies].filter(copy => stateOf(copy, now) !== 'over');
  }
}

/** Returns what may become of a copy. */
export function stateOf(
  {sentAt, worker}: SentStart,
  now: clock.Milliseconds,
): CopyState {
  const arrivesUntil = sentAt + remoteWorker.LATE_CALL_MS;
  if (worker === undefined) {
    // `RunRecovery` waits for the reports of all workers after that.
    return now < arrivesUntil ? 'open' : 'over';
  }
  const {newest} = worker;
  if (newest.idHasEnded) return 'over';
  if (now < arrivesUntil) {
    return worker.rejectsLateCalls ? 'rejected' : 'open';
  }
  const isReported =
    newest.fencingTokenAccepted && newest.lastAnswerAt >= arrivesUntil;
  if (isReported || worker.isGone) return 'over';
  return now < sentAt + remoteWorker.LATE_LEASE_MS ? 'open' : 'over';
}
