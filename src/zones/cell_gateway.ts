import type * as jobAdmission from '../jobs/job_admission.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as responseTimer from '../machines/response_timer.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Cell member in this process, which the gateway calls without the network. */
export interface LocalMember extends cellPeers.CellService {
  readonly leader: cellMember.Claim | undefined;
  readonly runsScheduler: boolean;
}

/** Outcome of a call that only the leader of the cell can answer. */
export type GatewayOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** No serving leader was reached; the call had no effect. */
  | {readonly kind: 'noScheduler'}
  /** The call may have taken effect. */
  | {readonly kind: 'unknown'};

/** Timeout of one attempt, after which the call is sent again. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Delay before the next attempt. */
const RETRY_DELAY_MS = 60;

/**
 * Longest time that a call waits for a serving leader. A failover takes less
 * time than this; after it, a retry by the caller is better than a longer wait.
 */
const LEADER_WAIT_LIMIT_MS = 2_000;

/**
 * Share of the caller's time during which a submission waits for a silent store
 * to answer again. The rest lets the caller retry or go elsewhere.
 */
const STORE_WAIT_SHARE = 0.45;

/** Delay before a submission is repeated while the store is silent. */
const STORE_RETRY_DELAY_MS = 200;

/** Part of the caller's time reserved for sending the response. */
const RESPONSE_RESERVE_MS = 120;

/** Forwards calls to the leader of the cell; retries during a failover. */
export class CellGateway {
  constructor(
    private readonly localMember: LocalMember,
    private readonly peers: cellPeers.CellPeers,
    private readonly clock: clock.Clock,
    private readonly timer: jobJournal.DelayTimer,
    private readonly responseTimer: responseTimer.ResponseTimer,
    private readonly counters: schedulerOptions.Counters,
  ) {}

  /** Submits a job; retries while the store is silent for a short time. */
  async submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobAdmission.SubmitOutcome>> {
    const startedAt = this.clock.now();
    const storeWaitLimitMs = STORE_WAIT_SHARE * (deadline - startedAt);
    for (;;) {
      const outcome = await this.callLeader(
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
      // Retry only a submission that was definitely not accepted. If the first
      // one may have been accepted, a refusal of the second could be wrong.
      if (
        !isStoreSilent(outcome) ||
        nextAttemptAt - startedAt > storeWaitLimitMs
      ) {
        return outcome;
      }
      this.counters.count('calls_repeated', 'storeSilent');
      await this.timer.delay(STORE_RETRY_DELAY_MS);
    }
  }

  /** Cancels a job through the leader. */
  cancel(
    queue: string,
    id: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobScheduler.CancelOutcome>> {
    return this.callLeader(
      deadline,
      () => this.localMember.cancel(queue, id),
      (address, timeoutMs) => this.peers.cancel(address, queue, id, timeoutMs),
    );
  }

  /** Reads the state of a job; the value is undefined for an unknown job. */
  readState(
    queue: string,
    id: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<job.JobState | undefined>> {
    const local = (): Promise<job.JobState | undefined> | undefined => {
      const found = this.localMember.readState(queue, id);
      return found && Promise.resolve(found.state);
    };
    return this.callLeader(deadline, local, (address, timeoutMs) =>
      this.peers.readState(address, queue, id, timeoutMs),
    );
  }

  /** Counts the jobs of a queue that have no started task. */
  countPending(
    queue: string,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<number>> {
    const local = (): Promise<number> | undefined => {
      const count = this.localMember.countPending(queue);
      return count === undefined ? undefined : Promise.resolve(count);
    };
    return this.callLeader(deadline, local, (address, timeoutMs) =>
      this.peers.countPending(address, queue, timeoutMs),
    );
  }

  private async callLeader<Value>(
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
      if (!uncertain && now - startedAt > LEADER_WAIT_LIMIT_MS) {
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
      await this.timer.delay(RETRY_DELAY_MS);
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
    return new Promise((resolve, reject) => {
      const timeout = this.responseTimer.start(timeoutMs, () =>
        resolve({kind: 'unanswered', detail: 'no answer from the store'}),
      );
      answer
        .then(value => resolve({kind: 'answered', value}), reject)
        .finally(() => timeout.cancel());
    });
  }
}

function isStoreSilent(
  outcome: GatewayOutcome<jobAdmission.SubmitOutcome>,
): boolean {
  if (outcome.kind !== 'answered') return false;
  const {value} = outcome;
  return value.kind === 'refused' && value.reason === 'storeSilent';
}
