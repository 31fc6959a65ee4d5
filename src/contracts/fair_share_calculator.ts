import * as lendingReserve from './lending_reserve.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** What teams hold of the fleet at present. */
export interface FleetUsage {
  readonly capacity: resources.Resources;
  readonly heldSum: resources.Resources;
  heldByTeam(team: string): resources.Resources;
  /** Teams that hold room. */
  holders(): Iterable<string>;
}

/** Source of the teams in force. */
export interface TeamSource {
  team(name: string): team.Team | undefined;
}

/** Weight of a team that configures none. */
const DEFAULT_WEIGHT = 1;

/** Time after its last request for which a team counts in the fair level. */
const ACTIVITY_WINDOW_MS = 600_000;

/**
 * Compares teams by dominant resource fairness: the team whose weighted
 * largest fraction of the fleet is smallest goes next.
 */
export class FairShareCalculator {
  private cellFraction = 1;
  private currentFairShare = Infinity;
  private readonly reserve = new lendingReserve.LendingReserve();
  private readonly lastArrivals = new Map<string, clock.Milliseconds>();

  constructor(
    private readonly usage: FleetUsage,
    private readonly teams: TeamSource,
  ) {}

  /**
   * Sets which fraction of the cell this process places on. Quotas cover the
   * cell, and each process grants only its own fraction of them.
   */
  setCellFraction(fraction: number): void {
    this.cellFraction = fraction;
  }

  /** The level at which all active teams together would fill the fleet. */
  get fairShare(): number {
    return this.currentFairShare;
  }

  /** Notes that a team has work. */
  recordArrival(name: string, now: clock.Milliseconds): void {
    const isNew = !this.lastArrivals.has(name);
    this.lastArrivals.set(name, now);
    if (isNew) this.refresh(now);
  }

  /** Recomputes the fair level from the teams that have or had work. */
  refresh(now: clock.Milliseconds): void {
    let totalWeight = 0;
    for (const name of this.usage.holders()) this.lastArrivals.set(name, now);
    for (const [name, arrivedAt] of this.lastArrivals) {
      if (now - arrivedAt > ACTIVITY_WINDOW_MS) this.lastArrivals.delete(name);
      else totalWeight += this.weight(name);
    }
    this.currentFairShare = totalWeight > 0 ? 1 / totalWeight : Infinity;
    this.reserve.recordDemand(this.demandWithinFairShare(), now);
  }

  /** Weighted dominant fraction that a team holds. */
  weightedShare(name: string): number {
    return this.weightedShareOf(name, this.usage.heldByTeam(name));
  }

  /** Weighted dominant fraction that a team would hold with `more`. */
  weightedShareWith(name: string, additional: resources.Resources): number {
    return this.weightedShareOf(
      name,
      resources.add(this.usage.heldByTeam(name), additional),
    );
  }

  /** Whether a team would stay within its quota with `more`. */
  isWithinQuota(name: string, additional: resources.Resources): boolean {
    const quota = this.teams.team(name)?.quota;
    if (quota === undefined) return false;
    const held = this.usage.heldByTeam(name);
    const granted = resources.scale(quota, this.cellFraction);
    if (resources.fits(resources.add(held, additional), granted)) return true;
    // A fraction smaller than one request must not shut the team out.
    return (
      resources.equal(held, resources.NONE) && resources.fits(additional, quota)
    );
  }

  /**
   * Whether a team holds room that others may take back: more than its quota,
   * or more than its fair level, once `lost` is gone.
   */
  hasReclaimableCapacity(
    name: string,
    releasing: resources.Resources,
  ): boolean {
    const heldAfter = resources.subtract(
      this.usage.heldByTeam(name),
      releasing,
    );
    const quota = this.teams.team(name)?.quota ?? resources.NONE;
    const granted = resources.scale(quota, this.cellFraction);
    if (!resources.fits(heldAfter, granted)) return true;
    return this.weightedShareOf(name, heldAfter) > this.currentFairShare;
  }

  /**
   * Fraction of the fleet that is missing from the reserve kept back from
   * long tasks, with `returning` counted as free; 0 while nobody is owed it.
   */
  reserveShortfall(releasing: resources.Resources): number {
    const heldAfter = resources.subtract(this.usage.heldSum, releasing);
    const unusedFraction =
      1 - resources.dominantShare(heldAfter, this.usage.capacity);
    const reserveFraction = this.reserve.fractionFor(
      lendingReserve.LONG_TASK_RUN_TIME_MS,
    );
    if (unusedFraction >= reserveFraction || !this.isAnyBelowFairShare('')) {
      return 0;
    }
    return reserveFraction - unusedFraction;
  }

  /** Fraction of the fleet that a quantity takes. */
  fleetFractionOf(size: resources.Resources): number {
    return resources.dominantShare(size, this.usage.capacity);
  }

  /** Whether a request may take room now, by right or as a loan. */
  isEntitled(
    candidate: request.Request,
    size: resources.Resources,
    expectedRunMs: clock.Milliseconds,
  ): boolean {
    const totalSize = resources.scale(size, candidate.taskCount);
    const withinQuota = this.isWithinQuota(candidate.team, totalSize);
    if (!withinQuota && !mayBorrow(candidate.workload)) return false;
    if (candidate.workload.kind !== 'batch') return true;
    const reserveFraction = this.reserve.fractionFor(expectedRunMs);
    return !this.depletesReserve(candidate.team, totalSize, reserveFraction);
  }

  /** Whether room for a team above its fair level would use up the reserve. */
  private depletesReserve(
    name: string,
    additional: resources.Resources,
    reserveFraction: number,
  ): boolean {
    const heldWith = resources.add(this.usage.heldSum, additional);
    const unusedFraction =
      1 - resources.dominantShare(heldWith, this.usage.capacity);
    if (unusedFraction >= reserveFraction) return false;
    // The reserve grows with the excess: a team a little above its fair level
    // must not be held back like one that holds twice as much.
    const excess =
      this.weightedShareWith(name, additional) / this.currentFairShare - 1;
    if (unusedFraction >= reserveFraction * Math.min(1, excess)) return false;
    return this.isAnyBelowFairShare(name);
  }

  /** Fraction of the fleet that active teams hold within their fair level. */
  private demandWithinFairShare(): number {
    let demand = 0;
    for (const name of this.lastArrivals.keys()) {
      const share = Math.min(this.weightedShare(name), this.currentFairShare);
      demand += share * this.weight(name);
    }
    return demand;
  }

  /** Whether an active team besides `except` is below its fair level. */
  private isAnyBelowFairShare(excludedTeam: string): boolean {
    for (const other of this.lastArrivals.keys()) {
      if (other === excludedTeam) continue;
      if (this.weightedShare(other) < this.currentFairShare) return true;
    }
    return false;
  }

  private weightedShareOf(name: string, held: resources.Resources): number {
    const fraction = resources.dominantShare(held, this.usage.capacity);
    return fraction / this.weight(name);
  }

  private weight(name: string): number {
    const share = this.teams.team(name)?.share ?? DEFAULT_WEIGHT;
    return share > 0 ? share : DEFAULT_WEIGHT;
  }
}

/**
 * Whether work may run in room beyond its team's quota. Only work that can be
 * checkpointed and placed again may, because lent room is taken back.
 */
export function mayBorrow(definition: workload.Workload): boolean {
  return (
    definition.kind === 'batch' &&
    definition.idempotent &&
    definition.urgency !== 'urgent'
  );
}
