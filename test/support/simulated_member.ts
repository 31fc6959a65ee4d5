import * as cellLogStore from '../../src/links/cell_log_store.js';
import * as cellNode from '../../src/zones/cell_node.js';
import * as loopMeter from '../../src/machines/loop_meter.js';
import * as partitionedWorkers from './partitioned_workers.js';
import * as platformFeeds from '../../platform/platform_feeds.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as schedulerOptions from '../../src/jobs/scheduler_options.js';
import type * as simulatedCell from './simulated_cell.js';

/** Interval between two ticks of a node. */
const TICK_INTERVAL_MS = 100;

/** Time allowed for a read beyond its own wait. */
const READ_TIMEOUT_MARGIN_MS = 900;

/** Round trips by which a new connection is opened and makes its first call. */
const FIRST_CALL_ROUND_TRIPS = 3;

/** Time within which a new configuration must be in force. */
export const CONFIGURATION_MS = 2_500;

/** Timeout of a call to the journal's store that has none of its own. */
const JOURNAL_TIMEOUT_MS = 900;

/** Size and transfer time of a part of the journal on a narrow link. */
const JOURNAL_PART_BYTES = 65_536;
const JOURNAL_PART_DELAY_MS = 300;

/** The two messages of a call. */
export type CallMessage = 'call' | 'answer';

/** One process of a simulated cell, with injectable faults. */
export class SimulatedMember {
  readonly node: cellNode.CellNode;
  /** Whether the store answers this process. */
  reachesStore = true;
  /** Whether calls from and to other members arrive. */
  reachesPeers = true;
  /** Whether replies of this process to pings arrive. */
  repliesToPings = true;
  private alive = true;
  /** Time for which the steady clock of this process stood still. */
  private suspendedMs = 0;
  private connectionEpoch = 0;
  private silentIdleCount = 0;
  private blockedUntil = -Infinity;
  /** Events that arrived while the loop was blocked, in their order. */
  private backlog: Array<() => void> = [];
  /** Addresses to which this process has an open connection. */
  private readonly connections = new Set<string>();

  constructor(
    readonly self: cellMember.CellMember,
    private readonly cell: simulatedCell.SimulatedCell,
    /** Rate of the steady clock of this process. */
    private readonly clockRate = 1,
  ) {
    const {time} = cell;
    const clock = {
      now: () => (time.now() - this.suspendedMs) * clockRate,
    };
    const delay = (milliseconds: number): Promise<void> =>
      this.delay(milliseconds);
    this.node = new cellNode.CellNode({
      self,
      clock,
      loopLoad: {delayMs: 0, times: {active: 0, idle: 0}},
      linkLoad: {sendDelayMs: 0},
      loopMeter: new loopMeter.LoopMeter(time),
      wallClock: () => time.now(),
      retentionTimes: {stateKeptMs: 120_000},
      cellLog: new cellLogStore.CellLogStore(this.topic()),
      journalStore: this.journalStore(),
      registry: {follow: onChange => this.followRegistry(onChange)},
      configurationSource: new platformFeeds.PlatformConfigurationSource(
        this.topic(cell.operatorStore),
        CONFIGURATION_MS,
        {
          clock,
          delay,
          log: this.log(),
          counters: {count: () => {}, observe: () => {}},
        },
      ),
      configurationMs: CONFIGURATION_MS,
      workerClient: new partitionedWorkers.PartitionedWorkers(
        cell.workers,
        time,
        (worker, message) =>
          message === 'call'
            ? cell.delivers(self.address, worker.address)
            : cell.delivers(worker.address, self.address),
        handle => this.run(handle),
      ),
      localAdviceClient: {ask: async () => ({kind: 'busy'})},
      peers: this.peers(),
      timer: {delay},
      log: this.log(),
      counters: {count: () => {}, observe: () => {}},
      defer: pass => this.later(0, pass),
    });
    platformFeeds.followCellLog(this.topic(), this.node, {
      clock,
      delay,
      log: this.log(),
      counters: {count: () => {}, observe: () => {}},
    });
    if (cell.isConfigured) this.node.followConfiguration();
    this.later(cell.random.below(TICK_INTERVAL_MS), () => this.startTicks());
  }

  get isAlive(): boolean {
    return this.alive;
  }

  /**
   * Makes the connections to the store go silent: reads and writes in progress
   * get no answer, nor do the next calls, which take idle connections.
   */
  silenceConnections(idleCount: number): void {
    this.connectionEpoch += 1;
    this.silentIdleCount = idleCount;
  }

  /** Suspends the VM: its loop and its steady clock stand still for a time. */
  suspend(milliseconds: number): void {
    this.block(milliseconds);
    this.suspendedMs += milliseconds;
  }

  /** Ends the process without notice; its port refuses connections. */
  kill(): void {
    this.alive = false;
  }

  /** Stops a free loop for a time; what arrives meanwhile waits. */
  block(milliseconds: number): void {
    if (this.isBlocked()) return;
    const until = this.cell.time.now() + milliseconds;
    this.blockedUntil = until;
    this.cell.time.runAt(until, () => {
      // A loop runs due timers before it reads what has arrived.
      if (this.blockedUntil === until) this.drainBacklog();
    });
  }

  /** Handles an event of this process when its loop is free. */
  run(handle: () => void): void {
    if (!this.alive) return;
    if (this.isBlocked()) this.backlog.push(handle);
    else handle();
  }

  private isBlocked(): boolean {
    return this.cell.time.now() < this.blockedUntil;
  }

  private drainBacklog(): void {
    if (!this.alive) return;
    this.node.tick();
    const {backlog} = this;
    this.backlog = [];
    for (const handle of backlog) this.later(1, handle);
  }

  private startTicks(): void {
    this.cell.time.runEvery(TICK_INTERVAL_MS, () => {
      if (this.alive && !this.isBlocked()) this.node.tick();
    });
  }

  private later(milliseconds: number, handle: () => void): void {
    const {time} = this.cell;
    time.runAt(time.now() + milliseconds, () => this.run(handle));
  }

  private delay(milliseconds: number): Promise<void> {
    return new Promise(resolve =>
      this.later(milliseconds / this.clockRate, resolve),
    );
  }

  /** Sends a call; resolves to its answer, or to `failure` on a timeout. */
  private call<Answer>(
    timeoutMs: number,
    failure: Answer,
    isReachable: (message: CallMessage) => boolean,
    serve: (answer: (value: Answer) => void) => void,
  ): Promise<Answer> {
    const {cell} = this;
    return new Promise(resolve => {
      this.later(timeoutMs, () => resolve(failure));
      if (!isReachable('call')) return;
      cell.afterLatency(() => {
        if (!isReachable('call')) return;
        serve(value =>
          cell.afterLatency(() => {
            if (isReachable('answer')) this.run(() => resolve(value));
          }),
        );
      });
    });
  }

  private callStore<Answer>(
    timeoutMs: number,
    failure: Answer,
    serve: (answer: (value: Answer) => void) => void,
  ): Promise<Answer> {
    this.cell.storeCallCount += 1;
    const epoch = this.connectionEpoch;
    const isSilent = this.silentIdleCount > 0;
    // The first call that times out closes the other silent connections.
    if (isSilent) this.later(timeoutMs, () => (this.silentIdleCount = 0));
    const {address} = this.self;
    const isReachable = (message: CallMessage): boolean =>
      this.alive &&
      this.reachesStore &&
      (message === 'call'
        ? this.cell.storeHears(address)
        : this.cell.storeAnswers(address)) &&
      !isSilent &&
      epoch === this.connectionEpoch;
    return this.call(timeoutMs, failure, isReachable, serve);
  }

  private topic(store = this.cell.store): keyedTopic.KeyedTopic {
    const {time} = this.cell;
    const unavailable = {kind: 'unavailable', detail: 'timeout'} as const;
    const unanswered = {kind: 'unanswered', detail: 'timeout'} as const;
    return {
      append: (records, options, timeoutMs) =>
        this.callStore<keyedTopic.AppendOutcome>(
          timeoutMs,
          unanswered,
          answer => answer(store.append(records, options)),
        ),
      read: (from, waitMs, marginMs = READ_TIMEOUT_MARGIN_MS) =>
        this.callStore<keyedTopic.ReadOutcome>(
          waitMs + marginMs,
          unavailable,
          answer => {
            store.readWhenAppended(from, answer);
            time.runAt(time.now() + waitMs, () => answer(store.read(from)));
          },
        ),
      readNewest: (marginMs = READ_TIMEOUT_MARGIN_MS) =>
        this.callStore<keyedTopic.ReadOutcome>(marginMs, unavailable, answer =>
          answer(store.readNewest()),
        ),
    };
  }

  /** Tells the list of workers once, if there are any. */
  private followRegistry(
    onChange: (entries: ReadonlyArray<remoteWorker.RegistryEntry>) => void,
  ): {close(): void} {
    const {workerEntries} = this.cell;
    if (workerEntries.length > 0) this.later(1, () => onChange(workerEntries));
    return {close: () => {}};
  }

  private journalStore(): jobJournal.JobJournalStore {
    const {journal} = this.cell;
    const deliver = <Answer>(
      timeoutMs: number,
      failure: Answer,
      send: () => Promise<Answer>,
    ): Promise<Answer> =>
      this.callStore(timeoutMs, failure, answer => void send().then(answer));
    return {
      open: term =>
        deliver<jobJournal.StoreOutcome>(JOURNAL_TIMEOUT_MS, 'unanswered', () =>
          journal.open(term),
        ),
      load: async onPart => {
        for (let part = 0; part < this.cell.journalPartCount; part += 1) {
          const arrived = await deliver(JOURNAL_TIMEOUT_MS, false, async () => {
            await this.cell.time.delay(JOURNAL_PART_DELAY_MS);
            return true;
          });
          if (!arrived) return undefined;
          onPart?.(JOURNAL_PART_BYTES);
        }
        return deliver<jobJournal.JournalContent | undefined>(
          JOURNAL_TIMEOUT_MS,
          undefined,
          () => journal.load(),
        );
      },
      measure: change => journal.measure(change),
      append: (term, sequence, changes, timeoutMs) =>
        deliver<jobJournal.StoreOutcome>(timeoutMs, 'unanswered', () =>
          journal.append(term, sequence, changes, timeoutMs),
        ),
    };
  }

  private peers(): cellPeers.CellPeers {
    return {
      ping: (
        address: string,
        message: cellPeers.PingMessage,
        timeoutMs: number,
      ) => this.ping(address, message, timeoutMs),
      fetchConfiguration: (
        address: string,
        knownVersion: number,
        timeoutMs: number,
      ) => this.fetchConfiguration(address, knownVersion, timeoutMs),
    } as unknown as cellPeers.CellPeers;
  }

  private ping(
    address: string,
    message: cellPeers.PingMessage,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.PingReply>> {
    this.cell.pingCount += 1;
    const isOpen = this.connections.has(address);
    const roundTrips = isOpen ? 1 : FIRST_CALL_ROUND_TRIPS;
    const outcome = this.call<cellPeers.PeerCallOutcome<cellPeers.PingReply>>(
      timeoutMs,
      {kind: 'unanswered', detail: 'timeout'},
      sent => this.cell.canCall(this, address, sent),
      answer => {
        const target = this.cell.memberAt(address);
        if (target?.isAlive === true) target.serve(message, roundTrips, answer);
        else answer({kind: 'refused'});
      },
    );
    // A call without an answer closes its connection.
    void outcome.then(({kind}) => {
      if (kind === 'answered') this.connections.add(address);
      else this.connections.delete(address);
    });
    return outcome;
  }

  private fetchConfiguration(
    address: string,
    knownVersion: number,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.MemberConfiguration>> {
    return this.call<cellPeers.PeerCallOutcome<cellPeers.MemberConfiguration>>(
      timeoutMs,
      {kind: 'unanswered', detail: 'timeout'},
      sent => this.cell.canCall(this, address, sent),
      answer => {
        const target = this.cell.memberAt(address);
        if (target?.isAlive !== true) {
          answer({kind: 'refused'});
          return;
        }
        target.run(() => {
          const value = target.node.configurationSince(knownVersion);
          answer({kind: 'answered', value});
        });
      },
    );
  }

  /** Handles a ping after the round trips that open its connection. */
  private serve(
    message: cellPeers.PingMessage,
    roundTrips: number,
    answer: (outcome: cellPeers.PeerCallOutcome<cellPeers.PingReply>) => void,
  ): void {
    this.run(() => {
      if (roundTrips > 1) {
        this.cell.afterLatency(() =>
          this.serve(message, roundTrips - 1, answer),
        );
        return;
      }
      const value = this.node.answerPing(message);
      if (this.repliesToPings) answer({kind: 'answered', value});
    });
  }

  private log(): schedulerOptions.EventLog {
    return {
      event: (_level, name, fields) =>
        this.cell.recordEvent(this.self, name, fields),
    };
  }
}
