import * as workerSelection from './worker_selection.js';
import type * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Requests tickets during one turn. Once the service has refused a call, no
 * call of that length is tried again in the turn.
 */
export class AdviceRequester {
  /** Length of the shortest call that was not accepted. */
  private refusedCallMs = Infinity;

  constructor(private readonly adviceCache: adviceCache.AdviceCache) {}

  /** Returns whether a call about the step may be sent now. */
  canRequest(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
  ): boolean {
    if (timing.decideMs >= this.refusedCallMs) return false;
    if (!this.adviceCache.mayAsk(step)) return false;
    if (this.adviceCache.acceptsCall(timing)) return true;
    this.refusedCallMs = timing.decideMs;
    return false;
  }

  /**
   * Requests tickets for workers that lack one, if a call may be sent. Returns
   * those of them that are eligible apart from the ticket.
   */
  request(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
    now: clock.Milliseconds,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const {definition} = step;
    const eligible = workers.filter(
      worker =>
        workerSelection.isEligible(worker, definition, facts) &&
        this.adviceCache.lacksTicket(step, worker, now),
    );
    const unasked = eligible.filter(worker => this.isUnasked(step, worker));
    if (unasked.length > 0 && this.canRequest(step, timing)) {
      this.sendCalls(step, timing, unasked, () =>
        workers.filter(
          worker =>
            !workerSelection.isEligible(worker, definition, facts) &&
            workerSelection.fitsTotalCapacity(worker, definition) &&
            this.adviceCache.lacksTicket(step, worker, now),
        ),
      );
    }
    return eligible;
  }

  /** Sends as many calls about a step as it needs and the service takes. */
  private sendCalls(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    eligible: ReadonlyArray<remoteWorker.RemoteWorker>,
    findOthers: () => ReadonlyArray<remoteWorker.RemoteWorker>,
  ): void {
    let unasked = sortByPreference(step.definition, eligible);
    let others: ReadonlyArray<remoteWorker.RemoteWorker> | undefined;
    const sortedOthers = (): ReadonlyArray<remoteWorker.RemoteWorker> =>
      (others ??= sortByPreference(step.definition, findOthers()));
    while (unasked.length > 0 && this.canRequest(step, timing)) {
      const sent = this.adviceCache.request(
        step,
        timing,
        unasked,
        sortedOthers,
      );
      if (!sent) {
        this.refusedCallMs = timing.decideMs;
        return;
      }
      unasked = unasked.filter(worker => this.isUnasked(step, worker));
    }
  }

  private isUnasked(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): boolean {
    return !this.adviceCache.isBeingAsked(step, worker);
  }

  /** Requests tickets for a step that is not ready, unless it has some. */
  prefetch(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    now: clock.Milliseconds,
  ): void {
    if (this.adviceCache.nextExpiryAt(step, now) < Infinity) return;
    if (!this.canRequest(step, timing)) return;
    const {definition} = step;
    const candidates = workers.filter(worker =>
      workerSelection.fitsTotalCapacity(worker, definition),
    );
    this.adviceCache.request(
      step,
      timing,
      sortByPreference(definition, candidates),
      () => [],
    );
  }
}

/** Sorts workers: those near the data first, then by free processors. */
function sortByPreference(
  step: job.Step,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): ReadonlyArray<remoteWorker.RemoteWorker> {
  const dataLocality = (worker: remoteWorker.RemoteWorker): number =>
    step.dataRack !== undefined && worker.rack === step.dataRack ? 1 : 0;
  return [...workers].sort(
    (left, right) =>
      dataLocality(right) - dataLocality(left) ||
      right.free.processors - left.free.processors,
  );
}
