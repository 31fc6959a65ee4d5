import * as adviceEndpoints from './advice_endpoints.js';
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
import type * as overloadController from '../jobs/overload_controller.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';
import type * as workerClient from '../machines/worker_client.js';

/** Dependencies of a cell node. */
export interface CellNodeOptions {
  readonly self: cellMember.CellMember;
  readonly clock: clock.Clock;
  readonly wallClock: () => number;
  readonly retentionTimes: schedulerOptions.RetentionTimes;
  readonly cellLog: cellMember.CellLog;
  readonly journalStore: jobJournal.JobJournalStore;
  readonly registry: remoteWorker.WorkerRegistry;
  readonly workerClient: workerClient.WorkerClient;
  /** Calls the advice service from the VM of this process. */
  readonly localAdviceClient: adviceCache.LocalAdviceClient;
  readonly peers: cellPeers.CellPeers;
  readonly timer: jobJournal.DelayTimer;
  readonly loopLoad: overloadController.LoopLoadSource;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  readonly defer: (pass: () => void) => void;
}

/** Timeout of a ping, before scaling by the size of the cell. */
const PING_TIMEOUT_MS = 600;

/** Interval between pings by the members that are first in succession. */
const SUCCESSOR_PING_INTERVAL_MS = 220;

/** Interval between pings by all other members. */
const PING_INTERVAL_MS = 800;

/** Number of ranks that ping at the short interval. */
const SUCCESSOR_COUNT = 3;

/** A read of the log this recently proves that the store answers. */
const RECENT_READ_MS = 300;

/** Time given to the leader to report that the store answers it again. */
const STORE_RECOVERY_MS = 450;

/** Delay before a claim that lost to another record is retried. */
const LOST_CLAIM_RETRY_DELAY_MS = 15;

/** Time between two ticks above which the process counts as paused. */
const PROCESS_PAUSE_LIMIT_MS = 1_000;

/** Time for which a report that the leader is overloaded holds. */
const OVERLOAD_REPORT_LIFETIME_MS = 2_000;

/** Process of the cell: takes part in elections and schedules as leader. */
export class CellNode implements cellPeers.CellService {
  private readonly election: election.Election;
  private readonly configurationCache: configurationCache.ConfigurationCache;
  private readonly adviceEndpoints: adviceEndpoints.AdviceEndpoints;
  private readonly adviceBalancer: adviceBalancer.AdviceBalancer;
  private overloadReportedAt = -Infinity;
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
    this.adviceEndpoints = new adviceEndpoints.AdviceEndpoints(
      options.clock,
      options.localAdviceClient,
      options.peers,
    );
    this.adviceBalancer = new adviceBalancer.AdviceBalancer(
      () => this.adviceEndpoints.available(this.election.peers),
      (...call) => this.adviceEndpoints.ask(...call),
      options.clock,
    );
  }

  get configuration(): job.OperatorConfiguration | undefined {
    return this.configurationCache.newest;
  }

  /** Time since the configuration was last confirmed to be the newest. */
  get configurationAgeMs(): number {
    return this.configurationCache.ageMs;
  }

  /** Newest claim that this member knows; its owner is the leader. */
  get leader(): cellMember.Claim | undefined {
    return this.election.newestClaim;
  }

  /** Whether the leader has lately reported that it is overloaded. */
  get leaderOverloaded(): boolean {
    const ageMs = this.options.clock.now() - this.overloadReportedAt;
    return ageMs < OVERLOAD_REPORT_LIFETIME_MS;
  }

  get runsScheduler(): boolean {
    return this.scheduler !== undefined;
  }

  /** Scheduler of this process while it leads and has loaded the jobs. */
  private get servingScheduler(): jobScheduler.JobScheduler | undefined {
    return this.scheduler?.isServing ? this.scheduler : undefined;
  }

  // Input from the feeds and the process.

  /** Applies records of the cell's log, which was read up to `end`. */
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

  /** Applies the operator's configuration; undefined if none was written. */
  applyConfiguration(
    configuration: job.OperatorConfiguration | undefined,
  ): void {
    this.configurationCache.recordStoreRead(configuration);
  }

  /** Stops claiming and asks for a successor, before the process stops. */
  resign(): void {
    this.resigning = true;
  }

  /** Runs periodic work; called several times per second. */
  tick(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const elapsedMs = now - this.lastTickAt;
    this.lastTickAt = now;
    if (elapsedMs > PROCESS_PAUSE_LIMIT_MS) {
      // Proof of leadership from before the pause is out of date.
      this.leadershipProvedAt = -Infinity;
      log.event('warn', 'processPaused', {pauseMs: Math.round(elapsedMs)});
    }
    this.scheduler?.tick();
    if (this.election.isLeader && this.scheduler === undefined) {
      // An earlier claim of this process took effect late.
      void this.startScheduler(this.election.newestClaim as cellMember.Claim);
    }
    if (!this.pinging && now >= this.nextPingAt) void this.pingNext(now);
    this.claimIfDue();
  }

  // Calls from other members.

  answerPing(message: cellPeers.PingMessage): cellPeers.PingReply {
    const now = this.options.clock.now();
    this.adviceEndpoints.recordContact(message.sender);
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
      overloaded: this.scheduler?.overloaded === true,
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

  screen(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): ReadonlyArray<jobAdmission.ScreeningOutcome> | undefined {
    return this.servingScheduler?.screen(jobs);
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
    return this.options.localAdviceClient.ask(step, workerIds, timeoutMs);
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

  /**
   * Returns whether this member may claim. It joins after it has read the log,
   * and may claim from then on until it resigns.
   */
  private mayClaim(): boolean {
    return this.joined && !this.resigning;
  }

  private async claim(): Promise<void> {
    const {cellLog, self, log, counters, clock} = this.options;
    // A claim without an answer may take effect much later, when the cell does
    // not need a new leader any more, so the store must answer first.
    const storeAnsweredRecently = clock.now() - this.logReadAt < RECENT_READ_MS;
    if (!storeAnsweredRecently && !(await cellLog.probe())) {
      counters.count('claims', 'storeSilent');
      return;
    }
    const suspectsStoreOnly = this.election.suspectsStoreOnly(clock.now());
    // A store that has just recovered answers the leader as well: wait for it.
    if (suspectsStoreOnly) await this.options.timer.delay(STORE_RECOVERY_MS);
    // A member that pings rarely may suspect the leader on outdated replies.
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
      await this.options.timer.delay(LOST_CLAIM_RETRY_DELAY_MS);
      this.claimIfDue();
    }
    if (outcome.kind !== 'won') return;
    const {node, incarnation, address} = self;
    this.adoptClaim({term: outcome.term, node, incarnation, address}, 'won');
    this.announceTerm();
  }

  /** Announces the term to all members; a silent store may delay the log. */
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
      retentionTimes: options.retentionTimes,
      journalStore: options.journalStore,
      workerClient: options.workerClient,
      adviceClient: this.adviceBalancer,
      timer: options.timer,
      loopLoad: options.loopLoad,
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

  /** Ends a term superseded by a claim that this member has not read yet. */
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
   * Returns whether recent messages prove that no later term is known. A
   * successor waits for the lifetime of this proof before it relies on the old
   * leader having stopped.
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
    this.adviceEndpoints.recordContact(address);
    if (value.newest !== undefined) this.adoptClaim(value.newest, 'peer');
    if (isLeader && address === this.election.newestClaim?.address) {
      this.election.recordStatus(value, now);
      this.overloadReportedAt = value.overloaded ? now : -Infinity;
    }
    this.configurationCache.compareWithPeer(address, value);
  }
}
