import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** What a ping to the scheduler brought. */
export interface LeadershipStatus {
  readonly incarnation: string;
  readonly leading: boolean;
  readonly resigning: boolean;
  readonly storeSilentMs: number;
}

/** Silence of the scheduler after which it counts as lost. */
const LEADER_SILENCE_TIMEOUT_MS = 900;

/** Time that a scheduler has to take over before it is replaced. */
const TAKEOVER_TIMEOUT_MS = 2_500;

/** Silence of the store at the scheduler after which another one tries. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/** Head start of each rank over the next. */
const RANK_DELAY_MS = 200;

/** Ranks from this one on claim at the same time. */
const MAXIMUM_DELAYED_RANK = 4;

/**
 * A member with less than this part of the strongest one's processors is weak:
 * it takes seconds to take over and does not keep up after that.
 */
const WEAK_PROCESSOR_SHARE = 0.5;

/** Time for which weak members leave the claim to the others. */
const WEAK_DELAY_MS = 1_000;

/**
 * Members up to which the times above hold. A scheduler of a larger cell is
 * busy for longer at a time and gets as much more of it: each change of the
 * scheduler stops all starts and makes the next one just as busy.
 */
const REFERENCE_MEMBER_COUNT = 18;

/** Pause between claims of one process. */
const CLAIM_RETRY_INTERVAL_MS = 600;

/**
 * Decides when this process claims to be the scheduler. The log's order makes
 * two schedulers of one term impossible, so that a claim too many costs only a
 * takeover; what counts here is to claim soon after a loss and not without one.
 */
export class Election {
  private readonly members = new Map<string, cellMember.CellMember>();
  private knownClaim: cellMember.Claim | undefined;
  private knownClaimAt: clock.Milliseconds;
  private lastReplyAt: clock.Milliseconds;
  /** Since when there is a reason to replace the scheduler. */
  private suspicionAt: clock.Milliseconds | undefined;
  private lastAttemptAt = -Infinity;
  private suspicionPingCount = 0;
  private isStoreOnlySuspect = false;
  private knownLogEnd = 0;
  /** Where the log ended in the view in which a claim came second. */
  private lostClaimEnd: number | undefined;

  constructor(
    private readonly self: cellMember.CellMember,
    now: clock.Milliseconds,
  ) {
    this.knownClaimAt = now;
    this.lastReplyAt = now;
  }

  get newestClaim(): cellMember.Claim | undefined {
    return this.knownClaim;
  }

  get isLeader(): boolean {
    return this.knownClaim?.incarnation === this.self.incarnation;
  }

  /** All other members that are listed. */
  get peers(): ReadonlyArray<cellMember.CellMember> {
    return [...this.members.values()].filter(
      member => member.address !== this.self.address,
    );
  }

  /** The log lists a member; a later entry of the same address replaces it. */
  addMember(member: cellMember.CellMember): void {
    this.members.set(member.address, member);
  }

  /** Takes a claim from the log or a peer; true when it is the newest. */
  recordClaim(claim: cellMember.Claim, now: clock.Milliseconds): boolean {
    if (this.knownClaim !== undefined && claim.term <= this.knownClaim.term) {
      return false;
    }
    this.knownClaim = claim;
    this.knownClaimAt = now;
    this.lastReplyAt = now;
    this.suspicionAt = undefined;
    return true;
  }

  /** The scheduler answered a ping. */
  recordStatus(status: LeadershipStatus, now: clock.Milliseconds): void {
    this.lastReplyAt = now;
    const isReplaceable = this.requiresLeaderChange(status, now);
    const isStoreSilent = status.storeSilentMs > STORE_SILENCE_LIMIT_MS;
    this.isStoreOnlySuspect = isStoreSilent && !isReplaceable;
    if (isReplaceable || isStoreSilent) this.suspicionAt ??= now;
    else this.suspicionAt = undefined;
  }

  /** Nothing listens where the scheduler was. */
  markRefused(now: clock.Milliseconds): void {
    this.suspicionAt ??= now;
  }

  /** Times the usual time that the scheduler has to answer or to take over. */
  get timeoutScale(): number {
    return Math.max(1, this.members.size / REFERENCE_MEMBER_COUNT);
  }

  /** Tells whether there is a reason to replace the scheduler. */
  isLeaderSuspected(now: clock.Milliseconds): boolean {
    return this.suspectedSince(now) !== undefined;
  }

  /** A later claim exists that is not known yet: this one counts no more. */
  invalidateOwnClaim(): void {
    if (this.isLeader && this.knownClaim !== undefined) {
      this.knownClaim = {...this.knownClaim, incarnation: ''};
    }
  }

  /** Where the log ended when it was last read. */
  get logEnd(): number {
    return this.knownLogEnd;
  }

  /** The log was read up to `end`. */
  recordLogEnd(end: number): void {
    this.knownLogEnd = end;
  }

  /**
   * Another record came before a claim made at `end`: it may be tried again as
   * soon as that record is read.
   */
  recordLostClaim(end: number): void {
    this.lastAttemptAt = -Infinity;
    this.lostClaimEnd = end;
  }

  /** The scheduler is well but for the store's silence towards it. */
  suspectsStoreOnly(now: clock.Milliseconds): boolean {
    return (
      this.isStoreOnlySuspect &&
      now < this.lastReplyAt + LEADER_SILENCE_TIMEOUT_MS * this.timeoutScale
    );
  }

  /** Position of this process among those that may succeed. */
  get rank(): number {
    const candidates = [...this.members.values()]
      .filter(member => member.incarnation !== this.knownClaim?.incarnation)
      .sort(
        (left, right) =>
          right.processors - left.processors ||
          (left.address < right.address ? -1 : 1),
      );
    const position = candidates.findIndex(
      member => member.address === this.self.address,
    );
    return position < 0 ? candidates.length : position;
  }

  /**
   * Address to ping next: the scheduler's, or while it is in doubt every other
   * time another member's, which may know a later claim.
   */
  nextPingAddress(now: clock.Milliseconds): string | undefined {
    if (this.isLeader) return undefined;
    const claimedAddress = this.knownClaim?.address;
    const address =
      claimedAddress === this.self.address ? undefined : claimedAddress;
    if (address !== undefined && !this.isLeaderSuspected(now)) return address;
    const {peers} = this;
    this.suspicionPingCount += 1;
    if (peers.length === 0 || this.suspicionPingCount % 2 === 0) return address;
    return peers[Math.floor(this.suspicionPingCount / 2) % peers.length]
      .address;
  }

  /** Tells whether to claim now, and notes that it was done. */
  tryBeginClaim(now: clock.Milliseconds): boolean {
    if (this.isLeader || this.lostClaimEnd === this.knownLogEnd) return false;
    const suspectedAt = this.suspectedSince(now);
    if (suspectedAt === undefined) return false;
    const rankDelayMs =
      Math.min(this.rank, MAXIMUM_DELAYED_RANK) * RANK_DELAY_MS;
    const weakDelayMs = this.isWeak() ? WEAK_DELAY_MS : 0;
    if (now < suspectedAt + rankDelayMs + weakDelayMs) return false;
    if (now < this.lastAttemptAt + CLAIM_RETRY_INTERVAL_MS) return false;
    this.lastAttemptAt = now;
    return true;
  }

  private isWeak(): boolean {
    let maximumProcessors = 0;
    for (const {processors} of this.members.values()) {
      maximumProcessors = Math.max(maximumProcessors, processors);
    }
    return this.self.processors < WEAK_PROCESSOR_SHARE * maximumProcessors;
  }

  /** Since when a new scheduler is needed; undefined while none is. */
  private suspectedSince(
    now: clock.Milliseconds,
  ): clock.Milliseconds | undefined {
    if (this.knownClaim === undefined) return this.knownClaimAt;
    // This process was the scheduler before it was started again.
    if (this.knownClaim.address === this.self.address) return this.knownClaimAt;
    if (this.suspicionAt !== undefined) return this.suspicionAt;
    const timeoutAt =
      this.lastReplyAt + LEADER_SILENCE_TIMEOUT_MS * this.timeoutScale;
    return now >= timeoutAt ? timeoutAt : undefined;
  }

  private requiresLeaderChange(
    status: LeadershipStatus,
    now: clock.Milliseconds,
  ): boolean {
    if (status.incarnation !== this.knownClaim?.incarnation) return true;
    if (status.resigning) return true;
    const takeoverTimeoutMs = TAKEOVER_TIMEOUT_MS * this.timeoutScale;
    return !status.leading && now - this.knownClaimAt > takeoverTimeoutMs;
  }
}
