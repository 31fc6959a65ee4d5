import * as freeCapacityIndex from './free_capacity_index.js';
import * as randomSource from './random_source.js';
import * as resources from './resources.js';
import * as worker from './worker.js';

/** Seed of the sampling when the process gives no random source. */
const DEFAULT_SEED = 1;

/** Workers that one periodic refresh looks at; bounds the cost of a turn. */
const REFRESH_BATCH_SIZE = 512;

/** Violations kept until somebody takes them. */
const KEPT_VIOLATION_LIMIT = 1_000;

/**
 * The workers that a process knows, with the sums over them that decisions
 * need. Every sum is kept up to date by the workers' changes, so that reading
 * it does not depend on the number of workers.
 */
export class Fleet implements worker.WorkerObserver {
  private readonly workers = new Map<string, worker.Worker>();
  private readonly index: freeCapacityIndex.FreeCapacityIndex;
  private readonly excluded = new Set<worker.Worker>();
  private readonly countedCapacity = new Map<
    worker.Worker,
    resources.Resources
  >();
  private readonly reservedByTeam = new Map<string, resources.Resources>();
  private readonly taskCountsByRack = new Map<string, Map<string, number>>();
  private workerList: ReadonlyArray<worker.Worker> | undefined;
  private capacitySum = resources.NONE;
  private heldSumValue = resources.NONE;
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

  /** Rises whenever room may have become available. */
  get availabilityVersion(): number {
    return this.availabilityVersionValue;
  }

  /** Capacity of all workers that take tasks. */
  get capacity(): resources.Resources {
    return this.capacitySum;
  }

  /** What tasks hold on all known workers. */
  get heldSum(): resources.Resources {
    return this.heldSumValue;
  }

  /** Returns the worker, which is created when it is new. */
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

  /** Returns a known worker. */
  get(name: string): worker.Worker | undefined {
    return this.workers.get(name);
  }

  /** Forgets a worker that the VM list no longer names. */
  remove(name: string): void {
    const removed = this.workers.get(name);
    if (removed === undefined) return;
    // The worker keeps its reservations, as it may return with its tasks.
    for (const held of removed.reservations().values()) {
      this.reservationRemoved(removed, held);
    }
    this.workers.delete(name);
    this.workerList = undefined;
    this.excluded.delete(removed);
    this.index.remove(removed);
    this.updateCapacity(removed, resources.NONE);
  }

  /** All known workers. */
  all(): ReadonlyArray<worker.Worker> {
    this.workerList ??= [...this.workers.values()];
    return this.workerList;
  }

  /** Samples workers with room for `size`. */
  sample(
    size: resources.Resources,
    order: freeCapacityIndex.SearchOrder,
    filter: freeCapacityIndex.CandidateFilter,
  ): ReadonlyArray<worker.Worker> {
    return this.index.sample(size, order, filter);
  }

  /** Whether parked workers were added or changed since `refresh`. */
  get needsRefresh(): boolean {
    return this.needsRefreshValue;
  }

  /** Keeps a worker out of the samples until `refresh` admits it. */
  exclude(parked: worker.Worker): void {
    this.excluded.add(parked);
    this.index.remove(parked);
  }

  /**
   * Limits the samples to the workers that `admits` accepts. Each call looks
   * at a part of a large fleet, unless workers were added or changed.
   */
  refresh(admits: freeCapacityIndex.CandidateFilter): void {
    const workers = this.all();
    const count = this.needsRefreshValue ? workers.length : REFRESH_BATCH_SIZE;
    this.needsRefreshValue = false;
    for (let step = 0; step < Math.min(count, workers.length); step += 1) {
      this.lastRefreshedIndex = (this.lastRefreshedIndex + 1) % workers.length;
      const candidate = workers[this.lastRefreshedIndex];
      const parked = this.excluded.has(candidate);
      if (admits(candidate) !== parked) continue;
      if (!parked) {
        this.exclude(candidate);
        continue;
      }
      this.excluded.delete(candidate);
      this.availabilityChanged(candidate, true);
    }
  }

  /** What the tasks of a team hold on all workers. */
  heldByTeam(team: string): resources.Resources {
    return this.reservedByTeam.get(team) ?? resources.NONE;
  }

  /** Teams that hold room. */
  holders(): Iterable<string> {
    return this.reservedByTeam.keys();
  }

  /** Tasks of a workload on a rack. */
  countOnRack(team: string, workload: string, rack: string): number {
    return this.taskCountsByRack.get(`${team}/${workload}`)?.get(rack) ?? 0;
  }

  /** Takes the violations noted since the last call. */
  takeViolations(): ReadonlyArray<worker.CapacityViolation> {
    if (this.violations.length === 0) return this.violations;
    const taken = this.violations;
    this.violations = [];
    return taken;
  }

  availabilityChanged(changed: worker.Worker, grew: boolean): void {
    // A worker that was removed may still be released by its tasks' owner.
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

  reservationAdded(holder: worker.Worker, held: worker.Reservation): void {
    if (this.workers.get(holder.name) !== holder) return;
    const before = this.heldByTeam(held.label.team);
    this.reservedByTeam.set(held.label.team, resources.add(before, held.size));
    this.heldSumValue = resources.add(this.heldSumValue, held.size);
    this.updateRackCount(holder, held, 1);
  }

  reservationRemoved(holder: worker.Worker, held: worker.Reservation): void {
    if (this.workers.get(holder.name) !== holder) return;
    const {team} = held.label;
    const left = resources.subtract(this.heldByTeam(team), held.size);
    if (resources.equal(left, resources.NONE)) this.reservedByTeam.delete(team);
    else this.reservedByTeam.set(team, left);
    this.heldSumValue = resources.subtract(this.heldSumValue, held.size);
    this.updateRackCount(holder, held, -1);
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
    holder: worker.Worker,
    held: worker.Reservation,
    change: 1 | -1,
  ): void {
    const key = `${held.label.team}/${held.label.workload}`;
    const racks = this.taskCountsByRack.get(key) ?? new Map<string, number>();
    const count = (racks.get(holder.rack) ?? 0) + change;
    if (count === 0) racks.delete(holder.rack);
    else racks.set(holder.rack, count);
    if (racks.size === 0) this.taskCountsByRack.delete(key);
    else this.taskCountsByRack.set(key, racks);
  }
}
