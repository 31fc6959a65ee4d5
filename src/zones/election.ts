import * as leaderMonitor from './leader_monitor.js';
import * as grantorTable from './grantor_table.js';
import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

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
 * Additional delay before a member claims that the last leader did not know: it
 * can't tell when that leader's leases have ended.
 */
const NEWCOMER_DELAY_MS = 3_000;

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
  private readonly monitor: leaderMonitor.LeaderMonitor;
  private lastAttemptAt = -Infinity;
  private suspicionPingCount = 0;
  private knownLogEnd = 0;
  /** End of the log that the last lost claim was based on. */
  private lostClaimEnd: number | undefined;
  private readonly grantorTable = new grantorTable.GrantorTable();

  constructor(
    private readonly self: cellMember.CellMember,
    now: clock.Milliseconds,
  ) {
    this.knownClaimAt = now;
    this.monitor = new leaderMonitor.LeaderMonitor(now);
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

  /** Removes a member that a leader has dropped from the log. */
  removeMember(address: string): void {
    this.members.delete(address);
    this.grantorTable.forget(address);
  }

  /** Addresses of all registered members. */
  get addresses(): ReadonlyArray<string> {
    return [...this.members.keys()];
  }

  /**
   * Whether the last leader knew this member. A leader acts on the word of all
   * members that it knows; without this one, that can't rule its claim out.
   */
  get isKnownToLeader(): boolean {
    const {address} = this.self;
    const leaderAddress = this.knownClaim?.address ?? address;
    return (
      leaderAddress === address || this.grantorTable.isKnownToLeader(address)
    );
  }

  /** Grantors for the leaders before a claim; see `GrantorTable`. */
  get grantors(): cellMember.Grantors | undefined {
    return this.grantorTable.grantors;
  }

  /** Returns where a process at an address first registered, if known. */
  firstOffsetOf(address: string): number | undefined {
    return this.grantorTable.firstOffsetOf(address);
  }

  /** Records where members have registered, and the newest leader's record. */
  recordRegistrations(
    memberOffsets: ReadonlyMap<string, number>,
    leaderRecord: cellMember.LeaderRecord | undefined,
  ): void {
    this.grantorTable.applyLog(memberOffsets, leaderRecord);
  }

  /** Returns whether a member is one of the grantors. */
  isGrantor(
    address: string,
    grantors: cellMember.Grantors | undefined,
  ): boolean {
    return this.grantorTable.isGrantor(address, grantors);
  }

  /** Records a claim from the log or a peer; returns true if it is newer. */
  recordClaim(claim: cellMember.Claim, now: clock.Milliseconds): boolean {
    if (this.knownClaim !== undefined && claim.term <= this.knownClaim.term) {
      return false;
    }
    this.knownClaim = claim;
    this.knownClaimAt = now;
    this.monitor.observeTerm(claim, now);
    return true;
  }

  /** Records the status that the leader sent in reply to a ping. */
  recordStatus(
    status: leaderMonitor.LeadershipStatus,
    now: clock.Milliseconds,
  ): void {
    this.monitor.recordStatus(status, now);
  }

  /** Records a progress record that was read from the log. */
  recordProgress(
    progress: cellMember.LeaderProgress,
    now: clock.Milliseconds,
  ): void {
    this.monitor.recordProgress(progress, now);
  }

  /** Records that the leader's address refused a connection. */
  markRefused(now: clock.Milliseconds): void {
    this.monitor.markRefused(now);
  }

  /** Excludes time in which this process could not read messages. */
  excludeLostTime(lostMs: number, now: clock.Milliseconds): void {
    this.monitor.excludeLostTime(lostMs, now);
  }

  /** Time since the leader last proved to be alive. */
  leaderSilenceMs(now: clock.Milliseconds): number {
    return this.monitor.silenceMs(now);
  }

  /** Returns why a new leader is needed; undefined if none is. */
  suspicion(now: clock.Milliseconds): leaderMonitor.Suspicion | undefined {
    const {knownClaim, knownClaimAt} = this;
    if (this.isLeader) return undefined;
    if (knownClaim === undefined) {
      return {reason: 'noLeader', since: knownClaimAt};
    }
    if (knownClaim.address === this.self.address) {
      const reason =
        knownClaim.incarnation === '' ? 'ownTermEnded' : 'ownRestart';
      return {reason, since: knownClaimAt};
    }
    return this.monitor.suspicion(now);
  }

  /** Returns whether there is a reason to replace the leader. */
  isLeaderSuspected(now: clock.Milliseconds): boolean {
    return this.suspicion(now) !== undefined;
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
    return this.monitor.suspectsStoreOnly(now);
  }

  /** Other members that may claim, in the order of succession. */
  get successors(): ReadonlyArray<cellMember.CellMember> {
    return this.successionOrder().filter(
      member => member.address !== this.self.address,
    );
  }

  /** Position of this member in the order of succession; 0 claims first. */
  get rank(): number {
    const candidates = this.successionOrder();
    const position = candidates.findIndex(
      member => member.address === this.self.address,
    );
    return position < 0 ? candidates.length : position;
  }

  /** Returns all members but the leader; the first one claims first. */
  private successionOrder(): ReadonlyArray<cellMember.CellMember> {
    return [...this.members.values()]
      .filter(member => member.incarnation !== this.knownClaim?.incarnation)
      .sort(
        (left, right) =>
          right.processors - left.processors ||
          (left.address < right.address ? -1 : 1),
      );
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
    if (this.lostClaimEnd === this.knownLogEnd) return false;
    const suspicion = this.suspicion(now);
    if (suspicion === undefined) return false;
    const rankDelayMs =
      Math.min(this.rank, MAXIMUM_DELAYED_RANK) * RANK_DELAY_MS;
    const weakDelayMs = this.isWeak() ? WEAK_DELAY_MS : 0;
    const newcomerDelayMs = this.isKnownToLeader ? 0 : NEWCOMER_DELAY_MS;
    const delayMs = rankDelayMs + weakDelayMs + newcomerDelayMs;
    if (now < suspicion.since + delayMs) return false;
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
}
