import * as workerDistribution from './worker_distribution.js';
import * as ownership from './ownership.js';
import * as successionPolicy from './succession_policy.js';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as zoneStream from './zone_stream.js';

/** Time after which every member claims a worker that still has no owner. */
const UNOWNED_GRACE_PERIOD_MS = 6_000;

/** Minimum time between handovers, so that members read each other's first. */
const REBALANCE_INTERVAL_MS = 3_000;

/**
 * Factor by which all members but the first one wait longer to write a
 * snapshot.
 */
const SNAPSHOT_BACKUP_DELAY_FACTOR = 1.25;

/** State from which the planner decides. */
export interface RecordPlannerDependencies
  extends successionPolicy.SuccessionDependencies {
  readonly stream: zoneStream.ZoneStream;
  readonly workers: fleet.Fleet;
}

/** Plans the records that this process appends to the zone's stream. */
export class RecordPlanner {
  private readonly succession: successionPolicy.SuccessionPolicy;
  private readonly unownedSince = new Map<string, clock.Milliseconds>();
  /** Worker of each replica item that this process runs. */
  private readonly workersByReplica = new Map<string, string>();
  private readonly removedReplicas = new Set<string>();
  private nextRebalanceAt = 0;
  private leaving = false;
  private draining = false;

  constructor(private readonly dependencies: RecordPlannerDependencies) {
    this.succession = new successionPolicy.SuccessionPolicy(dependencies);
  }

  /** Records that a replica runs on a worker; its item moves with the worker. */
  addReplica(item: string, worker: string): void {
    this.workersByReplica.set(item, worker);
    this.removedReplicas.delete(item);
  }

  /** Records that a replica no longer runs; its item is released. */
  removeReplica(item: string): void {
    this.workersByReplica.delete(item);
    this.removedReplicas.add(item);
  }

  /** Stops claiming workers, because the process is about to leave. */
  beginLeaving(): void {
    this.leaving = true;
  }

  /** Starts to hand all items over, after which the process leaves. */
  drain(): void {
    this.leaving = true;
    this.draining = true;
  }

  /** Returns the records that are due and ends the permits they release. */
  due(
    now: clock.Milliseconds,
  ): ReturnType<zoneStream.ZoneStream['pendingRecords']> {
    return [
      ...this.dueSnapshots(now),
      ...this.claims(now),
      ...(this.draining ? this.leaveZone(now) : this.releaseOrRebalance(now)),
    ];
  }

  private dueSnapshots(
    now: clock.Milliseconds,
  ): ReturnType<zoneStream.ZoneStream['pendingRecords']> {
    // Other members write a snapshot only when the first one is late.
    const isFirstMember =
      this.dependencies.members.liveMembers(now)[0] ===
      this.dependencies.process;
    const snapshot = this.dependencies.stream.dueSnapshot(
      now,
      isFirstMember ? 1 : SNAPSHOT_BACKUP_DELAY_FACTOR,
    );
    return snapshot === undefined ? [] : [snapshot];
  }

  private claims(now: clock.Milliseconds): ReadonlyArray<ownership.ZoneRecord> {
    if (this.leaving) return [];
    const claimant = this.dependencies.process;
    const members = this.succession.claimableMembers(now);
    const claims = [
      ...members.map(member => this.dependencies.table.itemsOf(member)),
      [...this.unownedWorkers(now), ...this.newReplicaItems(now)],
    ];
    return claims
      .filter(items => items.length > 0)
      .map(items => ({kind: 'claim', claimant, items}));
  }

  /** Returns the workers without an owner that this process has to claim. */
  private unownedWorkers(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ItemEpoch> {
    if (!this.hasHeardFromOthers(now)) return [];
    const unowned = this.findUnowned(now);
    const live = this.dependencies.members.liveMembers(now);
    const assigned = workerDistribution.assignUnowned(
      unowned,
      this.dependencies.table,
      live,
    );
    return unowned
      .filter(
        worker =>
          assigned.get(worker) === this.dependencies.process ||
          now - (this.unownedSince.get(worker) ?? now) >
            UNOWNED_GRACE_PERIOD_MS,
      )
      .map(item => ({
        item,
        epoch: this.dependencies.table.ownership(item)?.epoch ?? 0,
      }));
  }

  private findUnowned(now: clock.Milliseconds): ReadonlyArray<string> {
    const unowned = this.dependencies.workers
      .all()
      .map(worker => worker.name)
      .filter(name => !this.hasMemberAsOwner(name));
    const names = new Set(unowned);
    for (const name of this.unownedSince.keys()) {
      if (!names.has(name)) this.unownedSince.delete(name);
    }
    for (const name of unowned) {
      if (!this.unownedSince.has(name)) this.unownedSince.set(name, now);
    }
    return unowned;
  }

  private hasMemberAsOwner(item: string): boolean {
    const {table} = this.dependencies;
    const owner = table.ownership(item)?.owner;
    return owner !== undefined && table.members().has(owner);
  }

  /** Returns whether every member that may be live has sent a message. */
  private hasHeardFromOthers(now: clock.Milliseconds): boolean {
    return this.dependencies.members
      .others()
      .every(
        ({process}) =>
          this.dependencies.members.contact(process).hasSentMessage ||
          this.dependencies.members.state(process, now) !== 'live',
      );
  }

  private newReplicaItems(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ItemEpoch> {
    const items: ownership.ItemEpoch[] = [];
    for (const [item, worker] of this.workersByReplica) {
      if (this.dependencies.permits.permitEnd(worker, now) <= now) continue;
      if (this.hasMemberAsOwner(item)) continue;
      const epoch = this.dependencies.table.ownership(item)?.epoch ?? 0;
      items.push({item, epoch, on: worker});
    }
    return items;
  }

  /** Releases items that no longer exist, else balances the workers. */
  private releaseOrRebalance(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const releases = this.releases(now);
    if (releases.length > 0 || now < this.nextRebalanceAt) return releases;
    const plan = workerDistribution.planHandovers(
      this.dependencies.process,
      this.dependencies.table,
      this.dependencies.members.liveMembers(now),
      worker => this.dependencies.workers.get(worker)?.reservations().size ?? 0,
    );
    const records = plan.flatMap(({to, workers}) =>
      this.transferItems(to, workers, now),
    );
    if (records.length > 0) this.nextRebalanceAt = now + REBALANCE_INTERVAL_MS;
    return records;
  }

  private releases(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const gone = this.dependencies.table
      .itemsOf(this.dependencies.process)
      .map(({item}) => item)
      .filter(item =>
        ownership.isWorker(item)
          ? this.dependencies.presence.isGoneOrNeverListed(item)
          : this.removedReplicas.has(item),
      );
    return this.transferItems(ownership.NO_OWNER, gone, now);
  }

  /** Ends the permits for items and returns the record that transfers them. */
  private transferItems(
    to: string,
    names: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    const items = names
      .filter(item => this.dependencies.permits.permitEnd(item, now) > now)
      .map(item => ({
        item,
        epoch: this.dependencies.table.ownership(item)?.epoch ?? 0,
      }));
    if (items.length === 0) return [];
    this.dependencies.permits.release(items);
    return [{kind: 'transfer', from: this.dependencies.process, to, items}];
  }

  /** Hands all items over; leaves when no item or no receiver is left. */
  private leaveZone(
    now: clock.Milliseconds,
  ): ReadonlyArray<ownership.ZoneRecord> {
    if (!this.dependencies.permits.areWaitsOver(now)) return [];
    const others = this.dependencies.members
      .liveMembers(now)
      .filter(process => process !== this.dependencies.process);
    const items = this.dependencies.table
      .itemsOf(this.dependencies.process)
      .map(({item}) => item)
      .filter(
        item => item !== ownership.processItem(this.dependencies.process),
      );
    if (others.length > 0 && items.length > 0) {
      return others.flatMap((to, index) =>
        this.transferItems(
          to,
          items.filter((_, rank) => rank % others.length === index),
          now,
        ),
      );
    }
    this.dependencies.permits.releaseAll();
    return [{kind: 'leave', process: this.dependencies.process}];
  }
}
