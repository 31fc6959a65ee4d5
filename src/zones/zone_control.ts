import * as authority from './authority.js';
import * as confirmations from './confirmations.js';
import * as effects from '../contracts/effect.js';
import * as invariant from '../contracts/invariant.js';
import * as membership from './membership.js';
import * as ownership from './ownership.js';
import * as recordPlan from './record_plan.js';
import * as region from './region.js';
import * as vmPresence from './vm_presence.js';
import * as zoneStream from './zone_stream.js';
import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as fleet from '../machines/fleet.js';

/** Time between reads of the VM list. */
const VM_LIST_INTERVAL_MS = 2_000;

/** Age of the last read up to which this process writes to the stream. */
const WRITE_FRESHNESS_MS = 2_500;

/**
 * Time between two turns from which this process counts as paused: silence of
 * others during a pause says nothing about them.
 */
const PAUSE_MS = 2_000;

export type ProcessDescription = confirmations.ProcessDescription;

/** How long a proof that nobody has claimed a worker lets its owner place. */
export const {PERMIT_MS} = authority;

/** Settings of `ZoneControl` that have defaults. */
export interface ZoneControlOptions {
  /** Lag of the log's reads; added to the wait after a claim. */
  readonly logStalenessMs?: clock.Milliseconds;
  /** When a snapshot is due; well before the log drops records. */
  readonly snapshotRule?: zoneStream.SnapshotRule;
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
  private readonly plan: recordPlan.RecordPlan;
  private latest: clock.Milliseconds | undefined;
  private nextVmList = 0;
  private joinSent = false;
  private reportedEnd = false;

  constructor(
    private readonly self: ProcessDescription,
    private readonly workers: fleet.Fleet,
    options: ZoneControlOptions = {},
  ) {
    const {table, presence} = this;
    const {process, zone} = self;
    const members = new membership.Membership(process, table, presence);
    const stream = new zoneStream.ZoneStream(
      this.streamName(),
      process,
      table,
      options.snapshotRule,
    );
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
    this.plan = new recordPlan.RecordPlan({
      ...sources,
      workers,
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

  /** Offset at which a member or former member joined; else undefined. */
  joinedAt(process: string): number | undefined {
    const {table} = this;
    const known = table.members().get(process) ?? table.ended().get(process);
    return known?.joined;
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
    this.plan.keepReplica(item, worker);
  }

  /** Notes that a replica does not run any more; its item is released. */
  dropReplica(item: string): void {
    this.plan.dropReplica(item);
  }

  /** Tells the other members that this process takes no more work. */
  announceLeaving(): void {
    this.confirmations.beginLeaving();
  }

  /**
   * Hands everything over to other members and leaves; to be called when the
   * requests in progress have ended.
   */
  drain(): void {
    this.confirmations.beginLeaving();
    this.plan.drain();
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

  /**
   * Lets effects through except starts and renewals without a permit, which
   * no caller should have built.
   */
  guard(wanted: ReadonlyArray<effects.Effect>): ReadonlyArray<effects.Effect> {
    const now = this.latest ?? 0;
    return wanted.flatMap(item => {
      if (item.kind !== 'startTask' && item.kind !== 'renewLeases') {
        return [item];
      }
      if (this.permitEnd(item.worker) > now) return [item];
      return invariant.violation('ownerHasPermit', {
        effect: item.kind,
        item: item.worker,
        owner: this.ownerOf(item.worker) ?? ownership.NOBODY,
      });
    });
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
        if (handled.worker === undefined) this.beginLeaving();
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
    if (this.stream.incomplete) return [effects.count('zone_stream_gap')];
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
    const records = this.plan.due(now);
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

  private beginLeaving(): void {
    this.confirmations.beginLeaving();
    this.plan.beginLeaving();
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
      {kind: 'endProcess', reason: 'superseded'},
    ];
  }

  private streamName(): string {
    return `zone/${this.self.zone}`;
  }
}

function kindOf(record: {readonly kind: string}): {readonly kind: string} {
  return {kind: record.kind};
}
