import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as fairShareCalculator from './fair_share_calculator.js';
import type * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/** Tasks that one search examines; bounds the cost of a scheduling cycle. */
const CANDIDATE_LIMIT = 16;

/** A running task that can be checkpointed to reclaim its capacity. */
export interface ReclaimableTask {
  readonly task: string;
  readonly team: string;
  readonly worth: number;
  readonly size: resources.Resources;
  readonly worker: worker.Worker;
  readonly expectedRunMs: clock.Milliseconds;
}

/** The tasks to checkpoint so that a request fits onto a worker. */
export interface ReclaimChoice {
  readonly worker: worker.Worker;
  readonly tasks: ReadonlyArray<ReclaimableTask>;
}

interface CapacityClaim {
  readonly pending: placementPolicy.PendingPlacement;
  /** Weighted share of the claiming team with the claimed capacity. */
  readonly claimantShare: number;
  mayUse(candidate: worker.Worker): boolean;
}

/** Running tasks whose capacity other teams may reclaim. */
export class ReclaimableTaskTable {
  private readonly tasks = new Map<string, ReclaimableTask>();
  private readonly tasksByWorker = new Map<
    worker.Worker,
    Set<ReclaimableTask>
  >();
  private readonly tasksByTeam = new Map<
    string,
    Map<number, Set<ReclaimableTask>>
  >();
  private readonly releasingByTeam = new Map<string, resources.Resources>();
  private readonly checkpointing = new Set<ReclaimableTask>();
  private totalReleasingValue = resources.NONE;

  constructor(
    private readonly shares: fairShareCalculator.FairShareCalculator,
  ) {}

  /** Adds a task that may be checkpointed. */
  add(reclaimable: ReclaimableTask): void {
    this.tasks.set(reclaimable.task, reclaimable);
    const onWorker = this.tasksByWorker.get(reclaimable.worker) ?? new Set();
    this.tasksByWorker.set(reclaimable.worker, onWorker.add(reclaimable));
    const tasksByWorth =
      this.tasksByTeam.get(reclaimable.team) ??
      new Map<number, Set<ReclaimableTask>>();
    this.tasksByTeam.set(reclaimable.team, tasksByWorth);
    tasksByWorth.set(
      reclaimable.worth,
      (tasksByWorth.get(reclaimable.worth) ?? new Set()).add(reclaimable),
    );
  }

  /** Removes a task that ended; does nothing when it is unknown. */
  remove(taskName: string): void {
    const reclaimable = this.tasks.get(taskName);
    if (reclaimable === undefined) return;
    this.tasks.delete(taskName);
    deleteFromSet(this.tasksByWorker, reclaimable.worker, reclaimable);
    const tasksByWorth = this.tasksByTeam.get(reclaimable.team);
    if (tasksByWorth !== undefined) {
      deleteFromSet(tasksByWorth, reclaimable.worth, reclaimable);
      if (tasksByWorth.size === 0) this.tasksByTeam.delete(reclaimable.team);
    }
    if (!this.checkpointing.delete(reclaimable)) return;
    const left = resources.subtract(
      this.releasingOf(reclaimable.team),
      reclaimable.size,
    );
    this.releasingByTeam.set(reclaimable.team, left);
    this.totalReleasingValue = resources.subtract(
      this.totalReleasingValue,
      reclaimable.size,
    );
  }

  /** Marks tasks that are being checkpointed. */
  markCheckpointing(tasks: ReadonlyArray<ReclaimableTask>): void {
    for (const reclaimable of tasks) {
      this.checkpointing.add(reclaimable);
      const sum = resources.add(
        this.releasingOf(reclaimable.team),
        reclaimable.size,
      );
      this.releasingByTeam.set(reclaimable.team, sum);
      this.totalReleasingValue = resources.add(
        this.totalReleasingValue,
        reclaimable.size,
      );
    }
  }

  /** Capacity that tasks being checkpointed are about to release. */
  get totalReleasing(): resources.Resources {
    return this.totalReleasingValue;
  }

  /**
   * Returns the least valuable tasks in order of their worth, from teams whose
   * weighted share exceeds `minimumShare` even after pending checkpoints.
   */
  leastValuable(minimumShare: number): ReadonlyArray<ReclaimableTask> {
    const found: ReclaimableTask[] = [];
    for (const [team, tasksByWorth] of this.tasksByTeam) {
      const shareAfter = this.shares.weightedShareWith(
        team,
        this.negatedReleasing(team),
      );
      if (shareAfter > minimumShare) {
        found.push(...this.leastValuableOf(tasksByWorth));
      }
    }
    found.sort((left, right) => left.worth - right.worth);
    return found.slice(0, CANDIDATE_LIMIT);
  }

  /** Chooses the least valuable tasks whose end frees capacity for one task. */
  choose(claim: CapacityClaim): ReclaimChoice | undefined {
    let best: ReclaimChoice | undefined;
    let bestWorth = Infinity;
    for (const candidate of this.candidates(claim)) {
      const choice = this.choiceOnWorker(candidate.worker, claim);
      if (choice === undefined) continue;
      const worth = choice.tasks.reduce((sum, item) => sum + item.worth, 0);
      if (worth >= bestWorth) continue;
      best = choice;
      bestWorth = worth;
    }
    return best;
  }

  private candidates(claim: CapacityClaim): ReadonlyArray<ReclaimableTask> {
    const found: ReclaimableTask[] = [];
    for (const [team, tasksByWorth] of this.tasksByTeam) {
      if (!this.mayReclaimFrom(team, claim)) continue;
      found.push(...this.leastValuableOf(tasksByWorth));
    }
    found.sort((left, right) => left.worth - right.worth);
    return found.slice(0, CANDIDATE_LIMIT);
  }

  private leastValuableOf(
    tasksByWorth: ReadonlyMap<number, Set<ReclaimableTask>>,
  ): ReclaimableTask[] {
    const found: ReclaimableTask[] = [];
    const ascending = [...tasksByWorth.keys()].sort(
      (left, right) => left - right,
    );
    for (const worth of ascending) {
      for (const reclaimable of tasksByWorth.get(worth) ?? []) {
        if (!this.checkpointing.has(reclaimable)) found.push(reclaimable);
        if (found.length >= CANDIDATE_LIMIT) return found;
      }
    }
    return found;
  }

  private choiceOnWorker(
    target: worker.Worker,
    claim: CapacityClaim,
  ): ReclaimChoice | undefined {
    if (!target.ready || !claim.mayUse(target)) return undefined;
    const onWorker = [...(this.tasksByWorker.get(target) ?? [])]
      .filter(
        reclaimable =>
          !this.checkpointing.has(reclaimable) &&
          this.mayReclaimFrom(reclaimable.team, claim),
      )
      .sort((left, right) => left.worth - right.worth);
    const chosen: ReclaimableTask[] = [];
    let available = target.available;
    for (const reclaimable of onWorker) {
      if (resources.fits(claim.pending.size, available)) break;
      chosen.push(reclaimable);
      available = resources.add(available, reclaimable.size);
    }
    if (!resources.fits(claim.pending.size, available)) return undefined;
    return {worker: target, tasks: chosen};
  }

  /**
   * Returns whether capacity of a team may be reclaimed for a claim: the team
   * must keep a larger weighted share than the claimant obtains.
   */
  private mayReclaimFrom(team: string, claim: CapacityClaim): boolean {
    if (team === claim.pending.request.team) return false;
    const releasing = this.releasingOf(team);
    if (!this.shares.hasReclaimableCapacity(team, releasing)) return false;
    return (
      this.shares.weightedShareWith(team, this.negatedReleasing(team)) >
      claim.claimantShare
    );
  }

  private negatedReleasing(team: string): resources.Resources {
    return resources.subtract(resources.NONE, this.releasingOf(team));
  }

  private releasingOf(team: string): resources.Resources {
    return this.releasingByTeam.get(team) ?? resources.NONE;
  }
}

function deleteFromSet<Key>(
  sets: Map<Key, Set<ReclaimableTask>>,
  key: Key,
  reclaimable: ReclaimableTask,
): void {
  const members = sets.get(key);
  members?.delete(reclaimable);
  if (members?.size === 0) sets.delete(key);
}
