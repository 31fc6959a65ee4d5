import * as fakeJournalStore from './fake_journal_store.js';
import * as fakeWorkers from './fake_workers.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as simulatedClock from './simulated_clock.js';
import * as simulatedMember from './simulated_member.js';
import * as simulatedStore from './simulated_store.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

/** Range of the one-way latency of calls. */
const MINIMUM_LATENCY_MS = 1;
const LATENCY_RANGE_MS = 4;

/** Time that a cell has to elect its first leader. */
const SETTLING_TIME_MS = 2_500;

/** A claim that was won or a term that began. */
export interface TermEvent {
  readonly term: number;
  readonly node: string;
  readonly at: number;
  readonly reason: string;
}

/** The end of a term, as its leader has logged it. */
export interface EndedTerm extends TermEvent {
  /** How long the leader had not been allowed to start tasks. */
  readonly withoutPermissionMs: number;
}

/** Whether the store answers the members on each side of a partition. */
export interface StoreSides {
  readonly main: boolean;
  readonly cutOff: boolean;
}

/** Messages between the sides of a partition that are lost. */
export type LostMessages = 'all' | 'fromCutOff' | 'toCutOff';

/** Version of the configuration that the store took, or a member. */
export interface VersionEvent {
  readonly version: number;
  /** Node of the member; empty for the store. */
  readonly node: string;
  readonly at: number;
}

type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Cell of nodes with a shared store, in simulated time. */
export class SimulatedCell {
  readonly time = new simulatedClock.SimulatedClock();
  readonly store = new simulatedStore.SimulatedStore();
  /** Topic with the operator's configuration. */
  readonly operatorStore = new simulatedStore.SimulatedStore();
  readonly publishedVersions: VersionEvent[] = [];
  readonly takenVersions: VersionEvent[] = [];
  readonly journal = new fakeJournalStore.FakeJournalStore(this.time);
  /** Workers that the members' schedulers call, and the registry's list. */
  readonly workers = new fakeWorkers.FakeWorkers(this.time);
  workerEntries: ReadonlyArray<remoteWorker.RegistryEntry> = [];
  readonly random: randomSource.SeededRandom;
  readonly members: simulatedMember.SimulatedMember[] = [];
  /** Claims that were won, in their order. */
  readonly wonClaims: TermEvent[] = [];
  /** Terms that began to serve, in their order. */
  readonly begunTerms: TermEvent[] = [];
  readonly endedTerms: EndedTerm[] = [];
  /** Nodes that any member took for the leader of a term. */
  readonly leadersByTerm = new Map<number, Set<string>>();
  /** Number of parts in which the journal arrives, one after the other. */
  journalPartCount = 0;
  pingCount = 0;
  storeCallCount = 0;
  /** Returns the delay of a message; `Infinity` if it is lost. */
  extraDelayMs: () => number = () => 0;
  private readonly incarnationCounts = new Map<string, number>();
  /** Addresses of the members and workers on the other side of a partition. */
  private cutOffAddresses: ReadonlySet<string> = new Set();
  /** Whether the store answers the members on either side. */
  private storeSides: StoreSides = {main: true, cutOff: true};
  private lostMessages: LostMessages = 'all';
  /** Returns the rate of the clock of a node, which has this number. */
  clockRateOf: (index: number) => number = () => 1;

  /** Members follow the configuration only if `isConfigured` is set. */
  constructor(
    seed = 1,
    readonly isConfigured = false,
  ) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /**
   * Creates a cell of which all members know one leader. `prepare` may add
   * workers before the members start.
   */
  static async start(
    count: number,
    seed = 1,
    isConfigured = false,
    prepare: (cell: SimulatedCell) => void = () => {},
  ): Promise<SimulatedCell> {
    const created = new SimulatedCell(seed, isConfigured);
    prepare(created);
    if (isConfigured && created.publishedVersions.length === 0) {
      created.publish(1);
    }
    for (let index = 0; index < count; index += 1) created.addMember(index);
    await created.time.advance(SETTLING_TIME_MS);
    return created;
  }

  /** Adds a worker to the registry's list. */
  addWorker(
    entry: remoteWorker.RegistryEntry,
    plan: workerModel.RunPlan,
  ): workerModel.WorkerModel {
    this.workerEntries = [...this.workerEntries, entry];
    return this.workers.add(entry, plan);
  }

  /**
   * Cuts members and workers off from all others; they reach one another. By
   * default the store answers only the others. With `lostMessages`, calls or
   * answers still arrive in one direction.
   */
  partition(
    addresses: ReadonlyArray<string>,
    storeSides: StoreSides = {main: true, cutOff: false},
    lostMessages: LostMessages = 'all',
  ): void {
    this.cutOffAddresses = new Set(addresses);
    this.storeSides = storeSides;
    this.lostMessages = lostMessages;
  }

  /** Ends the partition. */
  heal(): void {
    this.cutOffAddresses = new Set();
    this.storeSides = {main: true, cutOff: true};
    this.lostMessages = 'all';
  }

  /** Returns whether calls of the process at an address reach the store. */
  storeHears(address: string): boolean {
    return this.reachesStore(address, 'toCutOff');
  }

  /** Returns whether answers of the store reach the process at an address. */
  storeAnswers(address: string): boolean {
    return this.reachesStore(address, 'fromCutOff');
  }

  /** Returns whether a message from one address to another one arrives. */
  delivers(from: string, to: string): boolean {
    const isFromCutOff = this.isCutOff(from);
    if (isFromCutOff === this.isCutOff(to)) return true;
    return this.lostMessages === (isFromCutOff ? 'toCutOff' : 'fromCutOff');
  }

  /** A store that a side can't reach still gets the messages that aren't lost. */
  private reachesStore(address: string, passing: LostMessages): boolean {
    const {main, cutOff} = this.storeSides;
    if (!this.isCutOff(address)) return main;
    return cutOff || (main && this.lostMessages === passing);
  }

  /** Returns whether an address is on the side that was cut off. */
  isCutOff(address: string): boolean {
    return this.cutOffAddresses.has(address);
  }

  /** Writes a version of the configuration as the operator does. */
  publish(version: number, routes: ReadonlyArray<unknown> = []): void {
    const value = Buffer.from(JSON.stringify({version, routes}));
    this.operatorStore.append([{key: 'config', value}], {});
    this.publishedVersions.push({version, node: '', at: this.time.now()});
  }

  /** Returns the newest version that the store had taken by a time. */
  versionAt(time: number): number {
    return this.publishedVersions.findLast(({at}) => at <= time)?.version ?? 0;
  }

  /** Starts a process; replaces an earlier one with the same number. */
  addMember(index: number): simulatedMember.SimulatedMember {
    const node = `vm${String(index).padStart(2, '0')}`;
    const incarnationCount = (this.incarnationCounts.get(node) ?? 0) + 1;
    this.incarnationCounts.set(node, incarnationCount);
    const self: cellMember.CellMember = {
      node,
      incarnation: `${node}-${incarnationCount}`,
      address: `${node}:1`,
      zone: `zone${index % 3}`,
      processors: 1,
    };
    const created = new simulatedMember.SimulatedMember(
      self,
      this,
      this.clockRateOf(index),
    );
    this.members[index] = created;
    return created;
  }

  /** Returns the member that won the newest claim. */
  leader(): simulatedMember.SimulatedMember {
    const newest = this.wonClaims.at(-1);
    const found = this.members.find(({self}) => self.node === newest?.node);
    if (found === undefined) throw new Error('no leader');
    return found;
  }

  /** Returns the members that live and do not lead. */
  followers(): ReadonlyArray<simulatedMember.SimulatedMember> {
    const leader = this.leader();
    return this.members.filter(item => item !== leader && item.isAlive);
  }

  memberAt(address: string): simulatedMember.SimulatedMember | undefined {
    return this.members.find(({self}) => self.address === address);
  }

  /** Returns whether a call of a member, or the answer to it, arrives. */
  canCall(
    sender: simulatedMember.SimulatedMember,
    address: string,
    message: simulatedMember.CallMessage,
  ): boolean {
    const own = sender.self.address;
    const arrives =
      message === 'call'
        ? this.delivers(own, address)
        : this.delivers(address, own);
    const target = this.memberAt(address);
    return arrives && sender.reachesPeers && target?.reachesPeers === true;
  }

  /** Delivers a message after a random latency. */
  afterLatency(deliver: () => void): void {
    const latencyMs = MINIMUM_LATENCY_MS + this.random.below(LATENCY_RANGE_MS);
    const delayMs = latencyMs + this.extraDelayMs();
    if (delayMs === Infinity) return;
    this.time.runAt(this.time.now() + delayMs, deliver);
  }

  recordEvent(
    self: cellMember.CellMember,
    name: string,
    fields: EventFields,
  ): void {
    const term = Number(fields.term);
    const reason = String(fields.reason ?? '');
    const event = {term, node: self.node, at: this.time.now(), reason};
    if (name === 'claimed' && fields.outcome === 'won') {
      this.wonClaims.push({...event, term: Number(fields.end) + 1});
    }
    if (name === 'termBegun') this.begunTerms.push(event);
    if (name === 'termEnded') {
      const withoutPermissionMs = Number(fields.withoutPermissionMs);
      this.endedTerms.push({...event, withoutPermissionMs});
    }
    if (name === 'configurationTaken') {
      const {node, at} = event;
      this.takenVersions.push({version: Number(fields.version), node, at});
    }
    if (name !== 'schedulerChanged') return;
    const known = this.leadersByTerm.get(term) ?? new Set();
    this.leadersByTerm.set(term, known.add(String(fields.node)));
  }

  /** Returns whether all living members know the same leader, which serves. */
  hasConverged(): boolean {
    const alive = this.members.filter(item => item.isAlive);
    const known = new Set(
      alive.map(({node}) => `${node.leader?.term} ${node.leader?.incarnation}`),
    );
    const leaders = alive.filter(({node}) => node.runsScheduler);
    return known.size === 1 && leaders.length === 1;
  }
}
