import * as distribution from './distribution.js';
import * as ownership from './ownership.js';
import * as succession from './succession.js';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as zoneStream from './zone_stream.js';

/** Time after which any member claims a worker that still has no owner. */
const UNOWNED_GRACE_MS = 6_000;

/** Least time between handovers, so that members see each other's. */
const BALANCE_INTERVAL_MS = 3_000;

/** Patience factor of members that are not the first to write a snapshot. */
const SNAPSHOT_PATIENCE = 1.25;

/** What the plan rests on. */
export interface RecordPlanSources extends succession.SuccessionSources {
  readonly stream: zoneStream.ZoneStream;
  readonly workers: fleet.Fleet;
}

/** Decides which records this process has to append to the zone's stream. */
export class RecordPlan {
  private readonly succession: succession.Succession;
  private readonly unownedSince = new Map<string, clock.Milliseconds>();
  /** Replicas that run here and the worker of each. */
  private readonly replicas = new Map<string, string>();
  private readonly droppedReplicas = new Set<string>();
  private nextBalance = 0;
  private leaving = false;
  private draining = false;

  constructor(private readonly sources: RecordPlanSources) {
    this.succession = new succession.Succession(sources);
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

  /** Takes no more workers, because the process is about to leave. */
  beginLeaving(): void {
    this.leaving = true;
  }

  /** Hands everything over from now on, and then leaves. */
  drain(): void {
    this.leaving = true;
    this.draining = true;
  }

  /** Records that are due; what they give up is given up by then. */
  due(
    now: clock.Milliseconds,
  ): ReturnType<zoneStream.ZoneStream['unresolved']> {
    return [
      ...this.snapshots(now),
      ...this.claims(now),
      ...(this.draining ? this.leaveZone(now) : this.keepHouse(now)),
    ];
  }

  private snapshots(
    now: clock.Milliseconds,
  ): ReturnType<zoneStream.ZoneStream['unresolved']> {
    // Others write only when the first member has missed its turn.
    const first = this.sources.members.live(now)[0] === this.sources.process;
    const due = this.sources.stream.dueSnapshot(
      now,
      first ? 1 : SNAPSHOT_PATIENCE,
    );
    return due === undefined ? [] : [due];
  }

  private claims(now: clock.Milliseconds): ReadonlyArray<ownership.ZoneRecord> {
    if (this.leaving) return [];
    const claimant = this.sources.process;
    const victims = this.succession.victims(now);
    const claims = [
      ...victims.map(victim => this.sources.table.itemsOf(victim)),
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
    const live = this.sources.members.live(now);
    const assigned = distribution.spread(unowned, this.sources.table, live);
    return unowned
      .filter(
        worker =>
          assigned.get(worker) === this.sources.process ||
          now - (this.unownedSince.get(worker) ?? now) > UNOWNED_GRACE_MS,
      )
      .map(item => ({
        item,
        epoch: this.sources.table.ownership(item)?.epoch ?? 0,
      }));
  }

  private findUnowned(now: clock.Milliseconds): ReadonlyArray<string> {
    const unowned = this.sources.workers
      .all()
      .map(known => known.name)
      .filter(name => !this.hasLivingOwner(name));
    const names = new Set(unowned);
    for (const name of this.unownedSince.keys()) {
      if (!names.has(name)) this.unownedSince.delete(name);
    }
    for (const name of unowned) {
      if (!this.unownedSince.has(name)) this.unownedSince.set(name, now);
    }
    return unowned;
  }

  private hasLivingOwner(item: string): boolean {
    const {table} = this.sources;
    const owner = table.ownership(item)?.owner;
    return owner !== undefined && table.members().has(owner);
  }

  /** Whether every member that may be live has been heard once. */
  private hasHeardOthers(now: clock.Milliseconds): boolean {
    return this.sources.members
      .others()
      .every(
        ({process}) =>
          this.sources.members.contact(process).heard ||
          this.sources.members.state(process, now) !== 'live',
      );
  }

  private newReplicas(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ItemEpoch> {
    const items: ownership.ItemEpoch[] = [];
    for (const [item, on] of this.replicas) {
      if (this.sources.authority.permitEnd(on, now) <= now) continue;
      if (this.hasLivingOwner(item)) continue;
      const epoch = this.sources.table.ownership(item)?.epoch ?? 0;
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
      this.sources.process,
      this.sources.table,
      this.sources.members.live(now),
      worker => this.sources.workers.get(worker)?.reservations().size ?? 0,
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
    const gone = this.sources.table
      .itemsOf(this.sources.process)
      .map(({item}) => item)
      .filter(item =>
        ownership.isWorker(item)
          ? this.sources.presence.isGoneOrOlder(item)
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
      .filter(item => this.sources.authority.permitEnd(item, now) > now)
      .map(item => ({
        item,
        epoch: this.sources.table.ownership(item)?.epoch ?? 0,
      }));
    if (items.length === 0) return [];
    this.sources.authority.giveUp(items);
    return [{kind: 'transfer', from: this.sources.process, to, items}];
  }

  /** Hands workers over; leaves once none is left that another could take. */
  private leaveZone(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    if (!this.sources.authority.isSettled(now)) return [];
    const others = this.sources.members
      .live(now)
      .filter(process => process !== this.sources.process);
    const items = this.sources.table
      .itemsOf(this.sources.process)
      .map(({item}) => item)
      .filter(item => item !== ownership.processItem(this.sources.process));
    if (others.length > 0 && items.length > 0) {
      return others.flatMap((to, index) =>
        this.transfer(
          to,
          items.filter((_, rank) => rank % others.length === index),
          now,
        ),
      );
    }
    this.sources.authority.leave();
    return [{kind: 'leave', process: this.sources.process}];
  }
}
