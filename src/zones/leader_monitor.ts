import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** Leadership status that a member reports in its reply to a ping. */
export interface LeadershipStatus {
  readonly incarnation: string;
  readonly leading: boolean;
  readonly resigning: boolean;
  readonly storeSilentMs: number;
}

/** Reason to replace the leader; logged and counted with each claim. */
export type SuspicionReason =
  /** The cell never had a leader. */
  | 'noLeader'
  /** This process is the claimed leader, but was restarted since. */
  | 'ownRestart'
  /** This process led until a worker or the store told it of a later term. */
  | 'ownTermEnded'
  /** Neither replies to pings nor records of progress arrive. */
  | 'silence'
  /** Like silence, but the leader reports that it hears no majority. */
  | 'noContact'
  | 'refused'
  | 'incarnation'
  | 'resigned'
  | 'storeSilent'
  | 'takeoverTimeout';

/** Reason to replace the leader and the time from which it holds. */
export interface Suspicion {
  readonly reason: SuspicionReason;
  readonly since: clock.Milliseconds;
}

/** Time without a reply or a progress record after which the leader is lost. */
const LEADER_SILENCE_TIMEOUT_MS = 900;

/** Time that a new leader has for each step of its takeover. */
const TAKEOVER_STEP_TIMEOUT_MS = 2_500;

/** Silence of the store towards the leader after which others claim. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/**
 * Time after a refused connection from which on a record that is read was sent
 * later; one read earlier may be the last of a leader that was killed.
 */
const RECORD_TRANSIT_LIMIT_MS = 400;

/**
 * Failure detector for the leader. The leader is alive while it replies to
 * pings or writes its progress to the cell's log: a busy leader replies late,
 * and a partition may stop the pings of some members only. Progress does not
 * count while the leader itself hears no majority of the members.
 */
export class LeaderMonitor {
  private claim: cellMember.Claim | undefined;
  private lastReplyAt: clock.Milliseconds;
  private lastProgressAt = -Infinity;
  /** When the leader first reported that it hears no majority. */
  private contactLostAt: clock.Milliseconds | undefined;
  private takeoverStep = 0;
  private takeoverAdvancedAt: clock.Milliseconds;
  /** What the leader's status or a refused connection gave reason for. */
  private reported: Suspicion | undefined;

  constructor(now: clock.Milliseconds) {
    this.lastReplyAt = now;
    this.takeoverAdvancedAt = now;
  }

  /** Starts to observe the leader of a new term. */
  observeTerm(claim: cellMember.Claim, now: clock.Milliseconds): void {
    this.claim = claim;
    this.lastReplyAt = now;
    this.lastProgressAt = -Infinity;
    this.contactLostAt = undefined;
    this.takeoverStep = 0;
    this.takeoverAdvancedAt = now;
    this.reported = undefined;
  }

  /** Records the status that the leader sent in reply to a ping. */
  recordStatus(status: LeadershipStatus, now: clock.Milliseconds): void {
    this.lastReplyAt = now;
    this.report(this.reasonInStatus(status, now), now);
  }

  /** Records a progress record that was read from the cell's log. */
  recordProgress(
    progress: cellMember.LeaderProgress,
    now: clock.Milliseconds,
  ): void {
    if (progress.term !== this.claim?.term) return;
    if (progress.takeoverStep > this.takeoverStep) {
      this.takeoverStep = progress.takeoverStep;
      this.takeoverAdvancedAt = now;
    }
    if (progress.hearsMajority) {
      this.lastProgressAt = now;
      this.contactLostAt = undefined;
    } else {
      this.lastProgressAt = -Infinity;
      this.contactLostAt ??= now;
    }
    const reason = this.reasonInProgress(progress, now);
    const isRevoked = this.isRevokedBy(progress, now);
    if (reason !== undefined || isRevoked) this.report(reason, now);
  }

  /** Records that the leader's address refused a connection. */
  markRefused(now: clock.Milliseconds): void {
    this.reported ??= {reason: 'refused', since: now};
  }

  /**
   * Excludes time in which this process could not read messages from the
   * leader's silence and from the duration of its takeover.
   */
  excludeLostTime(lostMs: number, now: clock.Milliseconds): void {
    this.lastReplyAt = Math.min(now, this.lastReplyAt + lostMs);
    this.lastProgressAt = Math.min(now, this.lastProgressAt + lostMs);
    this.takeoverAdvancedAt = Math.min(now, this.takeoverAdvancedAt + lostMs);
  }

  /** Time since the leader last proved to be alive. */
  silenceMs(now: clock.Milliseconds): number {
    return now - Math.max(this.lastReplyAt, this.lastProgressAt);
  }

  /** Returns the reason to replace the leader; undefined if there is none. */
  suspicion(now: clock.Milliseconds): Suspicion | undefined {
    if (this.reported !== undefined) return this.reported;
    if (this.silenceMs(now) < LEADER_SILENCE_TIMEOUT_MS) return undefined;
    const lastProofAt = Math.max(this.lastReplyAt, this.lastProgressAt);
    const timeoutAt = lastProofAt + LEADER_SILENCE_TIMEOUT_MS;
    if (this.contactLostAt === undefined) {
      return {reason: 'silence', since: timeoutAt};
    }
    const since = Math.max(timeoutAt, this.contactLostAt);
    return {reason: 'noContact', since};
  }

  /** Returns whether the leader is suspected only because of a silent store. */
  suspectsStoreOnly(now: clock.Milliseconds): boolean {
    return (
      this.reported?.reason === 'storeSilent' &&
      now < this.lastReplyAt + LEADER_SILENCE_TIMEOUT_MS
    );
  }

  /** Returns whether a record of this term disproves the reported reason. */
  private isRevokedBy(
    progress: cellMember.LeaderProgress,
    now: clock.Milliseconds,
  ): boolean {
    switch (this.reported?.reason) {
      case 'takeoverTimeout':
      // A stored record shows that the store answers the leader.
      case 'storeSilent':
        return true;
      case 'refused': {
        const sentSince = now >= this.reported.since + RECORD_TRANSIT_LIMIT_MS;
        return progress.hearsMajority && sentSince;
      }
      default:
        // Other reasons come from replies, and only a reply revokes them.
        return false;
    }
  }

  /** Changes the reported reason; a reason that stays keeps its time. */
  private report(
    reason: SuspicionReason | undefined,
    now: clock.Milliseconds,
  ): void {
    const since = this.reported?.since ?? now;
    this.reported = reason === undefined ? undefined : {reason, since};
  }

  private reasonInStatus(
    status: LeadershipStatus,
    now: clock.Milliseconds,
  ): SuspicionReason | undefined {
    if (status.incarnation !== this.claim?.incarnation) return 'incarnation';
    if (status.resigning) return 'resigned';
    if (!status.leading && this.isTakeoverStuck(now)) return 'takeoverTimeout';
    if (status.storeSilentMs > STORE_SILENCE_LIMIT_MS) return 'storeSilent';
    return undefined;
  }

  private reasonInProgress(
    progress: cellMember.LeaderProgress,
    now: clock.Milliseconds,
  ): SuspicionReason | undefined {
    if (progress.resigning) return 'resigned';
    const isStuck = !progress.leading && this.isTakeoverStuck(now);
    return isStuck ? 'takeoverTimeout' : undefined;
  }

  private isTakeoverStuck(now: clock.Milliseconds): boolean {
    return now - this.takeoverAdvancedAt > TAKEOVER_STEP_TIMEOUT_MS;
  }
}
