import * as adviceMembers from './advice_members.js';
import * as adviceSpread from '../jobs/advice_spread.js';
import * as cellConfiguration from './cell_configuration.js';
import * as election from './election.js';
import * as scheduler from '../jobs/scheduler.js';
import type * as submissions from '../jobs/submissions.js';
import type * as adviceBook from '../jobs/advice_book.js';
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
  readonly bounds: schedulerOptions.Bounds;
  readonly cellLog: cellMember.CellLog;
  readonly journal: jobJournal.JournalStore;
  readonly registry: remoteWorker.WorkerRegistry;
  readonly workers: workerClient.WorkerClient;
  /** Asks the advice service from this VM. */
  readonly advice: adviceBook.AdviceService;
  readonly peers: cellPeers.CellPeers;
  readonly pauses: jobJournal.Pauses;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  readonly defer: (pass: () => void) => void;
}

/** Time for the answer to a ping. */
const PING_TIMEOUT_MS = 600;

/** Pause between pings of the members that succeed first. */
const PING_MS = 220;

/** Pause between pings of all others. */
const SLOW_PING_MS = 800;

/** Ranks that ping often. */
const SUCCESSORS = 3;

/** A read of the log within this time shows that the store answers. */
const FRESH_READ_MS = 300;

/** Time for a scheduler to show that the store answers it again. */
const STORE_BACK_PAUSE_MS = 450;

/** Pause before a claim that lost to another record is repeated. */
const LOST_PAUSE_MS = 15;

/** Pause that shows that this process did not run for a while. */
const FROZEN_MS = 1_000;

/** One process of the cell: follows the claims and schedules when it won. */
export class CellNode implements cellPeers.CellService {
  private readonly votes: election.Election;
  private readonly held: cellConfiguration.CellConfiguration;
  private readonly adviceMembers: adviceMembers.AdviceMembers;
  private readonly adviceCalls: adviceSpread.AdviceSpread;
  private current: scheduler.Scheduler | undefined;
  private registration: {close(): void} | undefined;
  private logReadAt = -Infinity;
  private joined = false;
  private joining = false;
  private provedAt = -Infinity;
  private lastTickAt: clock.Milliseconds;
  private nextPingAt = 0;
  private pinging = false;
  private resigning = false;

  constructor(private readonly options: CellNodeOptions) {
    const now = options.clock.now();
    this.votes = new election.Election(options.self, now);
    this.lastTickAt = now;
    this.held = new cellConfiguration.CellConfiguration({
      clock: options.clock,
      peers: options.peers,
      log: options.log,
      onTaken: configuration => this.current?.configure(configuration),
    });
    this.adviceMembers = new adviceMembers.AdviceMembers(
      options.clock,
      options.advice,
      options.peers,
    );
    this.adviceCalls = new adviceSpread.AdviceSpread(
      () => this.adviceMembers.sites(this.votes.peers),
      (...call) => this.adviceMembers.ask(...call),
      options.clock,
    );
  }

  get configuration(): job.CellConfiguration | undefined {
    return this.held.newest;
  }

  /** Time since the configuration was last known to be the newest one. */
  get configurationAge(): number {
    return this.held.ageMs;
  }

  /** The member that schedules, as far as this one knows. */
  get leader(): cellMember.Claim | undefined {
    return this.votes.claim;
  }

  get leadsItself(): boolean {
    return this.current !== undefined;
  }

  /** The scheduler of this process while it leads and knows the jobs. */
  private get serving(): scheduler.Scheduler | undefined {
    return this.current?.isServing ? this.current : undefined;
  }

  // News.

  /** The cell's log was read up to `end`. */
  logRead(
    members: ReadonlyArray<cellMember.CellMember>,
    claim: cellMember.Claim | undefined,
    end: number,
  ): void {
    const now = this.options.clock.now();
    for (const member of members) this.votes.listMember(member);
    this.votes.logEndsAt(end);
    this.logReadAt = now;
    this.provedAt = now;
    if (claim !== undefined) this.takeClaim(claim, 'log');
    if (!this.joined && !this.joining) void this.join();
    this.considerClaim();
  }

  /** The operator's newest configuration; undefined when none was written. */
  configurationRead(configuration: job.CellConfiguration | undefined): void {
    this.held.read(configuration);
  }

  /** The process is to stop soon: another one takes over meanwhile. */
  resign(): void {
    this.resigning = true;
  }

  /** Does what is due; called several times a second. */
  tick(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const pause = now - this.lastTickAt;
    this.lastTickAt = now;
    if (pause > FROZEN_MS) {
      // Whatever proved that this process may schedule is out of date.
      this.provedAt = -Infinity;
      log.event('warn', 'processPaused', {pauseMs: Math.round(pause)});
    }
    this.current?.tick();
    if (this.votes.leads && this.current === undefined) {
      // A claim of an earlier moment took effect late.
      void this.begin(this.votes.claim as cellMember.Claim);
    }
    if (!this.pinging && now >= this.nextPingAt) void this.greet(now);
    this.considerClaim();
  }

  // Calls of other members.

  pinged(greeting: cellPeers.Greeting): cellPeers.GreetingAnswer {
    const now = this.options.clock.now();
    this.adviceMembers.heard(greeting.sender);
    if (greeting.newest !== undefined) this.takeClaim(greeting.newest, 'peer');
    if (this.votes.leads) this.provedAt = now;
    return {
      newest: this.votes.claim,
      incarnation: this.options.self.incarnation,
      leading: this.serving !== undefined,
      resigning: this.resigning,
      storeSilentMs: this.current?.storeSilentFor(now) ?? 0,
      configurationVersion: this.held.version,
      configurationAgeMs: Math.round(this.held.ageMs),
    };
  }

  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
  ): Promise<submissions.SubmitOutcome> | undefined {
    const {serving} = this;
    if (serving === undefined) return undefined;
    return new Promise(resolve =>
      serving.submit(definition, configurationVersion, resolve),
    );
  }

  cancel(
    queue: string,
    id: string,
  ): Promise<scheduler.CancelOutcome> | undefined {
    const {serving} = this;
    if (serving === undefined) return undefined;
    return new Promise(resolve => serving.cancel(queue, id, resolve));
  }

  readState(
    queue: string,
    id: string,
  ): {readonly state: job.JobState | undefined} | undefined {
    const {serving} = this;
    if (serving === undefined) return undefined;
    return {state: serving.stateOf(queue, id)};
  }

  countPending(queue: string): number | undefined {
    return this.serving?.pendingOf(queue);
  }

  advise(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceBook.AdviceOutcome> {
    return this.options.advice.ask(step, workerIds, timeoutMs);
  }

  // Claims and terms.

  private async join(): Promise<void> {
    this.joining = true;
    this.joined = await this.options.cellLog.join(this.options.self);
    this.joining = false;
  }

  private considerClaim(): void {
    const now = this.options.clock.now();
    if (this.mayClaim() && this.votes.takeTurn(now)) void this.claim();
  }

  /** A member joins once it has read the log, and may claim from then on. */
  private mayClaim(): boolean {
    return this.joined && !this.resigning;
  }

  private async claim(): Promise<void> {
    const {cellLog, self, log, counters, clock} = this.options;
    // A claim that gets no answer may take effect much later, when nobody wants
    // another scheduler any more.
    const answered = clock.now() - this.logReadAt < FRESH_READ_MS;
    if (!answered && !(await cellLog.probe())) {
      counters.count('claims', 'storeSilent');
      return;
    }
    const storeOnly = this.votes.doubtsOnlyStore(clock.now());
    // A store that has just come back answers the scheduler as well.
    if (storeOnly) await this.options.pauses.pause(STORE_BACK_PAUSE_MS);
    // Members that ping rarely doubt by what they heard some time ago.
    const leader = this.votes.claim?.address;
    const rarely = this.votes.rank >= SUCCESSORS;
    if (leader !== undefined && (storeOnly || rarely)) await this.ping(leader);
    if (!this.votes.isDoubted(clock.now())) return;
    const {end} = this.votes;
    const outcome = await cellLog.claim(self, end);
    counters.count('claims', outcome.kind);
    log.event('info', 'claimed', {outcome: outcome.kind, end});
    if (outcome.kind === 'lost') {
      this.votes.claimLost(end);
      await this.options.pauses.pause(LOST_PAUSE_MS);
      this.considerClaim();
    }
    if (outcome.kind !== 'won') return;
    const {node, incarnation, address} = self;
    this.takeClaim({term: outcome.term, node, incarnation, address}, 'won');
    this.announce();
  }

  /** Tells all members of the term: a silent store may show it much later. */
  private announce(): void {
    for (const {address} of this.votes.peers) void this.ping(address);
  }

  private takeClaim(claim: cellMember.Claim, source: string): void {
    const now = this.options.clock.now();
    if (!this.votes.takeClaim(claim, now)) return;
    this.options.log.event('info', 'schedulerChanged', {
      term: claim.term,
      node: claim.node,
      source,
    });
    this.nextPingAt = now;
    this.endTerm('newerClaim');
    if (this.votes.leads) {
      this.provedAt = now;
      void this.begin(claim);
    }
  }

  private async begin(claim: cellMember.Claim): Promise<void> {
    if (this.current !== undefined) return;
    const {options} = this;
    const term = new scheduler.Scheduler({
      term: claim.term,
      clock: options.clock,
      wallClock: options.wallClock,
      bounds: options.bounds,
      journal: options.journal,
      workers: options.workers,
      advice: this.adviceCalls,
      pauses: options.pauses,
      log: options.log,
      counters: options.counters,
      mayExtend: () => this.isProved(),
      onSuperseded: reason => this.superseded(term, reason),
      defer: options.defer,
    });
    this.current = term;
    const {newest} = this.held;
    if (newest !== undefined) term.configure(newest);
    this.registration = options.registry.follow(entries => {
      if (this.current === term) term.updateWorkers(entries);
    });
    await term.begin();
  }

  /** The term is over, though the claim that ended it is not known yet. */
  private superseded(term: scheduler.Scheduler, reason: string): void {
    if (this.current !== term) return;
    this.endTerm(reason);
    this.votes.disown();
  }

  private endTerm(reason: string): void {
    if (this.current === undefined) return;
    this.options.log.event('warn', 'termEnded', {reason});
    this.current.retire();
    this.current = undefined;
    this.registration?.close();
    this.registration = undefined;
  }

  /**
   * Tells whether something heard lately shows that no later term is known. A
   * successor waits for this time before it counts on the old term's silence.
   */
  private isProved(): boolean {
    const age = this.options.clock.now() - this.provedAt;
    return this.votes.leads && age < scheduler.PROOF_LIFETIME_MS;
  }

  // Pings.

  private async greet(now: clock.Milliseconds): Promise<void> {
    const often = this.votes.rank < SUCCESSORS;
    this.nextPingAt = now + (often ? PING_MS : SLOW_PING_MS);
    const address = this.votes.nextToPing(now);
    if (address === undefined) return;
    this.pinging = true;
    await this.ping(address);
    this.pinging = false;
  }

  private async ping(address: string): Promise<void> {
    const greeting = {
      newest: this.votes.claim,
      configurationVersion: this.held.version,
      sender: this.options.self.address,
    };
    const reached = await this.options.peers.ping(
      address,
      greeting,
      PING_TIMEOUT_MS * this.votes.patience,
    );
    this.takeAnswer(address, reached);
  }

  private takeAnswer(
    address: string,
    reached: cellPeers.Reached<cellPeers.GreetingAnswer>,
  ): void {
    const now = this.options.clock.now();
    const isLeader = address === this.votes.claim?.address;
    if (reached.kind === 'refused' && isLeader) this.votes.takeRefusal(now);
    if (reached.kind !== 'answered') {
      this.considerClaim();
      return;
    }
    const {value} = reached;
    this.adviceMembers.heard(address);
    if (value.newest !== undefined) this.takeClaim(value.newest, 'peer');
    if (isLeader && address === this.votes.claim?.address) {
      this.votes.takePong(value, now);
    }
    this.held.compare(address, value);
  }
}
