import * as freeRoomIndex from './free_room_index.js';
import * as randomSource from './random_source.js';
import * as resources from './resources.js';
import * as worker from './worker.js';

/** Seed of the sampling when the process gives no random source. */
const DEFAULT_SEED = 1;

/** Workers that one periodic refresh looks at; bounds the cost of a turn. */
const REFRESH_STEP = 512;

/** Violations kept until somebody takes them. */
const VIOLATION_LIMIT = 1_000;

/**
 * The workers that a process knows, with the sums over them that decisions
 * need. Every sum is kept up to date by the workers' changes, so that reading
 * it does not depend on the number of workers.
 */
export class Fleet implements worker.WorkerObserver {
  private readonly workers = new Map<string, worker.Worker>();
  private readonly index: freeRoomIndex.FreeRoomIndex;
  private readonly parked = new Set<worker.Worker>();
  private readonly counted = new Map<worker.Worker, resources.Resources>();
  private readonly teams = new Map<string, resources.Resources>();
  private readonly racks = new Map<string, Map<string, number>>();
  private list: ReadonlyArray<worker.Worker> | undefined;
  private capacitySum = resources.NONE;
  private heldSumValue = resources.NONE;
  private violations: worker.CapacityViolation[] = [];
  private roomVersionValue = 0;
  private unseenValue = false;
  private refreshed = -1;

  constructor(
    random: randomSource.RandomSource = new randomSource.SeededRandom(
      DEFAULT_SEED,
    ),
  ) {
    this.index = new freeRoomIndex.FreeRoomIndex(random);
  }

  /** Rises whenever room may have become available. */
  get roomVersion(): number {
    return this.roomVersionValue;
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
    this.list = undefined;
    this.parked.add(created);
    this.unseenValue = true;
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
    for (const held of removed.held().values()) this.released(removed, held);
    this.workers.delete(name);
    this.list = undefined;
    this.parked.delete(removed);
    this.index.remove(removed);
    this.count(removed, resources.NONE);
  }

  /** All known workers. */
  all(): ReadonlyArray<worker.Worker> {
    this.list ??= [...this.workers.values()];
    return this.list;
  }

  /** Samples workers with room for `size`. */
  sample(
    size: resources.Resources,
    order: freeRoomIndex.SearchOrder,
    filter: freeRoomIndex.CandidateFilter,
  ): ReadonlyArray<worker.Worker> {
    return this.index.sample(size, order, filter);
  }

  /** Whether parked workers were added or changed since `refresh`. */
  get unseen(): boolean {
    return this.unseenValue;
  }

  /** Keeps a worker out of the samples until `refresh` admits it. */
  park(parked: worker.Worker): void {
    this.parked.add(parked);
    this.index.remove(parked);
  }

  /**
   * Limits the samples to the workers that `admits` accepts. Each call looks
   * at a part of a large fleet, unless workers were added or changed.
   */
  refresh(admits: freeRoomIndex.CandidateFilter): void {
    const workers = this.all();
    const count = this.unseenValue ? workers.length : REFRESH_STEP;
    this.unseenValue = false;
    for (let step = 0; step < Math.min(count, workers.length); step += 1) {
      this.refreshed = (this.refreshed + 1) % workers.length;
      const candidate = workers[this.refreshed];
      const parked = this.parked.has(candidate);
      if (admits(candidate) !== parked) continue;
      if (!parked) {
        this.park(candidate);
        continue;
      }
      this.parked.delete(candidate);
      this.changed(candidate, true);
    }
  }

  /** What the tasks of a team hold on all workers. */
  heldByTeam(team: string): resources.Resources {
    return this.teams.get(team) ?? resources.NONE;
  }

  /** Teams that hold room. */
  holders(): Iterable<string> {
    return this.teams.keys();
  }

  /** Tasks of a workload on a rack. */
  countOnRack(team: string, workload: string, rack: string): number {
    return this.racks.get(`${team}/${workload}`)?.get(rack) ?? 0;
  }

  /** Takes the violations noted since the last call. */
  takeViolations(): ReadonlyArray<worker.CapacityViolation> {
    if (this.violations.length === 0) return this.violations;
    const taken = this.violations;
    this.violations = [];
    return taken;
  }

  changed(changed: worker.Worker, grew: boolean): void {
    // A worker that was removed may still be released by its tasks' owner.
    if (this.workers.get(changed.name) !== changed) return;
    if (!changed.ready) {
      this.index.remove(changed);
      this.count(changed, resources.NONE);
      return;
    }
    this.count(changed, changed.capacity);
    if (!this.parked.has(changed)) this.index.put(changed);
    else if (grew) this.unseenValue = true;
    if (grew) this.roomVersionValue += 1;
  }

  held(holder: worker.Worker, held: worker.Reservation): void {
    if (this.workers.get(holder.name) !== holder) return;
    const before = this.heldByTeam(held.label.team);
    this.teams.set(held.label.team, resources.add(before, held.size));
    this.heldSumValue = resources.add(this.heldSumValue, held.size);
    this.countTask(holder, held, 1);
  }

  released(holder: worker.Worker, held: worker.Reservation): void {
    if (this.workers.get(holder.name) !== holder) return;
    const {team} = held.label;
    const left = resources.subtract(this.heldByTeam(team), held.size);
    if (resources.equal(left, resources.NONE)) this.teams.delete(team);
    else this.teams.set(team, left);
    this.heldSumValue = resources.subtract(this.heldSumValue, held.size);
    this.countTask(holder, held, -1);
  }

  violated(violation: worker.CapacityViolation): void {
    if (this.violations.length >= VIOLATION_LIMIT) return;
    this.violations.push(violation);
  }

  private count(counted: worker.Worker, capacity: resources.Resources): void {
    const before = this.counted.get(counted) ?? resources.NONE;
    if (before === capacity) return;
    if (capacity === resources.NONE) this.counted.delete(counted);
    else this.counted.set(counted, capacity);
    this.capacitySum = resources.add(
      resources.subtract(this.capacitySum, before),
      capacity,
    );
  }

  private countTask(
    holder: worker.Worker,
    held: worker.Reservation,
    change: 1 | -1,
  ): void {
    const key = `${held.label.team}/${held.label.workload}`;
    const racks = this.racks.get(key) ?? new Map<string, number>();
    const count = (racks.get(holder.rack) ?? 0) + change;
    if (count === 0) racks.delete(holder.rack);
    else racks.set(holder.rack, count);
    if (racks.size === 0) this.racks.delete(key);
    else this.racks.set(key, racks);
  }
}
