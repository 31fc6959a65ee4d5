import * as adviceRelays from './advice_relays.js';
import * as adviceBalancer from '../jobs/advice_balancer.js';
import * as configurationCache from './configuration_cache.js';
import * as election from './election.js';
import * as jobScheduler from '../jobs/job_scheduler.js';
import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';
import type * as workerClient from '../machines/worker_client.js';

/** What a member of the cell works with. */
export interface CellNodeOptions {
  readonly self: cellMember.CellMember;
  readonly clock: clock.Clock;
  readonly wallClock: () => number;
  readonly bounds: schedulerOptions.RetentionTimes;
  readonly cellLog: cellMember.CellLog;
  readonly journal: jobJournal.JobJournalStore;
  readonly registry: remoteWorker.WorkerRegistry;
  readonly workers: workerClient.WorkerClient;
  /** Asks the advice service from this VM. */
  readonly advice: adviceCache.AdviceService;
  readonly peers: cellPeers.CellPeers;
  readonly pauses: jobJournal.Pauses;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  readonly defer: (pass: () => void) => void;
}

/** Time for the answer to a ping. */
const PING_TIMEOUT_MS = 600;

/** Pause between pings of the members that succeed first. */
const SUCCESSOR_PING_INTERVAL_MS = 220;

/** Pause between pings of all others. */
const PING_INTERVAL_MS = 800;

/** Ranks that ping often. */
const SUCCESSOR_COUNT = 3;

/** A read of the log within this time shows that the store answers. */
const RECENT_READ_MS = 300;

/** Time for a scheduler to show that the store answers it again. */
const STORE_RECOVERY_MS = 450;

/** Pause before a claim that lost to another record is repeated. */
const LOST_CLAIM_RETRY_DELAY_MS = 15;

/** Pause that shows that this process did not run for a while. */
const PROCESS_PAUSE_LIMIT_MS = 1_000;

/** One process of the cell: follows the claims and schedules when it won. */
export class CellNode implements cellPeers.CellService {
  private readonly election: election.Election;
  private readonly configurationCache: configurationCache.ConfigurationCache;
  private readonly adviceRelays: adviceRelays.AdviceRelays;
  private readonly adviceCalls: adviceBalancer.AdviceBalancer;
  private scheduler: jobScheduler.JobScheduler | undefined;
  private registrySubscription: {close(): void} | undefined;
  private logReadAt = -Infinity;
  private joined = false;
  private joining = false;
  private leadershipProvedAt = -Infinity;
  private lastTickAt: clock.Milliseconds;
  private nextPingAt = 0;
  private pinging = false;
  private resigning = false;

  constructor(private readonly options: CellNodeOptions) {
    const now = options.clock.now();
    this.election = new election.Election(options.self, now);
    this.lastTickAt = now;
    this.configurationCache = new configurationCache.ConfigurationCache({
      clock: options.clock,
      peers: options.peers,
      log: options.log,
      onUpdated: configuration => this.scheduler?.configure(configuration),
    });
    this.adviceRelays = new adviceRelays.AdviceRelays(
      options.clock,
      options.advice,
      options.peers,
    );
    this.adviceCalls = new adviceBalancer.AdviceBalancer(
      () => this.adviceRelays.availableSites(this.election.peers),
      (...call) => this.adviceRelays.ask(...call),
      options.clock,
    );
  }

  get configuration(): job.OperatorConfiguration | undefined {
    return this.configurationCache.newest;
  }

  /** Time since the configuration was last known to be the newest one. */
  get configurationAgeMs(): number {
    return this.configurationCache.ageMs;
  }

  /** The member that schedules, as far as this one knows. */
  get leader(): cellMember.Claim | undefined {
    return this.election.newestClaim;
  }

  get runsScheduler(): boolean {
    return this.scheduler !== undefined;
  }

  /** The scheduler of this process while it leads and knows the jobs. */
  private get servingScheduler(): jobScheduler.JobScheduler | undefined {
    return this.scheduler?.isServing ? this.scheduler : undefined;
  }

  // News.

  /** The cell's log was read up to `end`. */
  applyCellLog(
    members: ReadonlyArray<cellMember.CellMember>,
    claim: cellMember.Claim | undefined,
    end: number,
  ): void {
    const now = this.options.clock.now();
    for (const member of members) this.election.addMember(member);
    this.election.recordLogEnd(end);
    this.logReadAt = now;
    this.leadershipProvedAt = now;
    if (claim !== undefined) this.adoptClaim(claim, 'log');
    if (!this.joined && !this.joining) void this.join();
    this.claimIfDue();
  }

  /** The operator's newest configuration; undefined when none was written. */
  applyConfiguration(
    configuration: job.OperatorConfiguration | undefined,
  ): void {
    this.configurationCache.recordStoreRead(configuration);
  }

  /** The process is to stop soon: another one takes over meanwhile. */
  resign(): void {
    this.resigning = true;
  }

  /** Does what is due; called several times a second. */
  tick(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const elapsedMs = now - this.lastTickAt;
    this.lastTickAt = now;
    if (elapsedMs > PROCESS_PAUSE_LIMIT_MS) {
      // Whatever proved that this process may schedule is out of date.
      this.leadershipProvedAt = -Infinity;
      log.event('warn', 'processPaused', {pauseMs: Math.round(elapsedMs)});
    }
    this.scheduler?.tick();
    if (this.election.isLeader && this.scheduler === undefined) {
      // A claim of an earlier moment took effect late.
      void this.startScheduler(this.election.newestClaim as cellMember.Claim);
    }
    if (!this.pinging && now >= this.nextPingAt) void this.pingNext(now);
    this.claimIfDue();
  }

  // Calls of other members.

  answerPing(message: cellPeers.PingMessage): cellPeers.PingReply {
    const now = this.options.clock.now();
    this.adviceRelays.recordContact(message.sender);
    if (message.newest !== undefined) this.adoptClaim(message.newest, 'peer');
    if (this.election.isLeader) this.leadershipProvedAt = now;
    return {
      newest: this.election.newestClaim,
      incarnation: this.options.self.incarnation,
      leading: this.servingScheduler !== undefined,
      resigning: this.resigning,
      storeSilentMs: this.scheduler?.storeUnansweredMs(now) ?? 0,
      configurationVersion: this.configurationCache.version,
      configurationAgeMs: Math.round(this.configurationCache.ageMs),
    };
  }

  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    return new Promise(resolve =>
      servingScheduler.submit(definition, configurationVersion, resolve),
    );
  }

  cancel(
    queue: string,
    id: string,
  ): Promise<jobScheduler.CancelOutcome> | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    return new Promise(resolve => servingScheduler.cancel(queue, id, resolve));
  }

  readState(
    queue: string,
    id: string,
  ): {readonly state: job.JobState | undefined} | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    return {state: servingScheduler.stateOf(queue, id)};
  }

  countPending(queue: string): number | undefined {
    return this.servingScheduler?.countPending(queue);
  }

  advise(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    return this.options.advice.ask(step, workerIds, timeoutMs);
  }

  // Claims and terms.

  private async join(): Promise<void> {
    this.joining = true;
    this.joined = await this.options.cellLog.join(this.options.self);
    this.joining = false;
  }

  private claimIfDue(): void {
    const now = this.options.clock.now();
    if (this.mayClaim() && this.election.tryBeginClaim(now)) void this.claim();
  }

  /** A member joins once it has read the log, and may claim from then on. */
  private mayClaim(): boolean {
    return this.joined && !this.resigning;
  }

  private async claim(): Promise<void> {
    const {cellLog, self, log, counters, clock} = this.options;
    // A claim that gets no answer may take effect much later, when nobody wants
    // another scheduler any more.
    const storeAnsweredRecently = clock.now() - this.logReadAt < RECENT_READ_MS;
    if (!storeAnsweredRecently && !(await cellLog.probe())) {
      counters.count('claims', 'storeSilent');
      return;
    }
    const suspectsStoreOnly = this.election.suspectsStoreOnly(clock.now());
    // A store that has just come back answers the scheduler as well.
    if (suspectsStoreOnly) await this.options.pauses.pause(STORE_RECOVERY_MS);
    // Members that ping rarely doubt by what they heard some time ago.
    const leaderAddress = this.election.newestClaim?.address;
    const pingsRarely = this.election.rank >= SUCCESSOR_COUNT;
    if (leaderAddress !== undefined && (suspectsStoreOnly || pingsRarely)) {
      await this.ping(leaderAddress);
    }
    if (!this.election.isLeaderSuspected(clock.now())) return;
    const {logEnd} = this.election;
    const outcome = await cellLog.claim(self, logEnd);
    counters.count('claims', outcome.kind);
    log.event('info', 'claimed', {outcome: outcome.kind, end: logEnd});
    if (outcome.kind === 'lost') {
      this.election.recordLostClaim(logEnd);
      await this.options.pauses.pause(LOST_CLAIM_RETRY_DELAY_MS);
      this.claimIfDue();
    }
    if (outcome.kind !== 'won') return;
    const {node, incarnation, address} = self;
    this.adoptClaim({term: outcome.term, node, incarnation, address}, 'won');
    this.announceTerm();
  }

  /** Tells all members of the term: a silent store may show it much later. */
  private announceTerm(): void {
    for (const {address} of this.election.peers) void this.ping(address);
  }

  private adoptClaim(claim: cellMember.Claim, source: string): void {
    const now = this.options.clock.now();
    if (!this.election.recordClaim(claim, now)) return;
    this.options.log.event('info', 'schedulerChanged', {
      term: claim.term,
      node: claim.node,
      source,
    });
    this.nextPingAt = now;
    this.endTerm('newerClaim');
    if (this.election.isLeader) {
      this.leadershipProvedAt = now;
      void this.startScheduler(claim);
    }
  }

  private async startScheduler(claim: cellMember.Claim): Promise<void> {
    if (this.scheduler !== undefined) return;
    const {options} = this;
    const newScheduler = new jobScheduler.JobScheduler({
      term: claim.term,
      clock: options.clock,
      wallClock: options.wallClock,
      retentionTimes: options.bounds,
      journalStore: options.journal,
      workerCalls: options.workers,
      adviceClient: this.adviceCalls,
      pauses: options.pauses,
      log: options.log,
      counters: options.counters,
      mayGrantLeases: () => this.hasLeadershipProof(),
      onSuperseded: reason => this.handleSuperseded(newScheduler, reason),
      defer: options.defer,
    });
    this.scheduler = newScheduler;
    const {newest} = this.configurationCache;
    if (newest !== undefined) newScheduler.configure(newest);
    this.registrySubscription = options.registry.follow(entries => {
      if (this.scheduler === newScheduler) newScheduler.updateWorkers(entries);
    });
    await newScheduler.begin();
  }

  /** The term is over, though the claim that ended it is not known yet. */
  private handleSuperseded(
    supersededScheduler: jobScheduler.JobScheduler,
    reason: string,
  ): void {
    if (this.scheduler !== supersededScheduler) return;
    this.endTerm(reason);
    this.election.invalidateOwnClaim();
  }

  private endTerm(reason: string): void {
    if (this.scheduler === undefined) return;
    this.options.log.event('warn', 'termEnded', {reason});
    this.scheduler.retire();
    this.scheduler = undefined;
    this.registrySubscription?.close();
    this.registrySubscription = undefined;
  }

  /**
   * Tells whether something heard lately shows that no later term is known. A
   * successor waits for this time before it counts on the old term's silence.
   */
  private hasLeadershipProof(): boolean {
    const proofAgeMs = this.options.clock.now() - this.leadershipProvedAt;
    return (
      this.election.isLeader &&
      proofAgeMs < jobScheduler.LEADERSHIP_PROOF_LIFETIME_MS
    );
  }

  // Pings.

  private async pingNext(now: clock.Milliseconds): Promise<void> {
    const isSuccessor = this.election.rank < SUCCESSOR_COUNT;
    this.nextPingAt =
      now + (isSuccessor ? SUCCESSOR_PING_INTERVAL_MS : PING_INTERVAL_MS);
    const address = this.election.nextPingAddress(now);
    if (address === undefined) return;
    this.pinging = true;
    await this.ping(address);
    this.pinging = false;
  }

  private async ping(address: string): Promise<void> {
    const message = {
      newest: this.election.newestClaim,
      configurationVersion: this.configurationCache.version,
      sender: this.options.self.address,
    };
    const outcome = await this.options.peers.ping(
      address,
      message,
      PING_TIMEOUT_MS * this.election.timeoutScale,
    );
    this.handlePingOutcome(address, outcome);
  }

  private handlePingOutcome(
    address: string,
    outcome: cellPeers.PeerCallOutcome<cellPeers.PingReply>,
  ): void {
    const now = this.options.clock.now();
    const isLeader = address === this.election.newestClaim?.address;
    if (outcome.kind === 'refused' && isLeader) this.election.markRefused(now);
    if (outcome.kind !== 'answered') {
      this.claimIfDue();
      return;
    }
    const {value} = outcome;
    this.adviceRelays.recordContact(address);
    if (value.newest !== undefined) this.adoptClaim(value.newest, 'peer');
    if (isLeader && address === this.election.newestClaim?.address) {
      this.election.recordStatus(value, now);
    }
    this.configurationCache.compareWithPeer(address, value);
  }
}
