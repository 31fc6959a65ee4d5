import * as leaderGate from './leader_gate.js';
import * as retryBudget from '../contracts/retry_budget.js';
import * as submissionScreen from './submission_screen.js';
import * as jobAdmission from '../jobs/job_admission.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as responseTimer from '../machines/response_timer.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Cell member in this process, which the gateway calls without the network. */
export interface LocalMember
  extends cellPeers.CellService, leaderGate.LocalScheduler {
  readonly leader: cellMember.Claim | undefined;
  readonly runsScheduler: boolean;
  /** Whether the leader has lately reported that it is overloaded. */
  readonly leaderOverloaded: boolean;
}

/** Outcome of a call that only the leader of the cell can answer. */
export type GatewayOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** No serving leader was reached; the call had no effect. */
  | {readonly kind: 'noScheduler'}
  /** The call may have taken effect. */
  | {readonly kind: 'unknown'};

/** Timeout of an attempt that the retry budget has a retry for. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Delay before the next attempt. */
const RETRY_DELAY_MS = 60;

/** Interval at which a call that waits checks whether the leader changed. */
const LEADER_CHECK_INTERVAL_MS = 250;

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
  private readonly gate: leaderGate.LeaderGate;
  private readonly screen: submissionScreen.SubmissionScreen;
  /** Charged with the repeats of calls that the leader may be working on. */
  private readonly retryBudget = new retryBudget.RetryBudget();

  constructor(
    private readonly localMember: LocalMember,
    private readonly peers: cellPeers.CellPeers,
    private readonly clock: clock.Clock,
    private readonly timer: jobJournal.DelayTimer,
    private readonly responseTimer: responseTimer.ResponseTimer,
    private readonly counters: schedulerOptions.Counters,
  ) {
    this.gate = new leaderGate.LeaderGate(clock, timer, localMember);
    this.screen = new submissionScreen.SubmissionScreen(
      peers,
      timer,
      () => localMember.leader,
    );
  }

  /** Submits a job; retries while the store is silent for a short time. */
  async submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    deadline: clock.Milliseconds,
  ): Promise<GatewayOutcome<jobAdmission.SubmitOutcome>> {
    const startedAt = this.clock.now();
    const refusal = await this.screenedRefusal(definition);
    if (refusal !== undefined) return {kind: 'answered', value: refusal};
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
        value => value.kind === 'refused',
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

  /**
   * Returns the refusal of a job by an overloaded leader. The front can't tell
   * a new job from one that was accepted, so it asks before it refuses.
   */
  private async screenedRefusal(
    definition: job.JobDefinition,
  ): Promise<jobAdmission.SubmitRefused | undefined> {
    const {leaderOverloaded, runsScheduler} = this.localMember;
    if (runsScheduler || !leaderOverloaded) return undefined;
    const {refusal} = await this.screen.screen(
      jobAdmission.toScreenedJob(definition),
    );
    const outcome = refusal === undefined ? 'submitted' : 'refused';
    this.counters.count('jobs_screened', outcome);
    return refusal;
  }

  /**
   * Calls the leader until it answers. `isRefusal` tells the values that say
   * that the call has no effect: such a value holds only for its own attempt,
   * so the outcome is unknown if an earlier attempt was unanswered.
   */
  private async callLeader<Value>(
    deadline: clock.Milliseconds,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.LeaderCallOutcome<Value>>,
    isRefusal: (value: Value) => boolean = () => false,
  ): Promise<GatewayOutcome<Value>> {
    const lastAttemptAt = deadline - RESPONSE_RESERVE_MS - RETRY_DELAY_MS;
    const leaderWaitEndsAt = Math.min(
      lastAttemptAt,
      this.clock.now() + LEADER_WAIT_LIMIT_MS,
    );
    let uncertain = false;
    for (;;) {
      // A call that may have taken effect can't be refused, so it waits longer.
      const waitEndsAt = uncertain ? lastAttemptAt : leaderWaitEndsAt;
      if (!(await this.gate.pass(waitEndsAt))) {
        return {kind: uncertain ? 'unknown' : 'noScheduler'};
      }
      const budgetMs = lastAttemptAt - this.clock.now();
      const attempt = await this.attemptWithinBudget(budgetMs, local, remote);
      if (attempt.kind === 'answered') {
        this.gate.recordAnswer();
        this.retryBudget.recordSuccess();
        const isDoubtful = uncertain && isRefusal(attempt.value);
        return isDoubtful ? {kind: 'unknown'} : attempt;
      }
      this.counters.count('calls_repeated', attempt.kind);
      if (attempt.kind === 'unanswered') {
        uncertain = true;
        await this.timer.delay(RETRY_DELAY_MS);
      } else {
        this.gate.recordRefusal();
      }
    }
  }

  /**
   * Makes an attempt that is given up after a second if the budget has a retry
   * for it. Otherwise it waits for as long as its caller does, unless the
   * leader changes: a repeat would only add to the load of a slow leader.
   */
  private async attemptWithinBudget<Value>(
    budgetMs: number,
    local: () => Promise<Value> | undefined,
    remote: (
      address: string,
      timeoutMs: number,
    ) => Promise<cellPeers.LeaderCallOutcome<Value>>,
  ): Promise<cellPeers.LeaderCallOutcome<Value>> {
    if (!this.retryBudget.trySpend(this.clock.now())) {
      this.counters.count('calls_extended', 'retryBudgetSpent');
      let hasEnded = false;
      return Promise.race([
        this.attempt(budgetMs, local, remote),
        this.leaderChange(budgetMs, () => hasEnded),
      ]).finally(() => (hasEnded = true));
    }
    const timeoutMs = Math.min(budgetMs, ATTEMPT_TIMEOUT_MS);
    const outcome = await this.attempt(timeoutMs, local, remote);
    if (outcome.kind !== 'unanswered') this.retryBudget.giveBack();
    return outcome;
  }

  /**
   * Resolves once the leader has changed, at most after a time, or once the
   * attempt that waits for the change has ended.
   */
  private async leaderChange(
    limitMs: number,
    hasEnded: () => boolean,
  ): Promise<{readonly kind: 'unanswered'; readonly detail: string}> {
    const {leader} = this.localMember;
    const until = this.clock.now() + limitMs;
    while (!hasEnded() && this.clock.now() < until) {
      await this.timer.delay(LEADER_CHECK_INTERVAL_MS);
      if (this.localMember.leader?.term !== leader?.term) break;
    }
    return {kind: 'unanswered', detail: 'leader changed'};
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
