import * as earlierLeases from '../jobs/earlier_leases.js';
import * as departedMembers from './departed_members.js';
import * as exemptMembers from './exempt_members.js';
import * as leadershipProof from './leadership_proof.js';
import * as suspensionDetector from './suspension_detector.js';
import * as termAnnouncement from './term_announcement.js';
import * as workerWitnesses from './worker_witnesses.js';
import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';
import type * as witness from '../machines/witness.js';

/** Dependencies of `Leadership`. */
export interface LeadershipOptions {
  readonly self: cellMember.CellMember;
  readonly clock: clock.Clock;
  /** Returns Unix time in milliseconds. */
  readonly wallClock: () => number;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  /** Whether this process owns the newest claim that it knows. */
  readonly isLeader: () => boolean;
  /** Returns all other members that this process has read from the log. */
  readonly peers: () => ReadonlyArray<cellMember.CellMember>;
  /** Returns whether all earlier leaders that may act know a member. */
  readonly isGrantor: (address: string) => boolean;
  /** The workers that have accepted a fencing token of the term. */
  readonly witnessSource: witness.WitnessSource;
  /** Called when this VM may have been suspended. */
  readonly onSuspended: () => void;
}

/**
 * Age of the proof by the log from which on the members are asked for their
 * word, and age of a member's word at which it is asked again.
 */
const ASKED_AGE_MS = 600;

/** Who has to know a term before the permissions of earlier leaders end. */
type InformedParties = 'grantor' | 'majority' | 'witnesses';

/** What a member has told of itself in a ping or a reply. */
export interface MemberState {
  readonly address: string;
  readonly incarnation: string;
  /** Newest claim that it knew. */
  readonly newest: cellMember.Claim | undefined;
  /** When it was asked, on this process's clock; undefined if not known. */
  readonly askedAt: clock.Milliseconds | undefined;
}

/**
 * What this process may do as leader. Example: leader A is cut off with member
 * B, and C, D and E elect D. B vouches for A, which is no majority, so A stops
 * 2 s after it last reached the log. D waits until it has told C and E, then for
 * A's permission and its leases to end, before it starts what A may still run.
 */
export class Leadership {
  private readonly proof = new leadershipProof.LeadershipProof();
  private readonly exemptMembers = new exemptMembers.ExemptMembers();
  private readonly departedMembers = new departedMembers.DepartedMembers();
  /** When each member was last asked for its word. */
  private readonly lastAskedAt = new Map<string, clock.Milliseconds>();
  private readonly announcement: termAnnouncement.TermAnnouncement;
  private readonly suspensions: suspensionDetector.SuspensionDetector;
  private readonly witnesses: workerWitnesses.WorkerWitnesses;
  private loggedBasis: leadershipProof.ProofBasis = 'none';
  private lastPermittedAt: clock.Milliseconds = -Infinity;
  private beganAt: clock.Milliseconds = -Infinity;
  /** Which of those that have to know the term were logged to do so. */
  private readonly loggedInformed = new Set<InformedParties>();

  constructor(private readonly options: LeadershipOptions) {
    const {clock, wallClock} = options;
    this.announcement = new termAnnouncement.TermAnnouncement(clock);
    this.suspensions = new suspensionDetector.SuspensionDetector(
      clock,
      wallClock,
    );
    this.witnesses = new workerWitnesses.WorkerWitnesses(options.witnessSource);
  }

  /** When enough members knew the term; see `EarlierTerms`. */
  get majorityInformedAt(): clock.Milliseconds | undefined {
    return this.announcement.majorityInformedAt;
  }

  /**
   * Time since the last review of a term in which this process had permission to
   * grant leases and start tasks, or since the term began.
   */
  get withoutPermissionMs(): number {
    return this.options.clock.now() - this.lastPermittedAt;
  }

  /** When a grantor knew the term; see `EarlierTerms`. */
  get grantorInformedAt(): clock.Milliseconds | undefined {
    return this.announcement.grantorInformedAt;
  }

  /** What the witnesses of earlier leaders tell; see `EarlierTerms`. */
  get witnessKnowledge(): earlierLeases.WitnessKnowledge {
    const {areInherited, informedAt} = this.witnesses;
    if (!areInherited) return {heededBy: 'none', informedAt};
    return {heededBy: this.allHeedWitnesses ? 'all' : 'some', informedAt};
  }

  /** Records the newest list of witnesses in the log. */
  recordWitnesses(ids: ReadonlyArray<string>): void {
    this.witnesses.recordStored(ids);
  }

  /** Returns the list of witnesses to store, if the stored one has to change. */
  takeWitnessChange(): ReadonlyArray<string> | undefined {
    const mayChange = this.allHeedWitnesses && this.isProvedByStore;
    if (!mayChange) return undefined;
    return this.witnesses.takeChange(this.options.clock.now());
  }

  /** Begins a term of this process, without any proof yet. */
  beginTerm(term: number): void {
    this.lastPermittedAt = this.options.clock.now();
    this.proof.beginTerm();
    this.beganAt = this.options.clock.now();
    this.exemptMembers.restart(this.beganAt);
    this.departedMembers.restart(this.beganAt);
    this.lastAskedAt.clear();
    this.loggedInformed.clear();
    this.witnesses.beginTerm();
    const {isGrantor, self} = this.options;
    this.announcement.beginTerm(
      {term, isGrantor: isGrantor(self.address)},
      this.informedMembers(),
    );
  }

  /**
   * Returns the members that a record of this leader, about to be sent, names as
   * exempt; see `ExemptMembers`.
   */
  reviewExempt(): ReadonlyArray<string> {
    // A member of a version without exemptions takes itself for a grantor.
    return this.exemptMembers.review(
      this.allHeed('heedsExemptions') ? this.peerAddresses() : [],
      address => this.proof.provedByMemberAt(address),
      this.options.clock.now(),
    );
  }

  /**
   * Returns the members that a record of this leader, about to be sent, drops
   * from the log; see `DepartedMembers`.
   */
  reviewDeparted(
    heardAt: (address: string) => clock.Milliseconds,
  ): ReadonlyArray<string> | undefined {
    // Members of a version that never forgets members would count them on.
    if (!this.allHeedWitnesses || !this.isProvedByStore) return undefined;
    const departed = this.departedMembers.review(
      this.peerAddresses(),
      heardAt,
      this.options.clock.now(),
    );
    return departed.length === 0 ? undefined : departed;
  }

  /** Records that the log holds the names of exempt members. */
  recordExemptStored(addresses: ReadonlyArray<string>): void {
    this.exemptMembers.recordStored(addresses);
  }

  /**
   * Returns the members to ask for their word, and records that they are asked.
   * While the log answers, none are; without it, members ping this leader too
   * rarely, because they suspect it.
   */
  takePeersToAsk(): ReadonlyArray<string> {
    if (!this.options.isLeader()) return [];
    const now = this.options.clock.now();
    if (now - this.proof.provedByStoreAt < ASKED_AGE_MS) return [];
    const due = this.neededPeers().filter(address => {
      const askedAt = this.lastAskedAt.get(address) ?? -Infinity;
      const provedAt = this.proof.provedByMemberAt(address);
      return now - Math.max(askedAt, provedAt) >= ASKED_AGE_MS;
    });
    for (const address of due) this.lastAskedAt.set(address, now);
    return due;
  }

  /** Records that the cell's log held no later claim at `provedAt`. */
  proveByStore(provedAt: clock.Milliseconds): void {
    if (this.options.isLeader()) this.proof.proveByStore(provedAt);
  }

  /**
   * Records which term a member knew. One that was restarted has forgotten what
   * its last incarnation was told, so only the incarnation that this process has
   * read from the log is a grantor.
   */
  recordMemberState(state: MemberState): void {
    // A member that knows a later term has ended this one.
    if (!this.options.isLeader()) return;
    const {address, incarnation, newest, askedAt} = state;
    if (!this.announcement.isComplete) {
      this.announcement.recordKnownTerm(
        address,
        newest?.term,
        this.informedMembers(),
      );
    }
    const isRegistered = this.options
      .peers()
      .some(
        peer => peer.address === address && peer.incarnation === incarnation,
      );
    if (!isRegistered || askedAt === undefined) return;
    if (this.departedMembers.isNominated(address)) return;
    if (askedAt > this.options.clock.now()) return;
    this.proof.proveByMember(address, askedAt);
  }

  /** Returns whether this process may grant leases and start tasks. */
  mayAct(): boolean {
    this.voidAfterSuspension();
    return this.basis() !== 'none';
  }

  /** Returns whether no other process has led lately. */
  isProved(): boolean {
    const ageMs = this.options.clock.now() - this.provedAt();
    if (ageMs >= earlierLeases.LEADERSHIP_PROOF_LIFETIME_MS) return false;
    return this.isProvedByStore || this.witnessWord() !== 'noQuorum';
  }

  /**
   * Returns the latest time at which no later term than this one existed. Only
   * the cell's log tells that: a member that this process doesn't know may lead.
   */
  provedByStoreAt(): clock.Milliseconds {
    if (!this.options.isLeader()) return -Infinity;
    this.voidAfterSuspension();
    return this.proof.provedByStoreAt;
  }

  /** Returns the latest time at which no member is known to have led. */
  private provedAt(): clock.Milliseconds {
    if (!this.options.isLeader()) return -Infinity;
    this.voidAfterSuspension();
    // An exempt member may lead, and have accepted jobs.
    return this.proof.provedAt(this.peerAddresses());
  }

  /** Voids all proof from before a suspension, which the clock doesn't show. */
  voidAfterSuspension(): void {
    const {clock, counters, log, onSuspended} = this.options;
    const suspendedMs = this.suspensions.review();
    if (suspendedMs === 0) return;
    this.proof.voidBefore(clock.now());
    this.exemptMembers.restart(clock.now());
    onSuspended();
    counters.count('leadership_proof', 'suspended');
    log.event('warn', 'processSuspended', {
      suspendedMs: Math.round(suspendedMs),
    });
  }

  /**
   * Logs when what allows this process to act has changed, and when the members
   * that earlier leaders need know the term; called regularly.
   */
  review(term: number | undefined): void {
    this.voidAfterSuspension();
    if (this.options.isLeader()) {
      this.witnesses.review(this.options.clock.now());
    }
    this.logInformed(term, 'grantor', this.grantorInformedAt);
    this.logInformed(term, 'majority', this.majorityInformedAt);
    this.logInformed(term, 'witnesses', this.witnesses.informedAt);
    const basis = this.basis();
    if (basis !== 'none') this.lastPermittedAt = this.options.clock.now();
    if (basis === this.loggedBasis) return;
    this.loggedBasis = basis;
    if (!this.options.isLeader()) return;
    const {clock, counters, log} = this.options;
    const needed = this.neededPeers();
    counters.count('leadership_proof', basis);
    log.event('info', 'leadershipProof', {
      term,
      basis,
      ageMs: Math.round(clock.now() - this.proof.provedAt(needed)),
      members: this.options.peers().length + 1,
      needed: needed.length + 1,
    });
  }

  private logInformed(
    term: number | undefined,
    informed: InformedParties,
    informedAt: clock.Milliseconds | undefined,
  ): void {
    if (informedAt === undefined || !this.options.isLeader()) return;
    if (this.loggedInformed.has(informed)) return;
    this.loggedInformed.add(informed);
    const {counters, log} = this.options;
    counters.count('term_announced', informed);
    log.event('info', 'termAnnounced', {
      term,
      informed,
      afterMs: Math.round(informedAt - this.beganAt),
    });
  }

  private basis(): leadershipProof.ProofBasis {
    const {clock, isLeader} = this.options;
    if (!isLeader()) return 'none';
    const now = clock.now();
    // Asked for each start and renewal: the members are not listed for nothing.
    if (this.isProvedByStore) return 'store';
    return this.proof.basis(this.neededPeers(), now, this.witnessWord());
  }

  private get isProvedByStore(): boolean {
    return this.proof.isProvedByStore(this.options.clock.now());
  }

  private witnessWord(): workerWitnesses.WitnessWord {
    const now = this.options.clock.now();
    return this.witnesses.word(this.proof.witnessLimits(now));
  }

  /** Whether no registered member runs a version that ignores witnesses. */
  private get allHeedWitnesses(): boolean {
    return this.allHeed('heedsWitnesses');
  }

  /** Whether all registered members have told that they heed something. */
  private allHeed(flag: 'heedsExemptions' | 'heedsWitnesses'): boolean {
    return this.options.peers().every(peer => peer[flag] === true);
  }

  private informedMembers(): ReadonlyArray<termAnnouncement.InformedMember> {
    const {isGrantor, peers} = this.options;
    return peers().map(({address}) => ({
      address,
      isGrantor: isGrantor(address),
    }));
  }

  private peerAddresses(): ReadonlyArray<string> {
    return this.options.peers().map(({address}) => address);
  }

  /** Addresses of the members without whose word this leader doesn't act. */
  private neededPeers(): ReadonlyArray<string> {
    return this.peerAddresses().filter(
      address => !this.exemptMembers.isExempt(address),
    );
  }
}
