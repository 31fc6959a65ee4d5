import * as permitTracker from './permit_tracker.js';
import * as confirmationExchange from './confirmation_exchange.js';
import * as effect from '../contracts/effect.js';
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

/** Maximum age of the last complete read for appending to the stream. */
const MAXIMUM_READ_AGE_FOR_APPEND_MS = 2_500;

/**
 * Time between two events from which this process counts as paused. Silence of
 * other members during a pause is not evidence that they are down.
 */
const PAUSE_THRESHOLD_MS = 2_000;

/** Description of this process, as in the confirmations to other members. */
export type ProcessDescription = confirmationExchange.ProcessDescription;

/** Validity of a proof that no other process has claimed an item. */
export const {PERMIT_DURATION_MS} = permitTracker;

/** Options of `ZoneController`, all with defaults. */
export interface ZoneControllerOptions {
  /** Lag of the log's reads; added to the wait after a claim. */
  readonly logStalenessMs?: clock.Milliseconds;
  /** When a snapshot is due; must be well before the log drops records. */
  readonly snapshotPolicy?: zoneStream.SnapshotPolicy;
  /** Returns the versions of the documents in force, for confirmations. */
  readonly documents?: () => ReadonlyArray<event.DocumentVersion>;
}

/**
 * Manages the membership of this process in its availability zone: the workers
 * that it owns, its permits to place tasks on them, and the other members.
 */
export class ZoneController {
  /** Zones and regions of the cell with the last summary of each zone. */
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
    const shared = {...self, table, presence, members, stream};
    const logStalenessMs = options.logStalenessMs ?? 0;
    this.regions = new region.RegionMap(zone, self.region);
    this.stream = stream;
    this.membership = members;
    this.permits = new permitTracker.PermitTracker({
      ...shared,
      logStalenessMs,
    });
    this.confirmationExchange = new confirmationExchange.ConfirmationExchange({
      ...shared,
      self,
      workers,
      permits: this.permits,
      regions: this.regions,
      documents: options.documents ?? (() => []),
    });
    this.recordPlanner = new recordPlanner.RecordPlanner({
      ...shared,
      workers,
      permits: this.permits,
    });
  }

  /** Returns when the permit for a worker ends; -Infinity without one. */
  permitEnd(worker: string): clock.Milliseconds {
    return this.permits.permitEnd(worker, this.lastEventAt ?? 0);
  }

  /** Returns when the process's permit to act ends; -Infinity without one. */
  processPermitEnd(): clock.Milliseconds {
    return this.permits.processPermitEnd(this.lastEventAt ?? 0);
  }

  /** Returns whether this process owns a worker by the records read. */
  owns(worker: string): boolean {
    return this.ownerOf(worker) === this.self.process;
  }

  /** Returns the owner of an item by the records read; undefined without one. */
  ownerOf(item: string): string | undefined {
    const owner = this.table.ownership(item)?.owner;
    return owner === ownership.NO_OWNER ? undefined : owner;
  }

  /** Returns all members of the zone, this process included. */
  members(): ReadonlyArray<membership.ZoneMember> {
    return this.membership.allWithStates(this.lastEventAt ?? 0);
  }

  /**
   * Returns the offset at which a member or former member joined; undefined for
   * other processes.
   */
  joinedAt(process: string): number | undefined {
    const {table} = this;
    const member =
      table.members().get(process) ?? table.endedMembers().get(process);
    return member?.joined;
  }

  /**
   * Returns whether a process left or was claimed and its last permit has
   * expired, so that its successor may act.
   */
  hasSuccessor(process: string, now: clock.Milliseconds): boolean {
    return this.permits.hasSuccessor(process, now);
  }

  /** Returns whether this process joined before another one. */
  joinedBefore(process: string): boolean {
    const own = this.table.members().get(this.self.process);
    const other =
      this.table.members().get(process) ??
      this.table.endedMembers().get(process);
    if (own === undefined || other === undefined) return false;
    return own.joined < other.joined;
  }

  /**
   * Returns whether another process claimed this one, which then cannot act any
   * more and has to be restarted.
   */
  isSuperseded(): boolean {
    return this.table.endedMembers().get(this.self.process)?.how === 'claimed';
  }

  /** Returns whether this process left and its leave record was read back. */
  hasLeft(): boolean {
    return this.table.endedMembers().get(this.self.process)?.how === 'left';
  }

  /**
   * Returns the workers that the VM list, a report, an operator or a peer named
   * as leaving.
   */
  leavingWorkers(): ReadonlyArray<string> {
    return this.confirmationExchange.leavingWorkers();
  }

  /** Sets the expected wait of new work here, for summaries to other zones. */
  setExpectedWait(waitMs: clock.Milliseconds): void {
    this.confirmationExchange.setExpectedWait(waitMs);
  }

  /** Records that a replica runs on a worker; its item moves with the worker. */
  addReplica(item: string, worker: string): void {
    this.recordPlanner.addReplica(item, worker);
  }

  /** Records that a replica no longer runs; its item is released. */
  removeReplica(item: string): void {
    this.recordPlanner.removeReplica(item);
  }

  /** Reports to the other members that this process takes no more work. */
  announceLeaving(): void {
    this.confirmationExchange.beginLeaving();
  }

  /**
   * Hands all items over to other members and leaves. To be called after the
   * requests in progress have ended.
   */
  drain(): void {
    this.confirmationExchange.beginLeaving();
    this.recordPlanner.drain();
  }

  /** Handles the events that concern the zone; ignores others. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    this.detectOwnPause(now);
    this.lastEventAt = now;
    return [
      ...this.dispatch(handled, now),
      ...this.permits.takeViolations(),
      ...this.reportSupersession(),
    ];
  }

  /**
   * Replaces starts and renewals without a permit by invariant violations, since
   * no caller should request them. Returns other effects unchanged.
   */
  blockWithoutPermit(
    requested: ReadonlyArray<effect.Effect>,
  ): ReadonlyArray<effect.Effect> {
    const now = this.lastEventAt ?? 0;
    return requested.flatMap(item => {
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

  /** Returns when the next `timePassed` is due. */
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
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        return this.handleRecords(handled, now);
      case 'appendAnswered':
        if (handled.stream === this.streamName()) {
          this.stream.handleAppendAnswer(handled, now);
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

  private poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.hasEnded()) return [];
    const requested: effect.Effect[] = [...this.stream.poll(now)];
    if (now >= this.nextVmListReadAt) {
      this.nextVmListReadAt = now + VM_LIST_INTERVAL_MS;
      requested.push({kind: 'readVmList'});
    }
    requested.push(...this.confirmationExchange.poll(now));
    requested.push(...this.appendDueRecords(now));
    return requested;
  }

  private handleRecords(
    answer: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (answer.stream !== this.streamName()) return [];
    const permitEnd = this.processPermitEnd();
    const atTail = this.stream.applyRead(answer, now);
    this.syncWithTable(permitEnd, now);
    if (this.stream.hasGap) return [effect.count('zone_stream_gap')];
    return atTail ? this.appendDueRecords(now) : [];
  }

  private applyForwarded(
    records: ReadonlyArray<event.StreamRecord>,
    now: clock.Milliseconds,
  ): void {
    if (records.length === 0) return;
    const permitEnd = this.processPermitEnd();
    this.stream.applyForwarded(records, now);
    this.syncWithTable(permitEnd, now);
  }

  private syncWithTable(
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    this.membership.syncWithTable(now);
    this.permits.observe(permitEnd, now);
  }

  /** Appends all due records of this process in one append. */
  private appendDueRecords(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const isFresh =
      now - this.stream.lastTailReadSentAt <= MAXIMUM_READ_AGE_FOR_APPEND_MS;
    if (!isFresh || this.stream.hasGap) return [];
    if (this.hasEnded() || !this.stream.canAppend(now)) return [];
    if (!this.joinSent) return this.join(now);
    if (!this.permits.isActive) return [];
    const records = this.recordPlanner.due(now);
    if (records.length === 0) return [];
    return [
      ...records.map(record => effect.count('zone_record', kindOf(record))),
      this.stream.append(records, now),
    ];
  }

  private join(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    this.joinSent = true;
    const {process, vm, address} = this.self;
    return [
      effect.count('zone_record', {kind: 'join'}),
      this.stream.append([{kind: 'join', process, vm, address}], now),
    ];
  }

  private updateFleet(vms: ReadonlyArray<event.ListedVm>): void {
    for (const listed of vms) {
      if (listed.role !== 'worker' || listed.zone !== this.self.zone) continue;
      const worker = this.workers.ensure({
        name: listed.vm,
        zone: listed.zone,
        address: listed.address,
      });
      if (listed.state === 'leaving') worker.markLeaving();
    }
    for (const worker of this.workers.all()) {
      if (this.presence.isGone(worker.name)) this.workers.remove(worker.name);
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

  private reportSupersession(): ReadonlyArray<effect.Effect> {
    if (this.supersessionReported || !this.isSuperseded()) return [];
    this.supersessionReported = true;
    const {process} = this.self;
    return [
      effect.count('superseded'),
      effect.log('error', 'superseded', {process}),
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
