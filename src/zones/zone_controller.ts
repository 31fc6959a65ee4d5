import * as permitTracker from './permit_tracker.js';
import * as confirmationExchange from './confirmation_exchange.js';
import * as effects from '../contracts/effect.js';
import * as invariant from '../contracts/invariant.js';
import * as membership from './membership.js';
import * as ownership from './ownership.js';
import * as recordPlanner from './record_planner.js';
import * as region from './region.js';
import * as vmPresence from './vm_presence.js';
import * as zoneStream from './zone_stream.js';
import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as fleet from '../machines/fleet.js';

/** Time between reads of the VM list. */
const VM_LIST_INTERVAL_MS = 2_000;

/** Age of the last read up to which this process writes to the stream. */
const MAXIMUM_READ_AGE_FOR_APPEND_MS = 2_500;

/**
 * Time between two turns from which this process counts as paused: silence of
 * others during a pause says nothing about them.
 */
const PAUSE_THRESHOLD_MS = 2_000;

export type ProcessDescription = confirmationExchange.ProcessDescription;

/** How long a proof that nobody has claimed a worker lets its owner place. */
export const {PERMIT_DURATION_MS} = permitTracker;

/** Settings of `ZoneControl` that have defaults. */
export interface ZoneControllerOptions {
  /** Lag of the log's reads; added to the wait after a claim. */
  readonly logStalenessMs?: clock.Milliseconds;
  /** When a snapshot is due; well before the log drops records. */
  readonly snapshotPolicy?: zoneStream.SnapshotPolicy;
  /** Versions of the documents in force, which confirmations carry. */
  readonly documents?: () => ReadonlyArray<event.DocumentVersion>;
}

/**
 * Authority of this process in its availability zone: which workers it owns,
 * until when it may place on them, and who the other members are.
 */
export class ZoneController {
  /** Zones and regions of the cell, with the last summary of each zone. */
  readonly regions: region.RegionMap;
  private readonly table = new ownership.OwnershipTable();
  private readonly presence = new vmPresence.VmPresence();
  private readonly stream: zoneStream.ZoneStream;
  private readonly membership: membership.Membership;
  private readonly permits: permitTracker.PermitTracker;
  private readonly confirmationExchange: confirmationExchange.ConfirmationExchange;
  private readonly recordPlanner: recordPlanner.RecordPlanner;
  private lastEventAt: clock.Milliseconds | undefined;
  private nextVmListReadAt = 0;
  private joinSent = false;
  private supersessionReported = false;

  constructor(
    private readonly self: ProcessDescription,
    private readonly workers: fleet.Fleet,
    options: ZoneControllerOptions = {},
  ) {
    const {table, presence} = this;
    const {process, zone} = self;
    const members = new membership.Membership(process, table, presence);
    const stream = new zoneStream.ZoneStream(
      this.streamName(),
      process,
      table,
      options.snapshotPolicy,
    );
    const sources = {...self, table, presence, members, stream};
    const logStalenessMs = options.logStalenessMs ?? 0;
    this.regions = new region.RegionMap(zone, self.region);
    this.stream = stream;
    this.membership = members;
    this.permits = new permitTracker.PermitTracker({
      ...sources,
      logStalenessMs,
    });
    this.confirmationExchange = new confirmationExchange.ConfirmationExchange({
      ...sources,
      self,
      workers,
      permits: this.permits,
      regions: this.regions,
      documents: options.documents ?? (() => []),
    });
    this.recordPlanner = new recordPlanner.RecordPlanner({
      ...sources,
      workers,
      permits: this.permits,
    });
  }

  /** End of the permit to place on a worker; -Infinity without one. */
  permitEnd(worker: string): clock.Milliseconds {
    return this.permits.permitEnd(worker, this.lastEventAt ?? 0);
  }

  /** End of the permit to act as this process; -Infinity without one. */
  processPermitEnd(): clock.Milliseconds {
    return this.permits.processPermitEnd(this.lastEventAt ?? 0);
  }

  /** Whether this process is the owner of a worker by the records read. */
  owns(worker: string): boolean {
    return this.ownerOf(worker) === this.self.process;
  }

  /** Owner of an item by the records read; undefined without one. */
  ownerOf(item: string): string | undefined {
    const owner = this.table.ownership(item)?.owner;
    return owner === ownership.NO_OWNER ? undefined : owner;
  }

  /** Members of the zone with addresses and states, this process included. */
  members(): ReadonlyArray<membership.ZoneMember> {
    return this.membership.allWithStates(this.lastEventAt ?? 0);
  }

  /** Offset at which a member or former member joined; else undefined. */
  joinedAt(process: string): number | undefined {
    const {table} = this;
    const known =
      table.members().get(process) ?? table.endedMembers().get(process);
    return known?.joined;
  }

  /** Whether a process has ended, and the time of its last permit is over. */
  permitsHaveExpired(process: string, now: clock.Milliseconds): boolean {
    return this.permits.permitsHaveExpired(process, now);
  }

  /** Whether this process has been a member since before another joined. */
  joinedBefore(process: string): boolean {
    const own = this.table.members().get(this.self.process);
    const other =
      this.table.members().get(process) ??
      this.table.endedMembers().get(process);
    if (own === undefined || other === undefined) return false;
    return own.joined < other.joined;
  }

  /**
   * Whether this process was claimed by another. It cannot act any more and
   * has to be started again.
   */
  isSuperseded(): boolean {
    return this.table.endedMembers().get(this.self.process)?.how === 'claimed';
  }

  /** Whether this process has left and its leave record was read back. */
  hasLeft(): boolean {
    return this.table.endedMembers().get(this.self.process)?.how === 'left';
  }

  /** Workers that the VM list, a report, an operator or a peer names leaving. */
  leavingWorkers(): ReadonlyArray<string> {
    return this.confirmationExchange.leavingWorkers();
  }

  /** Sets the wait that new work has here, for summaries to other zones. */
  setExpectedWait(waitMs: clock.Milliseconds): void {
    this.confirmationExchange.setExpectedWait(waitMs);
  }

  /** Notes that a replica runs on a worker, so that its item moves with it. */
  addReplica(item: string, worker: string): void {
    this.recordPlanner.addReplica(item, worker);
  }

  /** Notes that a replica does not run any more; its item is released. */
  removeReplica(item: string): void {
    this.recordPlanner.removeReplica(item);
  }

  /** Tells the other members that this process takes no more work. */
  announceLeaving(): void {
    this.confirmationExchange.beginLeaving();
  }

  /**
   * Hands everything over to other members and leaves; to be called when the
   * requests in progress have ended.
   */
  drain(): void {
    this.confirmationExchange.beginLeaving();
    this.recordPlanner.drain();
  }

  /** Handles what concerns the zone; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    this.detectOwnPause(now);
    this.lastEventAt = now;
    return [
      ...this.dispatch(handled, now),
      ...this.permits.takeViolations(),
      ...this.reportSupersession(),
    ];
  }

  /**
   * Lets effects through except starts and renewals without a permit, which
   * no caller should have built.
   */
  blockWithoutPermit(
    wanted: ReadonlyArray<effects.Effect>,
  ): ReadonlyArray<effects.Effect> {
    const now = this.lastEventAt ?? 0;
    return wanted.flatMap(item => {
      if (item.kind !== 'startTask' && item.kind !== 'renewLeases') {
        return [item];
      }
      if (this.permitEnd(item.worker) > now) return [item];
      return invariant.violation('ownerHasPermit', {
        effect: item.kind,
        item: item.worker,
        owner: this.ownerOf(item.worker) ?? ownership.NO_OWNER,
      });
    });
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    if (this.hasEnded()) return Infinity;
    return Math.min(
      this.stream.nextDeadline(),
      this.confirmationExchange.nextDeadline(),
      this.nextVmListReadAt,
    );
  }

  private dispatch(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        return this.handleRecords(handled, now);
      case 'appendAnswered':
        if (handled.stream === this.streamName()) {
          this.stream.appendAnswered(handled, now);
        }
        return [];
      case 'vmListRead':
        this.presence.recordReading(handled, now);
        this.updateFleet(handled.vms);
        return [];
      case 'confirmArrived':
        return [this.confirmationExchange.handleRequest(handled, now)];
      case 'confirmAnswered':
        this.applyForwarded(handled.zoneRecords, now);
        this.confirmationExchange.handleAnswer(handled, now);
        return [];
      case 'confirmFailed':
        this.confirmationExchange.handleFailure(handled.peer);
        return [];
      case 'reportArrived':
        if (handled.report.leaving) {
          this.markWorkerLeaving(handled.report.worker);
        }
        return [];
      case 'drainArrived':
        if (handled.worker === undefined) this.beginLeaving();
        else this.markWorkerLeaving(handled.worker);
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
    if (now >= this.nextVmListReadAt) {
      this.nextVmListReadAt = now + VM_LIST_INTERVAL_MS;
      done.push({kind: 'readVmList'});
    }
    done.push(...this.confirmationExchange.poll(now));
    done.push(...this.appendDueRecords(now));
    return done;
  }

  private handleRecords(
    answer: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (answer.stream !== this.streamName()) return [];
    const permitEnd = this.processPermitEnd();
    const atTail = this.stream.applyRead(answer, now);
    this.follow(permitEnd, now);
    if (this.stream.hasGap) return [effects.count('zone_stream_gap')];
    return atTail ? this.appendDueRecords(now) : [];
  }

  private applyForwarded(
    records: ReadonlyArray<event.StreamRecord>,
    now: clock.Milliseconds,
  ): void {
    if (records.length === 0) return;
    const permitEnd = this.processPermitEnd();
    this.stream.applyForwarded(records, now);
    this.follow(permitEnd, now);
  }

  private follow(permitEnd: clock.Milliseconds, now: clock.Milliseconds): void {
    this.membership.syncWithTable(now);
    this.permits.observe(permitEnd, now);
  }

  /** Appends what this process has to write, all in one append. */
  private appendDueRecords(
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const fresh =
      now - this.stream.lastTailReadSentAt <= MAXIMUM_READ_AGE_FOR_APPEND_MS;
    if (!fresh || this.stream.hasGap) return [];
    if (this.hasEnded() || !this.stream.canAppend(now)) return [];
    if (!this.joinSent) return this.join(now);
    if (!this.permits.isActive) return [];
    const records = this.recordPlanner.due(now);
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
    this.confirmationExchange.beginLeaving();
    this.recordPlanner.beginLeaving();
  }

  private markWorkerLeaving(worker: string): void {
    this.workers.get(worker)?.markLeaving();
  }

  private detectOwnPause(now: clock.Milliseconds): void {
    if (
      this.lastEventAt === undefined ||
      now - this.lastEventAt < PAUSE_THRESHOLD_MS
    ) {
      return;
    }
    this.membership.resetSilence(now);
  }

  private hasEnded(): boolean {
    return this.table.endedMembers().has(this.self.process);
  }

  private reportSupersession(): ReadonlyArray<effects.Effect> {
    if (this.supersessionReported || !this.isSuperseded()) return [];
    this.supersessionReported = true;
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
