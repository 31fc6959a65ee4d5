import * as freeCapacityIndex from './free_capacity_index.js';
import * as randomSource from './random_source.js';
import * as resources from './resources.js';
import * as worker from './worker.js';

/** Seed for sampling when no random source is given. */
const DEFAULT_SEED = 1;

/** Workers examined per periodic refresh; bounds the cost of a turn. */
const REFRESH_BATCH_SIZE = 512;

/** Maximum number of violations kept; further ones are dropped. */
const KEPT_VIOLATION_LIMIT = 1_000;

/**
 * The workers known to a process and the totals over them that decisions need.
 * The totals are updated incrementally on each change of a worker, so the cost
 * of reading one does not depend on the number of workers.
 */
export class Fleet implements worker.WorkerObserver {
  private readonly workers = new Map<string, worker.Worker>();
  private readonly index: freeCapacityIndex.FreeCapacityIndex;
  private readonly excluded = new Set<worker.Worker>();
  private readonly countedCapacity = new Map<
    worker.Worker,
    resources.Resources
  >();
  private readonly reservedTotalsByTeam = new Map<
    string,
    resources.Resources
  >();
  private readonly rackCountsByWorkload = new Map<
    string,
    Map<string, number>
  >();
  private workerList: ReadonlyArray<worker.Worker> | undefined;
  private capacitySum = resources.NONE;
  private reservedTotalValue = resources.NONE;
  private violations: worker.CapacityViolation[] = [];
  private availabilityVersionValue = 0;
  private needsRefreshValue = false;
  private lastRefreshedIndex = -1;

  constructor(
    random: randomSource.RandomSource = new randomSource.SeededRandom(
      DEFAULT_SEED,
    ),
  ) {
    this.index = new freeCapacityIndex.FreeCapacityIndex(random);
  }

  /** Version that increases whenever capacity may have become available. */
  get availabilityVersion(): number {
    return this.availabilityVersionValue;
  }

  /** Total capacity of the workers that accept tasks. */
  get capacity(): resources.Resources {
    return this.capacitySum;
  }

  /** Total size of the reservations on all known workers. */
  get reservedTotal(): resources.Resources {
    return this.reservedTotalValue;
  }

  /** Returns the worker of this name, created if it is not known yet. */
  ensure(description: worker.WorkerDescription): worker.Worker {
    const known = this.workers.get(description.name);
    if (known !== undefined) return known;
    const created = new worker.Worker(description, this);
    this.workers.set(description.name, created);
    this.workerList = undefined;
    this.excluded.add(created);
    this.needsRefreshValue = true;
    return created;
  }

  /** Returns the worker of this name, if it is known. */
  get(name: string): worker.Worker | undefined {
    return this.workers.get(name);
  }

  /** Removes a worker that is no longer in the VM list. */
  remove(name: string): void {
    const removed = this.workers.get(name);
    if (removed === undefined) return;
    // Only the totals drop the reservations. The worker object keeps them,
    // because the worker may return with its tasks.
    for (const reservation of removed.reservations().values()) {
      this.reservationRemoved(removed, reservation);
    }
    this.workers.delete(name);
    this.workerList = undefined;
    this.excluded.delete(removed);
    this.index.remove(removed);
    this.updateCapacity(removed, resources.NONE);
  }

  /** Returns all known workers. */
  all(): ReadonlyArray<worker.Worker> {
    this.workerList ??= [...this.workers.values()];
    return this.workerList;
  }

  /** Returns a sample of the workers that have capacity for `size`. */
  sample(
    size: resources.Resources,
    order: freeCapacityIndex.SearchOrder,
    filter: freeCapacityIndex.CandidateFilter,
  ): ReadonlyArray<worker.Worker> {
    return this.index.sample(size, order, filter);
  }

  /** Whether excluded workers were added or improved since `refresh`. */
  get needsRefresh(): boolean {
    return this.needsRefreshValue;
  }

  /** Excludes a worker from the samples until `refresh` admits it. */
  exclude(target: worker.Worker): void {
    this.excluded.add(target);
    this.index.remove(target);
  }

  /**
   * Restricts the samples to the workers that `admits` accepts. In a large
   * fleet each call examines only a part of the workers, unless excluded
   * workers were added or gained capacity.
   */
  refresh(admits: freeCapacityIndex.CandidateFilter): void {
    const workers = this.all();
    const count = this.needsRefreshValue ? workers.length : REFRESH_BATCH_SIZE;
    this.needsRefreshValue = false;
    for (let step = 0; step < Math.min(count, workers.length); step += 1) {
      this.lastRefreshedIndex = (this.lastRefreshedIndex + 1) % workers.length;
      const candidate = workers[this.lastRefreshedIndex];
      const isExcluded = this.excluded.has(candidate);
      if (admits(candidate) !== isExcluded) continue;
      if (!isExcluded) {
        this.exclude(candidate);
        continue;
      }
      this.excluded.delete(candidate);
      this.availabilityChanged(candidate, true);
    }
  }

  /** Returns the total size of a team's reservations on all workers. */
  reservedByTeam(team: string): resources.Resources {
    return this.reservedTotalsByTeam.get(team) ?? resources.NONE;
  }

  /** Returns the teams that have reservations. */
  teamsWithReservations(): Iterable<string> {
    return this.reservedTotalsByTeam.keys();
  }

  /** Returns the number of tasks of a workload on a rack. */
  countOnRack(team: string, workload: string, rack: string): number {
    return this.rackCountsByWorkload.get(`${team}/${workload}`)?.get(rack) ?? 0;
  }

  /** Returns the violations since the last call and clears them. */
  takeViolations(): ReadonlyArray<worker.CapacityViolation> {
    if (this.violations.length === 0) return this.violations;
    const taken = this.violations;
    this.violations = [];
    return taken;
  }

  availabilityChanged(changed: worker.Worker, grew: boolean): void {
    // Tasks may still release reservations on a worker that was removed.
    if (this.workers.get(changed.name) !== changed) return;
    if (!changed.ready) {
      this.index.remove(changed);
      this.updateCapacity(changed, resources.NONE);
      return;
    }
    this.updateCapacity(changed, changed.capacity);
    if (!this.excluded.has(changed)) this.index.put(changed);
    else if (grew) this.needsRefreshValue = true;
    if (grew) this.availabilityVersionValue += 1;
  }

  reservationAdded(
    target: worker.Worker,
    reservation: worker.Reservation,
  ): void {
    if (this.workers.get(target.name) !== target) return;
    const before = this.reservedByTeam(reservation.label.team);
    this.reservedTotalsByTeam.set(
      reservation.label.team,
      resources.add(before, reservation.size),
    );
    this.reservedTotalValue = resources.add(
      this.reservedTotalValue,
      reservation.size,
    );
    this.updateRackCount(target, reservation, 1);
  }

  reservationRemoved(
    target: worker.Worker,
    reservation: worker.Reservation,
  ): void {
    if (this.workers.get(target.name) !== target) return;
    const {team} = reservation.label;
    const remaining = resources.subtract(
      this.reservedByTeam(team),
      reservation.size,
    );
    if (resources.equal(remaining, resources.NONE)) {
      this.reservedTotalsByTeam.delete(team);
    } else {
      this.reservedTotalsByTeam.set(team, remaining);
    }
    this.reservedTotalValue = resources.subtract(
      this.reservedTotalValue,
      reservation.size,
    );
    this.updateRackCount(target, reservation, -1);
  }

  capacityViolated(violation: worker.CapacityViolation): void {
    if (this.violations.length >= KEPT_VIOLATION_LIMIT) return;
    this.violations.push(violation);
  }

  private updateCapacity(
    counted: worker.Worker,
    capacity: resources.Resources,
  ): void {
    const before = this.countedCapacity.get(counted) ?? resources.NONE;
    if (before === capacity) return;
    if (capacity === resources.NONE) this.countedCapacity.delete(counted);
    else this.countedCapacity.set(counted, capacity);
    this.capacitySum = resources.add(
      resources.subtract(this.capacitySum, before),
      capacity,
    );
  }

  private updateRackCount(
    target: worker.Worker,
    reservation: worker.Reservation,
    change: 1 | -1,
  ): void {
    const key = `${reservation.label.team}/${reservation.label.workload}`;
    const racks =
      this.rackCountsByWorkload.get(key) ?? new Map<string, number>();
    const count = (racks.get(target.rack) ?? 0) + change;
    if (count === 0) racks.delete(target.rack);
    else racks.set(target.rack, count);
    if (racks.size === 0) this.rackCountsByWorkload.delete(key);
    else this.rackCountsByWorkload.set(key, racks);
  }
}
