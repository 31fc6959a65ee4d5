import type * as jobAdmission from '../jobs/job_admission.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** What the gateway asks its own process. */
export interface LocalMember extends cellPeers.CellService {
  readonly leader: cellMember.Claim | undefined;
  readonly runsScheduler: boolean;
}

/** Fate of a call that only the scheduler can answer. */
export type GatewayOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** No scheduler could be asked; nothing was done. */
  | {readonly kind: 'noScheduler'}
  /** The call may have taken effect. */
  | {readonly kind: 'unknown'};

/** Time for one attempt; the scheduler is asked again after it. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Pause before another attempt. */
const RETRY_DELAY_MS = 60;

/**
 * How long a call waits for a scheduler. A succession is over by then; a
 * caller that waits longer does better to come back.
 */
const SCHEDULER_WAIT_LIMIT_MS = 2_000;

/**
 * Part of a caller's time for which a job waits for the store to answer again.
 * The caller keeps enough of it to come back or to go elsewhere.
 */
const STORE_WAIT_SHARE = 0.45;

/** Pause before the scheduler is asked again while the store is silent. */
const STORE_RETRY_DELAY_MS = 200;

/** Time that is kept for the answer's way back. */
const RESPONSE_RESERVE_MS = 120;

/** Passes calls on to the scheduler, wherever it is, through a succession. */
export class CellGateway {
  constructor(
    private readonly localMember: LocalMember,
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
    const storeWaitLimitMs = STORE_WAIT_SHARE * (deadline - startedAt);
    for (;;) {
      const outcome = await this.callScheduler(
        deadline,
        () => this.localMember.submit(definition, configurationVersion),
        (address, timeoutMs) =>
          this.peers.submit(
            address,
            definition,
            configurationVersion,
            timeoutMs,
          ),
      );
      const nextAttemptAt = this.clock.now() + STORE_RETRY_DELAY_MS;
      // Only what is surely not accepted may be handed in once more, or else a
      // later refusal would be untrue.
      if (
        !isStoreSilent(outcome) ||
        nextAttemptAt - startedAt > storeWaitLimitMs
      ) {
        return outcome;
      }
      this.counters.count('calls_repeated', 'storeSilent');
      await this.pauses.pause(STORE_RETRY_DELAY_MS);
    }
  }

  /** Cancels a job. */
  cancel(
    queue: string,
    id: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobScheduler.CancelOutcome>> {
    return this.callScheduler(
      deadline,
      () => this.localMember.cancel(queue, id),
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
      const found = this.localMember.readState(queue, id);
      return found && Promise.resolve(found.state);
    };
    return this.callScheduler(deadline, local, (address, timeoutMs) =>
      this.peers.readState(address, queue, id, timeoutMs),
    );
  }

  /** Counts the jobs of a queue of which nothing has started. */
  countPending(
    queue: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<number>> {
    const local = (): Promise<number> | undefined => {
      const count = this.localMember.countPending(queue);
      return count === undefined ? undefined : Promise.resolve(count);
    };
    return this.callScheduler(deadline, local, (address, timeoutMs) =>
      this.peers.countPending(address, queue, timeoutMs),
    );
  }

  private async callScheduler<Value>(
    deadline: clock.Milliseconds,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.LeaderCallOutcome<Value>>,
  ): Promise<GatewayOutcome<Value>> {
    const startedAt = this.clock.now();
    let uncertain = false;
    for (;;) {
      const now = this.clock.now();
      const budgetMs = deadline - RESPONSE_RESERVE_MS - RETRY_DELAY_MS - now;
      if (budgetMs <= 0) return {kind: uncertain ? 'unknown' : 'noScheduler'};
      if (!uncertain && now - startedAt > SCHEDULER_WAIT_LIMIT_MS) {
        return {kind: 'noScheduler'};
      }
      const attempt = await this.attempt(
        Math.min(budgetMs, ATTEMPT_TIMEOUT_MS),
        local,
        remote,
      );
      if (attempt.kind === 'answered') return attempt;
      if (attempt.kind === 'unanswered') uncertain = true;
      this.counters.count('calls_repeated', attempt.kind);
      await this.pauses.pause(RETRY_DELAY_MS);
    }
  }

  private async attempt<Value>(
    timeoutMs: number,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.LeaderCallOutcome<Value>>,
  ): Promise<cellPeers.LeaderCallOutcome<Value>> {
    const answer = local();
    if (answer !== undefined) return this.withTimeout(timeoutMs, answer);
    const {leader, runsScheduler} = this.localMember;
    if (leader === undefined || runsScheduler) return {kind: 'notLeading'};
    return remote(leader.address, timeoutMs);
  }

  private withTimeout<Value>(
    timeoutMs: number,
    answer: Promise<Value>,
  ): Promise<cellPeers.LeaderCallOutcome<Value>> {
    const answered = answer.then(value => ({kind: 'answered', value}) as const);
    const timedOut = this.pauses
      .pause(timeoutMs)
      .then(() => ({kind: 'unanswered', detail: 'store'}) as const);
    return Promise.race([answered, timedOut]);
  }
}

function isStoreSilent(
  outcome: GatewayOutcome<jobAdmission.SubmitOutcome>,
): boolean {
  if (outcome.kind !== 'answered') return false;
  const {value} = outcome;
  return value.kind === 'refused' && value.reason === 'storeSilent';
}
