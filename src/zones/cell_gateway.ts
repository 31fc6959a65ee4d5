import type * as jobAdmission from '../jobs/job_admission.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** What the gateway asks its own process. */
export interface LocalCell extends cellPeers.CellService {
  readonly leader: cellMember.Claim | undefined;
  readonly leadsItself: boolean;
}

/** Fate of a call that only the scheduler can answer. */
export type GatewayOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** No scheduler could be asked; nothing was done. */
  | {readonly kind: 'noScheduler'}
  /** The call may have taken effect. */
  | {readonly kind: 'unknown'};

/** Time for one attempt; the scheduler is asked again after it. */
const ATTEMPT_MS = 1_000;

/** Pause before another attempt. */
const ATTEMPT_PAUSE_MS = 60;

/**
 * How long a call waits for a scheduler. A succession is over by then; a
 * caller that waits longer does better to come back.
 */
const PATIENCE_MS = 2_000;

/**
 * Part of a caller's time for which a job waits for the store to answer again.
 * The caller keeps enough of it to come back or to go elsewhere.
 */
const STORE_PATIENCE_SHARE = 0.45;

/** Pause before the scheduler is asked again while the store is silent. */
const STORE_PAUSE_MS = 200;

/** Time that is kept for the answer's way back. */
const RETURN_MS = 120;

/** Passes calls on to the scheduler, wherever it is, through a succession. */
export class CellGateway {
  constructor(
    private readonly cell: LocalCell,
    private readonly peers: cellPeers.CellPeers,
    private readonly clock: clock.Clock,
    private readonly pauses: jobJournal.Pauses,
    private readonly counters: schedulerOptions.Counters,
  ) {}

  /** Hands a job in; waits out a short silence of the store. */
  async submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobAdmission.SubmitOutcome>> {
    const startedAt = this.clock.now();
    const patienceMs = STORE_PATIENCE_SHARE * (deadline - startedAt);
    for (;;) {
      const outcome = await this.ask(
        deadline,
        () => this.cell.submit(definition, configurationVersion),
        (address, timeoutMs) =>
          this.peers.submit(
            address,
            definition,
            configurationVersion,
            timeoutMs,
          ),
      );
      const resumeAt = this.clock.now() + STORE_PAUSE_MS;
      // Only what is surely not accepted may be handed in once more, or else a
      // later refusal would be untrue.
      if (!isStoreSilent(outcome) || resumeAt - startedAt > patienceMs) {
        return outcome;
      }
      this.counters.count('calls_repeated', 'storeSilent');
      await this.pauses.pause(STORE_PAUSE_MS);
    }
  }

  /** Cancels a job. */
  cancel(
    queue: string,
    id: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobScheduler.CancelOutcome>> {
    return this.ask(
      deadline,
      () => this.cell.cancel(queue, id),
      (address, timeoutMs) => this.peers.cancel(address, queue, id, timeoutMs),
    );
  }

  /** Returns the state of a job; undefined within the answer for none. */
  readState(
    queue: string,
    id: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<job.JobState | undefined>> {
    const local = (): Promise<job.JobState | undefined> | undefined => {
      const found = this.cell.readState(queue, id);
      return found && Promise.resolve(found.state);
    };
    return this.ask(deadline, local, (address, timeoutMs) =>
      this.peers.readState(address, queue, id, timeoutMs),
    );
  }

  /** Counts the jobs of a queue of which nothing has started. */
  countPending(
    queue: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<number>> {
    const local = (): Promise<number> | undefined => {
      const count = this.cell.countPending(queue);
      return count === undefined ? undefined : Promise.resolve(count);
    };
    return this.ask(deadline, local, (address, timeoutMs) =>
      this.peers.countPending(address, queue, timeoutMs),
    );
  }

  private async ask<Value>(
    deadline: clock.Milliseconds,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.Led<Value>>,
  ): Promise<GatewayOutcome<Value>> {
    const startedAt = this.clock.now();
    let inDoubt = false;
    for (;;) {
      const now = this.clock.now();
      const left = deadline - RETURN_MS - ATTEMPT_PAUSE_MS - now;
      if (left <= 0) return {kind: inDoubt ? 'unknown' : 'noScheduler'};
      if (!inDoubt && now - startedAt > PATIENCE_MS) {
        return {kind: 'noScheduler'};
      }
      const attempt = await this.attempt(
        Math.min(left, ATTEMPT_MS),
        local,
        remote,
      );
      if (attempt.kind === 'answered') return attempt;
      if (attempt.kind === 'unanswered') inDoubt = true;
      this.counters.count('calls_repeated', attempt.kind);
      await this.pauses.pause(ATTEMPT_PAUSE_MS);
    }
  }

  private async attempt<Value>(
    timeoutMs: number,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.Led<Value>>,
  ): Promise<cellPeers.Led<Value>> {
    const answer = local();
    if (answer !== undefined) return this.within(timeoutMs, answer);
    const {leader, leadsItself} = this.cell;
    if (leader === undefined || leadsItself) return {kind: 'notLeading'};
    return remote(leader.address, timeoutMs);
  }

  private within<Value>(
    timeoutMs: number,
    answer: Promise<Value>,
  ): Promise<cellPeers.Led<Value>> {
    const answered = answer.then(value => ({kind: 'answered', value}) as const);
    const late = this.pauses
      .pause(timeoutMs)
      .then(() => ({kind: 'unanswered', detail: 'store'}) as const);
    return Promise.race([answered, late]);
  }
}

function isStoreSilent(
  outcome: GatewayOutcome<jobAdmission.SubmitOutcome>,
): boolean {
  if (outcome.kind !== 'answered') return false;
  const {value} = outcome;
  return value.kind === 'refused' && value.reason === 'storeSilent';
}
