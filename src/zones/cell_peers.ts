import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellMember from './cell_member.js';
import type * as election from './election.js';
import type * as job from '../jobs/job.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';

/** What members tell each other with each ping. */
interface GossipState {
  readonly newest: cellMember.Claim | undefined;
  readonly configurationVersion: number;
}

/** A ping. */
export interface PingMessage extends GossipState {
  /** Address of the member that pings. */
  readonly sender: string;
}

/** Answer to a ping. */
export interface PingReply extends GossipState, election.LeadershipStatus {
  /** Time since the store last confirmed that version as the newest one. */
  readonly configurationAgeMs: number;
}

/** An answer that only the scheduler can give. */
export type LeaderCallOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  /** The member does not lead, or does not know the jobs yet. */
  | {readonly kind: 'notLeading'}
  /** Nothing listens there: the call did not arrive. */
  | {readonly kind: 'refused'}
  /** The call may have arrived. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** What a call without a led answer brought. */
export type PeerCallOutcome<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  | {readonly kind: 'refused'}
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Calls to other members by their addresses; none of them rejects. */
export interface CellPeers {
  ping(
    address: string,
    message: PingMessage,
    timeoutMs: number,
  ): Promise<PeerCallOutcome<PingReply>>;
  fetchConfiguration(
    address: string,
    timeoutMs: number,
  ): Promise<PeerCallOutcome<job.OperatorConfiguration | undefined>>;
  submit(
    address: string,
    definition: job.JobDefinition,
    configurationVersion: number,
    timeoutMs: number,
  ): Promise<LeaderCallOutcome<jobAdmission.SubmitOutcome>>;
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

/** What a member answers when others call it. */
export interface CellService {
  answerPing(message: PingMessage): PingReply;
  readonly configuration: job.OperatorConfiguration | undefined;
  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> | undefined;
  cancel(
    queue: string,
    id: string,
  ): Promise<jobScheduler.CancelOutcome> | undefined;
  /** The state within an object, so that "no such job" is an answer too. */
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
