import * as adviceEndpoints from './advice_endpoints.js';
import * as adviceBalancer from '../jobs/advice_balancer.js';
import * as cellConfiguration from './cell_configuration.js';
import * as jobScheduler from '../jobs/job_scheduler.js';
import * as leaderElector from './leader_elector.js';
import * as leadership from './leadership.js';
import * as loopDelayMonitor from './loop_delay_monitor.js';
import * as memberContacts from './member_contacts.js';
import * as progressReporter from './progress_reporter.js';
import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as configurationFreshness from './configuration_freshness.js';
import type * as configurationSource from './configuration_source.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as linkLoads from '../machines/link_load.js';
import type * as loopMeter from '../machines/loop_meter.js';
import type * as loopLoads from '../machines/loop_load.js';
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
  readonly configurationSource: configurationSource.ConfigurationSource;
  /** Time within which a new configuration must be in force. */
  readonly configurationMs: number;
  readonly workerClient: workerClient.WorkerClient;
  /** Calls the advice service from the VM of this process. */
  readonly localAdviceClient: adviceCache.LocalAdviceClient;
  readonly peers: cellPeers.CellPeers;
  readonly timer: jobJournal.DelayTimer;
  readonly loopLoad: loopLoads.LoopLoadSource;
  readonly linkLoad: linkLoads.LinkLoadSource;
  readonly loopMeter: loopMeter.LoopMeter;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  readonly defer: (pass: () => void) => void;
}

/** Time between two ticks from which on a pause of the process is logged. */
const LOGGED_PAUSE_MS = 1_000;

/** Time for which a report that the leader is overloaded holds. */
const OVERLOAD_REPORT_LIFETIME_MS = 2_000;

/**
 * Time that a submission waits for the proof that its configuration is the
 * newest. An inquiry of the store and of other members ends within it.
 */
const CONFIGURATION_WAIT_MS = 600;

/** Time after a late tick in which the messages that waited are read. */
const BACKLOG_READ_TIME_MS = 50;

/** Process of the cell: takes part in elections and schedules as leader. */
export class CellNode implements cellPeers.CellService {
  private readonly elector: leaderElector.LeaderElector;
  private readonly progressReporter: progressReporter.ProgressReporter;
  private readonly loopDelayMonitor: loopDelayMonitor.LoopDelayMonitor;
  private readonly contacts: memberContacts.MemberContacts;
  private readonly cellConfiguration: cellConfiguration.CellConfiguration;
  private readonly adviceEndpoints: adviceEndpoints.AdviceEndpoints;
  private readonly adviceBalancer: adviceBalancer.AdviceBalancer;
  private overloadReportedAt = -Infinity;
  private scheduler: jobScheduler.JobScheduler | undefined;
  private registrySubscription: {close(): void} | undefined;
  private readonly leadership: leadership.Leadership;

  constructor(private readonly options: CellNodeOptions) {
    const {clock, localAdviceClient, peers} = options;
    this.loopDelayMonitor = new loopDelayMonitor.LoopDelayMonitor(clock.now());
    this.contacts = new memberContacts.MemberContacts(clock);
    this.leadership = new leadership.Leadership({
      ...options,
      isLeader: () => this.elector.isLeader,
      peers: () => this.elector.peers,
      isGrantor: address => this.elector.isGrantor(address),
      witnessSource: {
        get: id => this.scheduler?.witnessSource.get(id),
        all: () => this.scheduler?.witnessSource.all() ?? [],
      },
      onSuspended: () => this.cellConfiguration.voidProof(),
    });
    this.elector = new leaderElector.LeaderElector({
      ...options,
      configurationVersion: () => this.cellConfiguration.version,
      isUpToDate: () => this.loopDelayMonitor.lostMs(clock.now()) === 0,
      onNewTerm: claim => this.beginTerm(claim),
      onClaimWon: sentAt => this.leadership.proveByStore(sentAt),
      onReply: (...reply) => this.handleReply(...reply),
    });
    this.progressReporter = new progressReporter.ProgressReporter({
      cellLog: options.cellLog,
      clock,
      onStored: (...stored) => this.handleProgressStored(...stored),
      onLogRead: (content, end) => this.applyLogContent(content, end),
    });
    this.cellConfiguration = new cellConfiguration.CellConfiguration({
      ...options,
      peerAddresses: () => this.elector.peers.map(({address}) => address),
      leaderAddress: () => this.remoteLeaderAddress,
      onUpdated: configuration => this.scheduler?.configure(configuration),
    });
    this.adviceEndpoints = new adviceEndpoints.AdviceEndpoints(
      this.contacts,
      localAdviceClient,
      peers,
    );
    this.adviceBalancer = new adviceBalancer.AdviceBalancer(
      () => this.adviceEndpoints.available(this.elector.peers),
      (...call) => this.adviceEndpoints.ask(...call),
      clock,
    );
  }

  get configuration(): job.OperatorConfiguration | undefined {
    return this.cellConfiguration.newest;
  }

  get configurationVersion(): number {
    return this.cellConfiguration.version;
  }

  /** Time since the configuration was last confirmed to be the newest. */
  get configurationAgeMs(): number {
    return this.cellConfiguration.ageMs;
  }

  /** Newest claim that this member knows; its owner is the leader. */
  get leader(): cellMember.Claim | undefined {
    return this.elector.leader;
  }

  /** Whether the leader has lately reported that it is overloaded. */
  get leaderOverloaded(): boolean {
    const ageMs = this.options.clock.now() - this.overloadReportedAt;
    return ageMs < OVERLOAD_REPORT_LIFETIME_MS;
  }

  get runsScheduler(): boolean {
    return this.scheduler !== undefined;
  }

  get servesJobs(): boolean {
    return this.servingScheduler !== undefined;
  }

  /** Scheduler of this process while it leads and has loaded the jobs. */
  private get servingScheduler(): jobScheduler.JobScheduler | undefined {
    return this.scheduler?.isServing ? this.scheduler : undefined;
  }

  private get remoteLeaderAddress(): string | undefined {
    return this.elector.isLeader ? undefined : this.leader?.address;
  }

  /** How long the store has not answered the leader. */
  private get storeSilentMs(): number {
    const now = this.options.clock.now();
    if (this.scheduler === undefined) return 0;
    return Math.max(
      this.scheduler.storeUnansweredMs(now),
      this.progressReporter.unansweredMs(now),
    );
  }

  // Input from the feeds and the process.

  /**
   * Applies records of the cell's log, which was read up to `end`. The read
   * shows that no further record existed at `provenAt`, if that is known.
   */
  applyCellLog(
    members: ReadonlyArray<cellMember.CellMember>,
    claim: cellMember.Claim | undefined,
    end: number,
    progress?: cellMember.LeaderProgress,
    provenAt?: clock.Milliseconds,
  ): void {
    this.progressReporter.recordAnswer();
    this.elector.applyCellLog(members, claim, end, progress);
    if (provenAt !== undefined) this.leadership.proveByStore(provenAt);
    this.reportProgress();
  }

  /** Applies what a read of the cell's log has brought; see `applyCellLog`. */
  applyLogContent(
    content: cellMember.CellLogContent,
    end: number,
    provenAt?: clock.Milliseconds,
  ): void {
    const {members, claim, progress, witnesses} = content;
    // A list of an earlier leader precedes the claim that it is read with.
    if (witnesses !== undefined) this.leadership.recordWitnesses(witnesses);
    this.elector.removeDeparted(content);
    this.elector.recordRegistrations(
      content.memberOffsets,
      content.leaderRecord,
    );
    this.applyCellLog(members, claim, end, progress, provenAt);
  }

  /** Follows the operator's configuration in the store. */
  followConfiguration(): void {
    this.cellConfiguration.follow();
  }

  /** Returns the configuration to decide by; asks others if it may be old. */
  configurationBasis(
    waitMs = CONFIGURATION_WAIT_MS,
  ): Promise<configurationFreshness.ConfigurationBasis> {
    this.leadership.voidAfterSuspension();
    return this.cellConfiguration.basis(waitMs);
  }

  /** Returns whether a newer version of the configuration is known to exist. */
  hasNewerVersion(version: number): boolean {
    return this.cellConfiguration.newestKnownVersion > version;
  }

  /** Records that another member has a version of the configuration. */
  recordAnnouncedVersion(version: number, address?: string): void {
    this.cellConfiguration.announce(version, address);
  }

  /** Stops claiming and asks for a successor, before the process stops. */
  resign(): void {
    this.elector.resign();
  }

  /**
   * Discards the scheduler of this process after an unexpected error, which may
   * have left it half changed. The next term begins from what is stored.
   */
  abandonTerm(): void {
    if (this.scheduler === undefined) return;
    this.endTerm('fault');
    this.elector.invalidateOwnClaim();
  }

  /** Runs periodic work; called several times per second. */
  tick(): void {
    const now = this.options.clock.now();
    const gapMs = this.loopDelayMonitor.recordTick(now);
    const lostMs = loopDelayMonitor.lostTimeMs(gapMs);
    if (gapMs > LOGGED_PAUSE_MS) this.logPause(gapMs);
    this.leadership.review(this.scheduler?.term);
    if (lostMs > 0) this.excludeLostTime(lostMs);
    this.scheduler?.tick();
    if (this.elector.isLeader && this.scheduler === undefined) {
      // An earlier claim of this process took effect late.
      void this.startScheduler(this.elector.leader as cellMember.Claim);
    }
    this.reportProgress();
    this.cellConfiguration.review();
    this.elector.pingIfDue();
    for (const address of this.leadership.takePeersToAsk()) {
      void this.elector.ping(address);
    }
    if (lostMs > 0) void this.claimAfterBacklog();
    else this.elector.claimIfDue();
  }

  // Calls from other members.

  answerPing(message: cellPeers.PingMessage): cellPeers.PingReply {
    this.leadership.voidAfterSuspension();
    const {newest, sender} = message;
    this.contacts.recordContact(sender);
    this.recordAnnouncedVersion(message.configurationVersion, sender);
    if (newest !== undefined) this.elector.adoptClaim(newest, 'peer');
    this.leadership.recordMemberState({
      address: sender,
      incarnation: message.senderIncarnation,
      newest,
      askedAt: this.askedAt(message),
    });
    return {
      sentAt: this.options.clock.now(),
      newest: this.elector.leader,
      incarnation: this.options.self.incarnation,
      leading: this.servesJobs,
      resigning: this.elector.resigning,
      storeSilentMs: this.storeSilentMs,
      configurationVersion: this.cellConfiguration.version,
      configurationAgeMs: this.cellConfiguration.ageMs,
      overloaded: this.scheduler?.overloaded === true,
    };
  }

  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    this.recordAnnouncedVersion(configurationVersion);
    const isKnown = servingScheduler.knows(definition.id);
    if (!isKnown && !this.cellConfiguration.isUsable) {
      return this.submitAfterInquiry(definition, configurationVersion);
    }
    return this.submitNow(definition, configurationVersion);
  }

  configurationSince(knownVersion: number): cellPeers.MemberConfiguration {
    this.leadership.voidAfterSuspension();
    return this.cellConfiguration.since(knownVersion);
  }

  screen(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): ReadonlyArray<jobAdmission.ScreeningOutcome> | undefined {
    // A successor may have accepted a job that this process doesn't know.
    if (!this.leadership.isProved()) return undefined;
    return this.servingScheduler?.screen(jobs);
  }

  cancel(
    queue: string,
    id: string,
  ): Promise<jobScheduler.CancelOutcome> | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    if (!this.mayTell(servingScheduler.stateOf(queue, id))) return undefined;
    return new Promise(resolve => servingScheduler.cancel(queue, id, resolve));
  }

  readState(
    queue: string,
    id: string,
  ): {readonly state: job.JobState | undefined} | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    const state = servingScheduler.stateOf(queue, id);
    return this.mayTell(state) ? {state} : undefined;
  }

  countPending(queue: string): number | undefined {
    // A successor may have accepted jobs that this process doesn't count.
    if (!this.leadership.isProved()) return undefined;
    return this.servingScheduler?.countPending(queue);
  }

  /**
   * Returns whether a job's state may be told. A successor may have accepted a
   * job that this process doesn't know; "unknown" needs proof that none exists.
   */
  private mayTell(state: job.JobState | undefined): boolean {
    if (state !== undefined || this.leadership.isProved()) return true;
    this.options.counters.count('answers_withheld', 'noProof');
    return false;
  }

  advise(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    return this.options.localAdviceClient.ask(step, workerIds, timeoutMs);
  }

  // Configuration.

  /** Submits a job once the sources were asked for the configuration. */
  private async submitAfterInquiry(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> {
    await this.cellConfiguration.basis(CONFIGURATION_WAIT_MS);
    // A leader that was replaced meanwhile can't tell what became of the job.
    return (
      this.submitNow(definition, configurationVersion) ?? {kind: 'undecided'}
    );
  }

  /** Submits a job; undefined if this member does not lead. */
  private submitNow(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<jobAdmission.SubmitOutcome> | undefined {
    const {servingScheduler} = this;
    if (servingScheduler === undefined) return undefined;
    let isAnswered = true;
    const outcome = new Promise<jobAdmission.SubmitOutcome>(resolve => {
      isAnswered = servingScheduler.submit(
        definition,
        configurationVersion,
        resolve,
      );
    });
    return isAnswered ? outcome : undefined;
  }

  // Delays of this process's own loop.

  private logPause(pauseMs: number): void {
    this.options.log.event('warn', 'processPaused', {
      pauseMs: Math.round(pauseMs),
    });
  }

  private excludeLostTime(lostMs: number): void {
    this.contacts.excludeLostTime(lostMs);
    this.elector.excludeLostTime(lostMs);
  }

  /** Claims if due, once the messages that waited for the loop are read. */
  private async claimAfterBacklog(): Promise<void> {
    await this.options.timer.delay(BACKLOG_READ_TIME_MS);
    const now = this.options.clock.now();
    this.elector.claimAsOf(now - this.loopDelayMonitor.lostMs(now));
  }

  // Progress.

  private reportProgress(): void {
    const {elector, scheduler} = this;
    if (!elector.isLeader || scheduler === undefined) return;
    const progress = {
      term: scheduler.term,
      leading: scheduler.isServing,
      resigning: elector.resigning,
      takeoverStep: scheduler.takeoverStep,
      hearsMajority: this.contacts.hearsMajority(elector.peers),
      ...this.grantorsToReport(scheduler),
    };
    this.progressReporter.report(progress, elector.logEnd);
  }

  /** Returns what a successor has to know of this leader and earlier ones. */
  private grantorsToReport(
    scheduler: jobScheduler.JobScheduler,
  ): Pick<
    cellMember.LeaderProgress,
    'grantorEnd' | 'exempt' | 'witnesses' | 'departed'
  > {
    if (scheduler.earlierLeadersEnded) {
      return {
        exempt: this.leadership.reviewExempt(),
        departed: this.leadership.reviewDeparted(address =>
          this.contacts.lastContactAtOf(address),
        ),
        witnesses: this.leadership.takeWitnessChange(),
      };
    }
    return this.elector.grantors === undefined
      ? {}
      : {
          grantorEnd: this.elector.grantors.grantorEnd,
          exempt: this.elector.grantors.exempt,
        };
  }

  private handleProgressStored(
    sentAt: clock.Milliseconds,
    progress: cellMember.LeaderProgress,
  ): void {
    this.leadership.proveByStore(sentAt);
    const {witnesses} = progress;
    if (witnesses !== undefined) this.leadership.recordWitnesses(witnesses);
    if (progress.grantorEnd === undefined) {
      this.leadership.recordExemptStored(progress.exempt ?? []);
    }
    // After a long turn, the next record is due before the next tick.
    this.reportProgress();
  }

  // Terms.

  private beginTerm(claim: cellMember.Claim): void {
    this.endTerm('newerClaim');
    if (!this.elector.isLeader) return;
    this.leadership.beginTerm(claim.term);
    // The predecessor may have acted on a version that is not known here.
    this.cellConfiguration.requireProof();
    void this.startScheduler(claim);
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
      linkLoad: options.linkLoad,
      loopMeter: options.loopMeter,
      log: options.log,
      counters: options.counters,
      mayGrantLeases: () => this.leadership.mayAct(),
      isProvedLeader: () => this.leadership.isProved(),
      earlierTerms: {
        provedLeaderAt: () => this.leadership.provedByStoreAt(),
        majorityInformedAt: () => this.leadership.majorityInformedAt,
        grantorInformedAt: () => this.leadership.grantorInformedAt,
        witnesses: () => this.leadership.witnessKnowledge,
      },
      isConfigurationUsable: () => this.cellConfiguration.isUsable,
      onSuperseded: reason => this.handleSuperseded(newScheduler, reason),
      defer: options.defer,
    });
    this.scheduler = newScheduler;
    this.contacts.beginTerm();
    this.progressReporter.beginTerm(claim.term);
    this.reportProgress();
    const {newest} = this.cellConfiguration;
    if (newest !== undefined) newScheduler.configure(newest);
    this.registrySubscription = options.registry.follow(
      entries => {
        if (this.scheduler !== newScheduler) return;
        newScheduler.updateWorkers(entries);
      },
      isAvailable => newScheduler.setRegistryAvailable(isAvailable),
    );
    await newScheduler.begin();
  }

  /** Ends a term superseded by a claim that this member has not read yet. */
  private handleSuperseded(
    supersededScheduler: jobScheduler.JobScheduler,
    reason: string,
  ): void {
    if (this.scheduler !== supersededScheduler) return;
    this.endTerm(reason);
    this.elector.invalidateOwnClaim();
  }

  private endTerm(reason: string): void {
    if (this.scheduler === undefined) return;
    this.options.log.event('warn', 'termEnded', {
      reason,
      term: this.scheduler.term,
      withoutPermissionMs: Math.round(this.leadership.withoutPermissionMs),
    });
    this.scheduler.retire();
    this.scheduler = undefined;
    this.registrySubscription?.close();
    this.registrySubscription = undefined;
  }

  /** When the sender of a ping was told what it knew; undefined if unknown. */
  private askedAt({
    lastReply,
  }: cellPeers.PingMessage): clock.Milliseconds | undefined {
    const {incarnation} = this.options.self;
    return lastReply?.incarnation === incarnation
      ? lastReply.sentAt
      : undefined;
  }

  private handleReply(
    address: string,
    reply: cellPeers.PingReply,
    sentAt: clock.Milliseconds,
  ): void {
    const now = this.options.clock.now();
    this.contacts.recordContact(address);
    this.leadership.recordMemberState({
      address,
      incarnation: reply.incarnation,
      newest: reply.newest,
      askedAt: sentAt,
    });
    this.cellConfiguration.recordReply(address, reply, sentAt);
    if (address !== this.elector.leader?.address) return;
    this.overloadReportedAt = reply.overloaded ? now : -Infinity;
  }
}
