import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as leaderMonitor from './leader_monitor.js';

/** State that members exchange with each ping and reply. */
interface GossipState {
  /** Newest claim that the sender knows. */
  readonly newest: cellMember.Claim | undefined;
  readonly configurationVersion: number;
}

/** A reply to a ping, as its reader tells the member that sent it. */
export interface ReceivedReply {
  /** Incarnation of the process that sent the reply. */
  readonly incarnation: string;
  /** When it was sent, on the clock of that process. */
  readonly sentAt: clock.Milliseconds;
}

/** Ping that tells another member the newest state known to the sender. */
export interface PingMessage extends GossipState {
  /** Address of the member that sent the ping. */
  readonly sender: string;
  /** Incarnation of the process that sent the ping. */
  readonly senderIncarnation: string;
  /**
   * Last reply of the receiver that the sender has read. It shows that the
   * ping, which may be read late, was sent after that reply.
   */
  readonly lastReply: ReceivedReply | undefined;
}

/** Reply to a ping, with the leadership status of the replying member. */
export interface PingReply extends GossipState, leaderMonitor.LeadershipStatus {
  /** Time since the store last confirmed that version as the newest. */
  readonly configurationAgeMs: number;
  /** Whether the replying member refuses jobs as an overloaded leader. */
  readonly overloaded: boolean;
  /** When the reply was sent, on the clock of the replying member. */
  readonly sentAt: clock.Milliseconds;
}

/** What a member knows of the operator's configuration. */
export interface MemberConfiguration {
  /** Undefined if the member has none, or none that is newer than asked for. */
  readonly configuration: job.OperatorConfiguration | undefined;
  /** Version that the member has; 0 if none. */
  readonly version: number;
  /** Time since that version was last proven to be the newest. */
  readonly ageMs: number;
}

/** Outcome of a call that only the leader can answer. */
export type LeaderCallOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** The member is not the leader, or has not loaded the jobs yet. */
  | {readonly kind: 'notLeading'}
  /** Connection refused: the call did not arrive. */
  | {readonly kind: 'refused'}
  /** The call may have arrived. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Outcome of a call that every member can answer. */
export type PeerCallOutcome<Value> =
  {readonly kind: 'answered'; readonly value: Value} | MissingResponse;

/** Outcome of a call without a response. */
export type MissingResponse =
  /** Connection refused: the call did not arrive. */
  | {readonly kind: 'refused'}
  /** The call may have arrived. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Client for calls to other members by address; no call rejects. */
export interface CellPeers {
  ping(
    address: string,
    message: PingMessage,
    timeoutMs: number,
  ): Promise<PeerCallOutcome<PingReply>>;
  /** Asks a member for its configuration if that is newer than a version. */
  fetchConfiguration(
    address: string,
    knownVersion: number,
    timeoutMs: number,
  ): Promise<PeerCallOutcome<MemberConfiguration>>;
  submit(
    address: string,
    definition: job.JobDefinition,
    configurationVersion: number,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<jobAdmission.SubmitOutcome>>;
  /** Asks which jobs are refused; one outcome for each job, in order. */
  screen(
    address: string,
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<ReadonlyArray<jobAdmission.ScreeningOutcome>>>;
  cancel(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<jobScheduler.CancelOutcome>>;
  readState(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<job.JobState | undefined>>;
  countPending(
    address: string,
    queue: string,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<number>>;
  advise(
    address: string,
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome>;
}

/**
 * Handlers for calls from other members. Those that only the leader can answer
 * return undefined on any other member.
 */
export interface CellService {
  answerPing(message: PingMessage): PingReply;
  /** Returns the configuration of this member if it is newer than a version. */
  configurationSince(knownVersion: number): MemberConfiguration;
  /** Version of the configuration that this member has; 0 if none. */
  readonly configurationVersion: number;
  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> | undefined;
  screen(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): ReadonlyArray<jobAdmission.ScreeningOutcome> | undefined;
  cancel(
    queue: string,
    id: string,
  ): Promise<jobScheduler.CancelOutcome> | undefined;
  /** Wraps the state, so that "no such job" differs from "not the leader". */
  readState(
    queue: string,
    id: string,
  ): {readonly state: job.JobState | undefined} | undefined;
  countPending(queue: string): number | undefined;
  advise(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome>;
}
