import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** Leadership status that a member reports in its reply to a ping. */
export interface LeadershipStatus {
  readonly incarnation: string;
  readonly leading: boolean;
  readonly resigning: boolean;
  readonly storeSilentMs: number;
}

/** Time without a reply after which the leader counts as lost. */
const LEADER_SILENCE_TIMEOUT_MS = 900;

/** Time that a new leader has to take over before it is replaced. */
const TAKEOVER_TIMEOUT_MS = 2_500;

/** Silence of the store towards the leader after which others claim. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/** Delay between the claims of successive ranks. */
const RANK_DELAY_MS = 200;

/** All ranks from this one on claim at the same time. */
const MAXIMUM_DELAYED_RANK = 4;

/**
 * A member with less than this share of the largest member's processors is
 * weak: it takes seconds to take over and cannot keep up afterwards.
 */
const WEAK_PROCESSOR_SHARE = 0.5;

/** Additional delay before a weak member claims. */
const WEAK_DELAY_MS = 1_000;

/**
 * Largest cell for which the times above hold unscaled. The leader of a larger
 * cell is busy for longer at a time, so its timeouts grow in proportion: each
 * change of the leader stops all starts and leaves the next one just as busy.
 */
const REFERENCE_MEMBER_COUNT = 18;

/** Shortest time between two claims of one process. */
const CLAIM_RETRY_INTERVAL_MS = 600;

/**
 * Decides when this member claims to be the leader, which runs the scheduler.
 * The order of the log rules out two leaders in one term, so an unnecessary
 * claim costs only a takeover. The aim is to claim soon after the leader is
 * lost, and only then.
 */
export class Election {
  private readonly members = new Map<string, cellMember.CellMember>();
  private knownClaim: cellMember.Claim | undefined;
  private knownClaimAt: clock.Milliseconds;
  private lastReplyAt: clock.Milliseconds;
  /** When a reply or a refused connection gave reason to replace the leader. */
  private suspicionAt: clock.Milliseconds | undefined;
  private lastAttemptAt = -Infinity;
  private suspicionPingCount = 0;
  private isStoreOnlySuspect = false;
  private knownLogEnd = 0;
  /** End of the log that the last lost claim was based on. */
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

  /** All registered members except this one. */
  get peers(): ReadonlyArray<cellMember.CellMember> {
    return [...this.members.values()].filter(
      member => member.address !== this.self.address,
    );
  }

  /** Adds a member from the log; replaces an earlier one of that address. */
  addMember(member: cellMember.CellMember): void {
    this.members.set(member.address, member);
  }

  /** Records a claim from the log or a peer; returns true if it is newer. */
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

  /** Records the status that the leader sent in reply to a ping. */
  recordStatus(status: LeadershipStatus, now: clock.Milliseconds): void {
    this.lastReplyAt = now;
    const isReplaceable = this.requiresLeaderChange(status, now);
    const isStoreSilent = status.storeSilentMs > STORE_SILENCE_LIMIT_MS;
    this.isStoreOnlySuspect = isStoreSilent && !isReplaceable;
    if (isReplaceable || isStoreSilent) this.suspicionAt ??= now;
    else this.suspicionAt = undefined;
  }

  /** Records that the leader's address refused a connection. */
  markRefused(now: clock.Milliseconds): void {
    this.suspicionAt ??= now;
  }

  /** Factor by which the timeouts for the leader grow with the cell. */
  get timeoutScale(): number {
    return Math.max(1, this.members.size / REFERENCE_MEMBER_COUNT);
  }

  /** Returns whether there is a reason to replace the leader. */
  isLeaderSuspected(now: clock.Milliseconds): boolean {
    return this.suspectedSince(now) !== undefined;
  }

  /** Invalidates this member's claim, because a later one exists in the log. */
  invalidateOwnClaim(): void {
    if (this.isLeader && this.knownClaim !== undefined) {
      this.knownClaim = {...this.knownClaim, incarnation: ''};
    }
  }

  /** End of the log at its last read. */
  get logEnd(): number {
    return this.knownLogEnd;
  }

  /** Records that the log was read up to `end`. */
  recordLogEnd(end: number): void {
    this.knownLogEnd = end;
  }

  /**
   * Records that another record preceded a claim made at `end`. The claim may
   * be retried as soon as that record has been read.
   */
  recordLostClaim(end: number): void {
    this.lastAttemptAt = -Infinity;
    this.lostClaimEnd = end;
  }

  /** Returns whether the leader is suspected only because of a silent store. */
  suspectsStoreOnly(now: clock.Milliseconds): boolean {
    return (
      this.isStoreOnlySuspect &&
      now < this.lastReplyAt + LEADER_SILENCE_TIMEOUT_MS * this.timeoutScale
    );
  }

  /** Position of this member in the order of succession; 0 claims first. */
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
   * Returns the address to ping next: the leader's. While the leader is
   * suspected, every other call returns that of another member, which may know
   * a later claim.
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

  /** Returns whether to claim now; if so, records the attempt. */
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

  /** Returns since when a new leader is needed; undefined if none is. */
  private suspectedSince(
    now: clock.Milliseconds,
  ): clock.Milliseconds | undefined {
    if (this.knownClaim === undefined) return this.knownClaimAt;
    // This process was the leader before it was restarted.
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
