import * as election from './election.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Dependencies of the leader elector. */
export interface LeaderElectorOptions {
  readonly self: cellMember.CellMember;
  readonly clock: clock.Clock;
  readonly cellLog: cellMember.CellLog;
  readonly peers: cellPeers.CellPeers;
  readonly timer: jobJournal.DelayTimer;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  /** Returns the version of the configuration, which pings tell the others. */
  readonly configurationVersion: () => number;
  /** Returns whether this process has read the messages that arrived. */
  readonly isUpToDate: () => boolean;
  /** Called when a newer claim than the known one was made. */
  readonly onNewTerm: (claim: cellMember.Claim) => void;
  /** Called with the time when this member sent a claim that has won. */
  readonly onClaimWon: (sentAt: clock.Milliseconds) => void;
  /** Called with each reply to a ping and the time when that was sent. */
  readonly onReply: (
    address: string,
    reply: cellPeers.PingReply,
    sentAt: clock.Milliseconds,
  ) => void;
}

/**
 * Timeout of a ping. A busy leader replies over a new connection only after
 * several turns of its loop, and a ping that is aborted closes the connection.
 */
const PING_TIMEOUT_MS = 1_500;

/** Timeout of a ping while the leader is suspected. */
const SUSPICION_PING_TIMEOUT_MS = 600;

/** Number of pings that may wait for replies before no more are sent. */
const MAXIMUM_PINGS_IN_FLIGHT = 3;

/** Interval between pings by the members that are first in succession. */
const SUCCESSOR_PING_INTERVAL_MS = 220;

/** Interval between pings by all other members. */
const PING_INTERVAL_MS = 800;

/** Number of ranks that ping at the short interval, and that others ping. */
const SUCCESSOR_COUNT = 3;

/**
 * Interval between pings to the likely next leaders in turn. Each of them is
 * pinged more often than idle connections are closed.
 */
const STANDBY_PING_INTERVAL_MS = 2_000;

/** A read of the log this recently proves that the store answers. */
const RECENT_READ_MS = 300;

/**
 * Time given to the leader to report that the store answers it again, from when
 * the store answers this member.
 */
const STORE_RECOVERY_MS = 450;

/** Silence of the store towards the leader after which successors probe it. */
const STORE_PROBE_SILENCE_MS = 500;

/** Delay before a claim that lost to another record is retried. */
const LOST_CLAIM_RETRY_DELAY_MS = 15;

/** Takes part in the elections of the cell: joins, pings the leader, claims. */
export class LeaderElector {
  private readonly election: election.Election;
  private logReadAt = -Infinity;
  /** Since when the store answers this member, but not the leader. */
  private storeAnsweringSince: clock.Milliseconds | undefined;
  private joined = false;
  private joining = false;
  private nextPingAt = 0;
  private pingsInFlight = 0;
  private nextStandbyPingAt = 0;
  private standbyPingCount = 0;
  private hasResigned = false;
  /** Grantors for the leaders before the last claim of this member. */
  private claimedGrantors: cellMember.Grantors | undefined;
  /** Last reply of each member, by its address. */
  private readonly lastReplies = new Map<string, cellPeers.ReceivedReply>();

  constructor(private readonly options: LeaderElectorOptions) {
    this.election = new election.Election(options.self, options.clock.now());
  }

  /** Newest claim that this member knows; its owner is the leader. */
  get leader(): cellMember.Claim | undefined {
    return this.election.newestClaim;
  }

  get isLeader(): boolean {
    return this.election.isLeader;
  }

  get resigning(): boolean {
    return this.hasResigned;
  }

  /** All registered members except this one. */
  get peers(): ReadonlyArray<cellMember.CellMember> {
    return this.election.peers;
  }

  /** End of the log at its last read. */
  get logEnd(): number {
    return this.election.logEnd;
  }

  /** Grantors for the leaders before this member's last claim. */
  get grantors(): cellMember.Grantors | undefined {
    return this.claimedGrantors;
  }

  /** Returns whether a member is one of these grantors. */
  isGrantor(address: string): boolean {
    return this.election.isGrantor(address, this.claimedGrantors);
  }

  /** Records the registrations of members; see `Election`. */
  recordRegistrations(
    memberOffsets: ReadonlyMap<string, number>,
    leaderRecord: cellMember.LeaderRecord | undefined,
  ): void {
    this.election.recordRegistrations(memberOffsets, leaderRecord);
  }

  /** Removes members that the log no longer holds; see `CellLogContent`. */
  removeDeparted({
    members,
    departed = [],
    isComplete,
  }: cellMember.CellLogContent): void {
    const listed = new Set(members.map(({address}) => address));
    const unlisted = isComplete
      ? this.election.addresses.filter(address => !listed.has(address))
      : [];
    for (const address of [...departed, ...unlisted]) {
      this.election.removeMember(address);
      // Dropped by mistake: it registers again when it has applied the read.
      if (address === this.options.self.address) this.joined = false;
    }
  }

  /** Applies records of the cell's log, which was read up to `end`. */
  applyCellLog(
    members: ReadonlyArray<cellMember.CellMember>,
    claim: cellMember.Claim | undefined,
    end: number,
    progress: cellMember.LeaderProgress | undefined,
  ): void {
    const now = this.options.clock.now();
    for (const member of members) this.election.addMember(member);
    this.election.recordLogEnd(end);
    this.logReadAt = now;
    if (claim !== undefined) this.adoptClaim(claim, 'log');
    if (progress !== undefined) this.election.recordProgress(progress, now);
    if (!this.joined && !this.joining) void this.join();
    this.claimIfDue();
  }

  /** Adopts a claim if it is newer than the known one. */
  adoptClaim(claim: cellMember.Claim, source: 'log' | 'peer' | 'won'): void {
    const now = this.options.clock.now();
    if (!this.election.recordClaim(claim, now)) return;
    this.options.log.event('info', 'schedulerChanged', {
      term: claim.term,
      node: claim.node,
      source,
    });
    this.nextPingAt = now;
    this.options.onNewTerm(claim);
  }

  /** Invalidates this member's claim, because a later one exists in the log. */
  invalidateOwnClaim(): void {
    this.election.invalidateOwnClaim();
  }

  /** Excludes time in which this process could not read messages. */
  excludeLostTime(lostMs: number): void {
    this.election.excludeLostTime(lostMs, this.options.clock.now());
  }

  /** Stops claiming. */
  resign(): void {
    this.hasResigned = true;
  }

  /** Sends the pings that are due. */
  pingIfDue(): void {
    const now = this.options.clock.now();
    const mayPing = this.pingsInFlight < MAXIMUM_PINGS_IN_FLIGHT;
    if (mayPing && now >= this.nextPingAt) void this.pingNext(now);
    if (now >= this.nextStandbyPingAt) this.pingSuccessor(now);
  }

  /** Claims the next term if the leader is lost and it is this member's turn. */
  claimIfDue(): void {
    if (this.options.isUpToDate()) this.claimAsOf(this.options.clock.now());
  }

  /** Claims the next term if a claim was due at `time`. */
  claimAsOf(time: clock.Milliseconds): void {
    // A member joins after it has read the log, and may claim from then on.
    const mayClaim = this.joined && !this.hasResigned;
    if (mayClaim && this.election.tryBeginClaim(time)) void this.claim();
  }

  private async join(): Promise<void> {
    this.joining = true;
    this.joined = await this.options.cellLog.join(
      this.options.self,
      this.election.firstOffsetOf(this.options.self.address),
      this.election.logEnd,
    );
    this.joining = false;
  }

  private async claim(): Promise<void> {
    const {cellLog, counters, clock, timer} = this.options;
    // A claim without an answer may take effect much later, when the cell does
    // not need a new leader any more, so the store must answer first.
    const storeAnsweredRecently = clock.now() - this.logReadAt < RECENT_READ_MS;
    if (!storeAnsweredRecently && !(await cellLog.probe())) {
      counters.count('claims', 'storeSilent');
      this.storeAnsweringSince = undefined;
      return;
    }
    await this.confirmSuspicion();
    const sentAt = clock.now();
    const outcome = await this.appendClaim();
    if (outcome?.kind === 'lost') {
      await timer.delay(LOST_CLAIM_RETRY_DELAY_MS);
      this.claimIfDue();
    }
    if (outcome?.kind === 'won') this.beginTerm(outcome.term, sentAt);
  }

  /** Asks the leader once more if the suspicion may be outdated. */
  private async confirmSuspicion(): Promise<void> {
    const leaderAddress = this.election.newestClaim?.address;
    const suspectsStore = this.suspectsStoreOnly();
    if (suspectsStore) await this.awaitStoreRecovery();
    // A member that pings rarely may suspect the leader on outdated replies.
    const pingsRarely = this.election.rank >= SUCCESSOR_COUNT;
    if (leaderAddress === undefined || !(suspectsStore || pingsRarely)) return;
    await this.ping(leaderAddress);
    // The reply of a leader that was silent before may be the first to tell that
    // it waits for the store.
    if (suspectsStore || !this.suspectsStoreOnly()) return;
    await this.awaitStoreRecovery();
    await this.ping(leaderAddress);
  }

  private suspectsStoreOnly(): boolean {
    return this.election.suspectsStoreOnly(this.options.clock.now());
  }

  /** Waits while a store that has just recovered may yet answer the leader. */
  private async awaitStoreRecovery(): Promise<void> {
    const now = this.options.clock.now();
    const recoveredAt = this.storeAnsweringSince ?? now;
    const waitMs = recoveredAt + STORE_RECOVERY_MS - now;
    if (waitMs > 0) await this.options.timer.delay(waitMs);
  }

  /** Finds out early whether the store is silent for the leader only. */
  private async probeStore(storeSilentMs: number): Promise<void> {
    if (storeSilentMs < STORE_PROBE_SILENCE_MS) {
      this.storeAnsweringSince = undefined;
      return;
    }
    const isSuccessor = this.election.rank < SUCCESSOR_COUNT;
    if (!isSuccessor || this.storeAnsweringSince !== undefined) return;
    if (!(await this.options.cellLog.probe())) return;
    this.storeAnsweringSince ??= this.options.clock.now();
  }

  /** Appends the claim, unless the leader is not suspected any more. */
  private async appendClaim(): Promise<cellMember.ClaimOutcome | undefined> {
    const {cellLog, self, log, counters, clock} = this.options;
    const startedAt = clock.now();
    const suspicion = this.election.suspicion(startedAt);
    if (suspicion === undefined) return undefined;
    const {logEnd, grantors} = this.election;
    const silentMs = Math.round(this.election.leaderSilenceMs(startedAt));
    // The log may show the claim before its answer arrives.
    this.claimedGrantors = grantors;
    const outcome = await cellLog.claim(self, logEnd, grantors);
    counters.count('claims', outcome.kind);
    counters.count('claim_reasons', suspicion.reason);
    counters.observe('claim', clock.now() - startedAt);
    log.event('info', 'claimed', {
      outcome: outcome.kind,
      end: logEnd,
      reason: suspicion.reason,
      silentMs,
      waitedMs: Math.round(startedAt - suspicion.since),
    });
    if (outcome.kind === 'lost') this.election.recordLostClaim(logEnd);
    return outcome;
  }

  /** Announces the term to all members; a silent store may delay the log. */
  private beginTerm(term: number, claimSentAt: clock.Milliseconds): void {
    const {node, incarnation, address} = this.options.self;
    this.adoptClaim({term, node, incarnation, address}, 'won');
    this.options.onClaimWon(claimSentAt);
    for (const peer of this.election.peers) void this.ping(peer.address);
  }

  private async pingNext(now: clock.Milliseconds): Promise<void> {
    const isSuccessor = this.election.rank < SUCCESSOR_COUNT;
    this.nextPingAt =
      now + (isSuccessor ? SUCCESSOR_PING_INTERVAL_MS : PING_INTERVAL_MS);
    const address = this.election.nextPingAddress(now);
    if (address === undefined) return;
    this.pingsInFlight += 1;
    await this.ping(address);
    this.pingsInFlight -= 1;
  }

  /**
   * Pings a likely next leader, so that the connection to it is open before it
   * leads. A leader is busiest when its term begins, and its server accepts
   * only one new connection in each turn of the loop.
   */
  private pingSuccessor(now: clock.Milliseconds): void {
    this.nextStandbyPingAt = now + STANDBY_PING_INTERVAL_MS;
    const successors = this.election.successors.slice(0, SUCCESSOR_COUNT);
    const successor = successors[this.standbyPingCount % successors.length];
    this.standbyPingCount += 1;
    if (successor !== undefined) void this.ping(successor.address);
  }

  /** Pings a member, outside the intervals. */
  async ping(address: string): Promise<void> {
    const message = {
      newest: this.election.newestClaim,
      configurationVersion: this.options.configurationVersion(),
      sender: this.options.self.address,
      senderIncarnation: this.options.self.incarnation,
      lastReply: this.lastReplies.get(address),
    };
    const sentAt = this.options.clock.now();
    const isSuspected = this.election.isLeaderSuspected(sentAt);
    const outcome = await this.options.peers.ping(
      address,
      message,
      isSuspected ? SUSPICION_PING_TIMEOUT_MS : PING_TIMEOUT_MS,
    );
    this.handlePingOutcome(address, outcome, sentAt);
  }

  private handlePingOutcome(
    address: string,
    outcome: cellPeers.PeerCallOutcome<cellPeers.PingReply>,
    sentAt: clock.Milliseconds,
  ): void {
    const now = this.options.clock.now();
    const isLeader = address === this.election.newestClaim?.address;
    if (outcome.kind === 'refused' && isLeader) this.election.markRefused(now);
    if (outcome.kind !== 'answered') {
      this.claimIfDue();
      return;
    }
    const {value} = outcome;
    const {incarnation, sentAt: repliedAt} = value;
    this.lastReplies.set(address, {incarnation, sentAt: repliedAt});
    if (value.newest !== undefined) this.adoptClaim(value.newest, 'peer');
    if (isLeader && address === this.election.newestClaim?.address) {
      this.election.recordStatus(value, now);
      void this.probeStore(value.storeSilentMs);
    }
    this.options.onReply(address, value, sentAt);
    // A record that is read before the next tick may revoke what this reports.
    this.claimIfDue();
  }
}
