import * as authority from './authority.js';
import * as confirmations from './confirmations.js';
import * as distribution from './distribution.js';
import * as effects from '../contracts/effect.js';
import * as membership from './membership.js';
import * as ownership from './ownership.js';
import * as region from './region.js';
import * as succession from './succession.js';
import * as vmPresence from './vm_presence.js';
import * as zoneStream from './zone_stream.js';
import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as fleet from '../machines/fleet.js';

/** Time between reads of the VM list. */
const VM_LIST_INTERVAL_MS = 2_000;

/** Age of the last read up to which this process writes to the stream. */
const WRITE_FRESHNESS_MS = 2_500;

/** Time after which any member claims a worker that still has no owner. */
const UNOWNED_GRACE_MS = 6_000;

/** Least time between handovers, so that members see each other's. */
const BALANCE_INTERVAL_MS = 3_000;

/**
 * Time between two turns from which this process counts as paused: silence of
 * others during a pause says nothing about them.
 */
const PAUSE_MS = 2_000;

export type ProcessDescription = confirmations.ProcessDescription;

/** Settings of `ZoneControl` that have defaults. */
export interface ZoneControlOptions {
  /** Lag of the log's reads; added to the wait after a claim. */
  readonly logStalenessMs?: clock.Milliseconds;
  /** Versions of the documents in force, which confirmations carry. */
  readonly documents?: () => ReadonlyArray<event.DocumentVersion>;
}

/**
 * Authority of this process in its availability zone: which workers it owns,
 * until when it may place on them, and who the other members are.
 */
export class ZoneControl {
  /** Zones and regions of the cell, with the last summary of each zone. */
  readonly regions: region.RegionMap;
  private readonly table = new ownership.OwnershipTable();
  private readonly presence = new vmPresence.VmPresence();
  private readonly stream: zoneStream.ZoneStream;
  private readonly membership: membership.Membership;
  private readonly authority: authority.Authority;
  private readonly confirmations: confirmations.Confirmations;
  private readonly succession: succession.Succession;
  private readonly unownedSince = new Map<string, clock.Milliseconds>();
  /** Replicas that run here and the worker of each. */
  private readonly replicas = new Map<string, string>();
  private readonly droppedReplicas = new Set<string>();
  private latest: clock.Milliseconds | undefined;
  private nextVmList = 0;
  private nextBalance = 0;
  private joinSent = false;
  private draining = false;
  private reportedEnd = false;

  constructor(
    private readonly self: ProcessDescription,
    private readonly workers: fleet.Fleet,
    options: ZoneControlOptions = {},
  ) {
    const {table, presence} = this;
    const {process, vm, zone} = self;
    const members = new membership.Membership(process, table, presence);
    const name = `zone/${zone}`;
    const stream = new zoneStream.ZoneStream(name, process, table);
    const sources = {...self, table, presence, members, stream};
    const logStalenessMs = options.logStalenessMs ?? 0;
    this.regions = new region.RegionMap(zone, self.region);
    this.stream = stream;
    this.membership = members;
    this.authority = new authority.Authority({...sources, logStalenessMs});
    this.confirmations = new confirmations.Confirmations({
      ...sources,
      self,
      workers,
      authority: this.authority,
      regions: this.regions,
      documents: options.documents ?? (() => []),
    });
    this.succession = new succession.Succession({
      process,
      vm,
      table,
      members,
      presence,
      authority: this.authority,
    });
  }

  /** End of the permit to place on a worker; -Infinity without one. */
  permitEnd(worker: string): clock.Milliseconds {
    return this.authority.permitEnd(worker, this.latest ?? 0);
  }

  /** End of the permit to act as this process; -Infinity without one. */
  processPermitEnd(): clock.Milliseconds {
    return this.authority.processPermitEnd(this.latest ?? 0);
  }

  /** Whether this process is the owner of a worker by the records read. */
  owns(worker: string): boolean {
    return this.ownerOf(worker) === this.self.process;
  }

  /** Owner of an item by the records read; undefined without one. */
  ownerOf(item: string): string | undefined {
    const owner = this.table.ownership(item)?.owner;
    return owner === ownership.NOBODY ? undefined : owner;
  }

  /** Members of the zone with addresses and states, this process included. */
  members(): ReadonlyArray<membership.Member> {
    return this.membership.all(this.latest ?? 0);
  }

  /** Whether a process has ended, and the time of its last permit is over. */
  isSucceeded(process: string, now: clock.Milliseconds): boolean {
    return this.authority.isSucceeded(process, now);
  }

  /** Whether this process has been a member since before another joined. */
  joinedBefore(process: string): boolean {
    const own = this.table.members().get(this.self.process);
    const other =
      this.table.members().get(process) ?? this.table.ended().get(process);
    if (own === undefined || other === undefined) return false;
    return own.joined < other.joined;
  }

  /**
   * Whether this process was claimed by another. It cannot act any more and
   * has to be started again.
   */
  isSuperseded(): boolean {
    return this.table.ended().get(this.self.process)?.how === 'claimed';
  }

  /** Whether this process has left and its leave record was read back. */
  hasLeft(): boolean {
    return this.table.ended().get(this.self.process)?.how === 'left';
  }

  /** Workers that the VM list, a report, an operator or a peer names leaving. */
  leavingWorkers(): ReadonlyArray<string> {
    return this.confirmations.leavingWorkers();
  }

  /** Sets the wait that new work has here, for summaries to other zones. */
  setExpectedWait(wait: clock.Milliseconds): void {
    this.confirmations.setExpectedWait(wait);
  }

  /** Notes that a replica runs on a worker, so that its item moves with it. */
  keepReplica(item: string, worker: string): void {
    this.replicas.set(item, worker);
    this.droppedReplicas.delete(item);
  }

  /** Notes that a replica does not run any more; its item is released. */
  dropReplica(item: string): void {
    this.replicas.delete(item);
    this.droppedReplicas.add(item);
  }

  /** Tells the other members that this process takes no more work. */
  announceLeaving(): void {
    this.confirmations.beginLeaving();
  }

  /** Hands everything over to other members and leaves. */
  drain(): void {
    this.draining = true;
    this.confirmations.beginLeaving();
  }

  /** Handles what concerns the zone; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    this.notePause(now);
    this.latest = now;
    return [
      ...this.take(handled, now),
      ...this.authority.takeViolations(),
      ...this.reportEnd(),
    ];
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    if (this.hasEnded()) return Infinity;
    return Math.min(
      this.stream.nextDeadline(),
      this.confirmations.nextDeadline(),
      this.nextVmList,
    );
  }

  private take(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        return this.read(handled, now);
      case 'appendAnswered':
        if (handled.stream === this.streamName()) {
          this.stream.appendAnswered(handled, now);
        }
        return [];
      case 'vmListRead':
        this.presence.read(handled, now);
        this.updateFleet(handled.vms);
        return [];
      case 'confirmArrived':
        return [this.confirmations.answer(handled, now)];
      case 'confirmAnswered':
        this.applyPassed(handled.zoneRecords, now);
        this.confirmations.answered(handled, now);
        return [];
      case 'confirmFailed':
        this.confirmations.failed(handled.peer);
        return [];
      case 'reportArrived':
        if (handled.report.leaving) this.markLeaving(handled.report.worker);
        return [];
      case 'drainArrived':
        if (handled.worker === undefined) this.drain();
        else this.markLeaving(handled.worker);
        return [];
      case 'timePassed':
        return this.poll(now);
      default:
        return [];
    }
  }

  private poll(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    if (this.hasEnded()) return [];
    const done: effects.Effect[] = [...this.stream.poll(now)];
    if (now >= this.nextVmList) {
      this.nextVmList = now + VM_LIST_INTERVAL_MS;
      done.push({kind: 'readVmList'});
    }
    done.push(...this.confirmations.poll(now));
    done.push(...this.write(now));
    return done;
  }

  private read(
    answer: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (answer.stream !== this.streamName()) return [];
    const permitEnd = this.processPermitEnd();
    const atTail = this.stream.accept(answer, now);
    this.follow(permitEnd, now);
    return atTail ? this.write(now) : [];
  }

  private applyPassed(
    records: ReadonlyArray<event.StreamRecord>,
    now: clock.Milliseconds,
  ): void {
    if (records.length === 0) return;
    const permitEnd = this.processPermitEnd();
    this.stream.acceptPassed(records, now);
    this.follow(permitEnd, now);
  }

  private follow(permitEnd: clock.Milliseconds, now: clock.Milliseconds): void {
    this.membership.follow(now);
    this.authority.observe(permitEnd, now);
  }

  /** Appends what this process has to write, all in one append. */
  private write(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const fresh = now - this.stream.freshAt <= WRITE_FRESHNESS_MS;
    if (!fresh || this.stream.incomplete) return [];
    if (this.hasEnded() || !this.stream.mayAppend(now)) return [];
    if (!this.joinSent) return this.join(now);
    if (!this.authority.active) return [];
    const records = [
      ...this.snapshots(now),
      ...this.claims(now),
      ...(this.draining ? this.leaveZone(now) : this.keepHouse(now)),
    ];
    if (records.length === 0) return [];
    return [
      ...records.map(record => effects.count('zone_record', kindOf(record))),
      this.stream.append(records, now),
    ];
  }

  private join(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    this.joinSent = true;
    const {process, vm, address} = this.self;
    return [
      effects.count('zone_record', {kind: 'join'}),
      this.stream.append([{kind: 'join', process, vm, address}], now),
    ];
  }

  private snapshots(
    now: clock.Milliseconds,
  ): ReturnType<zoneStream.ZoneStream['unresolved']> {
    // Others write only when the first member has missed its turn.
    const first = this.membership.live(now)[0] === this.self.process;
    const due = this.stream.dueSnapshot(now, first ? 1 : 1.25);
    return due === undefined ? [] : [due];
  }

  private claims(now: clock.Milliseconds): ReadonlyArray<ownership.ZoneRecord> {
    if (this.draining) return [];
    const claimant = this.self.process;
    const victims = this.succession.victims(now);
    const claims = [
      ...victims.map(victim => this.table.itemsOf(victim)),
      [...this.unownedWorkers(now), ...this.newReplicas(now)],
    ];
    return claims
      .filter(items => items.length > 0)
      .map(items => ({kind: 'claim', claimant, items}));
  }

  /** Workers without an owner that fall to this process. */
  private unownedWorkers(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ItemEpoch> {
    if (!this.hasHeardOthers(now)) return [];
    const unowned = this.findUnowned(now);
    const live = this.membership.live(now);
    const assigned = distribution.spread(unowned, this.table, live);
    return unowned
      .filter(
        worker =>
          assigned.get(worker) === this.self.process ||
          now - (this.unownedSince.get(worker) ?? now) > UNOWNED_GRACE_MS,
      )
      .map(item => ({item, epoch: this.table.ownership(item)?.epoch ?? 0}));
  }

  private findUnowned(now: clock.Milliseconds): ReadonlyArray<string> {
    const unowned = this.workers
      .all()
      .map(known => known.name)
      .filter(name => !this.hasLivingOwner(name));
    for (const name of this.unownedSince.keys()) {
      if (!unowned.includes(name)) this.unownedSince.delete(name);
    }
    for (const name of unowned) {
      if (!this.unownedSince.has(name)) this.unownedSince.set(name, now);
    }
    return unowned;
  }

  private hasLivingOwner(item: string): boolean {
    const owner = this.ownerOf(item);
    return owner !== undefined && this.table.members().has(owner);
  }

  /** Whether every member that may be live has been heard once. */
  private hasHeardOthers(now: clock.Milliseconds): boolean {
    return this.membership
      .others()
      .every(
        ({process}) =>
          this.membership.contact(process).heard ||
          this.membership.state(process, now) !== 'live',
      );
  }

  private newReplicas(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ItemEpoch> {
    const items: ownership.ItemEpoch[] = [];
    for (const [item, on] of this.replicas) {
      if (this.authority.permitEnd(on, now) <= now) continue;
      if (this.hasLivingOwner(item)) continue;
      const epoch = this.table.ownership(item)?.epoch ?? 0;
      items.push({item, epoch, on});
    }
    return items;
  }

  /** Releases what no longer exists and shares workers evenly. */
  private keepHouse(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const releases = this.releases(now);
    if (releases.length > 0 || now < this.nextBalance) return releases;
    const plan = distribution.planHandovers(
      this.self.process,
      this.table,
      this.membership.live(now),
    );
    const records = plan.flatMap(({to, workers}) =>
      this.transfer(to, workers, now),
    );
    if (records.length > 0) this.nextBalance = now + BALANCE_INTERVAL_MS;
    return records;
  }

  private releases(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const gone = this.table
      .itemsOf(this.self.process)
      .map(({item}) => item)
      .filter(item =>
        ownership.isWorker(item)
          ? this.presence.isGoneOrOlder(item)
          : this.droppedReplicas.has(item),
      );
    return this.transfer(ownership.NOBODY, gone, now);
  }

  /** Stops placing on items in this turn and hands them over. */
  private transfer(
    to: string,
    names: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const items = names
      .filter(item => this.authority.permitEnd(item, now) > now)
      .map(item => ({item, epoch: this.table.ownership(item)?.epoch ?? 0}));
    if (items.length === 0) return [];
    this.authority.giveUp(items);
    return [{kind: 'transfer', from: this.self.process, to, items}];
  }

  /** Hands workers over; leaves once none is left that another could take. */
  private leaveZone(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    if (!this.authority.isSettled(now)) return [];
    const others = this.membership
      .live(now)
      .filter(process => process !== this.self.process);
    const items = this.table
      .itemsOf(this.self.process)
      .map(({item}) => item)
      .filter(item => item !== ownership.processItem(this.self.process));
    if (others.length > 0 && items.length > 0) {
      return others.flatMap((to, index) =>
        this.transfer(
          to,
          items.filter((_, rank) => rank % others.length === index),
          now,
        ),
      );
    }
    this.authority.leave();
    return [{kind: 'leave', process: this.self.process}];
  }

  private updateFleet(vms: ReadonlyArray<event.ListedVm>): void {
    for (const listed of vms) {
      if (listed.role !== 'worker' || listed.zone !== this.self.zone) continue;
      const known = this.workers.ensure({
        name: listed.vm,
        zone: listed.zone,
        address: listed.address,
      });
      if (listed.state === 'leaving') known.markLeaving();
    }
    for (const known of this.workers.all()) {
      if (this.presence.isGone(known.name)) this.workers.remove(known.name);
    }
  }

  private markLeaving(worker: string): void {
    this.workers.get(worker)?.markLeaving();
  }

  private notePause(now: clock.Milliseconds): void {
    if (this.latest === undefined || now - this.latest < PAUSE_MS) return;
    this.membership.restart(now);
  }

  private hasEnded(): boolean {
    return this.table.ended().has(this.self.process);
  }

  private reportEnd(): ReadonlyArray<effects.Effect> {
    if (this.reportedEnd || !this.isSuperseded()) return [];
    this.reportedEnd = true;
    const {process} = this.self;
    return [
      effects.count('superseded'),
      effects.log('error', 'superseded', {process}),
    ];
  }

  private streamName(): string {
    return `zone/${this.self.zone}`;
  }
}

function kindOf(record: {readonly kind: string}): {readonly kind: string} {
  return {kind: record.kind};
}
