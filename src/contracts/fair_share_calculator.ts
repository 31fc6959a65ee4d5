import * as lendingReserve from './lending_reserve.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** Capacity of the fleet and the reservations that teams hold. */
export interface FleetUsage {
  readonly capacity: resources.Resources;
  readonly reservedTotal: resources.Resources;
  reservedByTeam(team: string): resources.Resources;
  /** Returns the teams that hold reservations. */
  teamsWithReservations(): Iterable<string>;
}

/** Source of the configured teams. */
export interface TeamSource {
  team(name: string): team.Team | undefined;
}

/** Weight of a team whose configured share is missing or not positive. */
const DEFAULT_WEIGHT = 1;

/** Time after its last request for which a team counts as active. */
const ACTIVITY_WINDOW_MS = 600_000;

/**
 * Compares teams by dominant resource fairness: the team with the smallest
 * weighted dominant share of the fleet goes next.
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
   * Sets the fraction of the cell's capacity that this process places on.
   * Quotas cover the whole cell; each process grants only its fraction of them.
   */
  setCellFraction(fraction: number): void {
    this.cellFraction = fraction;
  }

  /** Weighted share at which all active teams together would fill the fleet. */
  get fairShare(): number {
    return this.currentFairShare;
  }

  /** Records that a request of a team has arrived. */
  recordArrival(teamName: string, now: clock.Milliseconds): void {
    const isNew = !this.lastArrivals.has(teamName);
    this.lastArrivals.set(teamName, now);
    if (isNew) this.refresh(now);
  }

  /** Recomputes the fair share from the teams that are active. */
  refresh(now: clock.Milliseconds): void {
    let totalWeight = 0;
    for (const teamName of this.usage.teamsWithReservations()) {
      this.lastArrivals.set(teamName, now);
    }
    for (const [name, arrivedAt] of this.lastArrivals) {
      if (now - arrivedAt > ACTIVITY_WINDOW_MS) this.lastArrivals.delete(name);
      else totalWeight += this.weight(name);
    }
    this.currentFairShare = totalWeight > 0 ? 1 / totalWeight : Infinity;
    this.reserve.recordDemand(this.demandWithinFairShare(), now);
  }

  /** Returns the weighted dominant share that a team holds. */
  weightedShare(teamName: string): number {
    return this.weightedShareOf(teamName, this.usage.reservedByTeam(teamName));
  }

  /** Returns the weighted dominant share of a team with `additional`. */
  weightedShareWith(teamName: string, additional: resources.Resources): number {
    return this.weightedShareOf(
      teamName,
      resources.add(this.usage.reservedByTeam(teamName), additional),
    );
  }

  /** Returns whether a team would stay within its quota with `additional`. */
  isWithinQuota(teamName: string, additional: resources.Resources): boolean {
    const quota = this.teams.team(teamName)?.quota;
    if (quota === undefined) return false;
    const reserved = this.usage.reservedByTeam(teamName);
    const grantedQuota = resources.scale(quota, this.cellFraction);
    if (resources.fits(resources.add(reserved, additional), grantedQuota)) {
      return true;
    }
    // A granted fraction smaller than one request must not starve the team.
    return (
      resources.equal(reserved, resources.NONE) &&
      resources.fits(additional, quota)
    );
  }

  /**
   * Returns whether a team holds capacity that others may reclaim: more than
   * its quota or more than its fair share, not counting `releasing`.
   */
  hasReclaimableCapacity(
    teamName: string,
    releasing: resources.Resources,
  ): boolean {
    const reservedAfter = resources.subtract(
      this.usage.reservedByTeam(teamName),
      releasing,
    );
    const quota = this.teams.team(teamName)?.quota ?? resources.NONE;
    const grantedQuota = resources.scale(quota, this.cellFraction);
    if (!resources.fits(reservedAfter, grantedQuota)) return true;
    return (
      this.weightedShareOf(teamName, reservedAfter) > this.currentFairShare
    );
  }

  /**
   * Returns the fraction of the fleet that is missing from the reserve for
   * long tasks, with `releasing` counted as free; 0 while no active team is
   * below its fair share.
   */
  reserveShortfall(releasing: resources.Resources): number {
    const reservedAfter = resources.subtract(
      this.usage.reservedTotal,
      releasing,
    );
    const unusedFraction =
      1 - resources.dominantShare(reservedAfter, this.usage.capacity);
    const reserveFraction = this.reserve.fractionFor(
      lendingReserve.LONG_TASK_RUN_TIME_MS,
    );
    if (unusedFraction >= reserveFraction || !this.isAnyBelowFairShare('')) {
      return 0;
    }
    return reserveFraction - unusedFraction;
  }

  /** Returns the dominant share of the fleet that a size takes. */
  fleetFractionOf(size: resources.Resources): number {
    return resources.dominantShare(size, this.usage.capacity);
  }

  /** Returns whether a request may reserve or borrow capacity now. */
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

  /** Returns whether a team above its fair share would use up the reserve. */
  private depletesReserve(
    teamName: string,
    additional: resources.Resources,
    reserveFraction: number,
  ): boolean {
    const reservedWith = resources.add(this.usage.reservedTotal, additional);
    const unusedFraction =
      1 - resources.dominantShare(reservedWith, this.usage.capacity);
    if (unusedFraction >= reserveFraction) return false;
    // The reserve grows with the excess: a team slightly above its fair share
    // must not be restricted like one that holds twice its fair share.
    const excess =
      this.weightedShareWith(teamName, additional) / this.currentFairShare - 1;
    if (unusedFraction >= reserveFraction * Math.min(1, excess)) return false;
    return this.isAnyBelowFairShare(teamName);
  }

  /** Returns the fleet fraction that active teams hold within fair share. */
  private demandWithinFairShare(): number {
    let demand = 0;
    for (const teamName of this.lastArrivals.keys()) {
      const share = Math.min(
        this.weightedShare(teamName),
        this.currentFairShare,
      );
      demand += share * this.weight(teamName);
    }
    return demand;
  }

  /** Returns whether an active team but `excludedTeam` is below fair share. */
  private isAnyBelowFairShare(excludedTeam: string): boolean {
    for (const teamName of this.lastArrivals.keys()) {
      if (teamName === excludedTeam) continue;
      if (this.weightedShare(teamName) < this.currentFairShare) return true;
    }
    return false;
  }

  private weightedShareOf(
    teamName: string,
    reserved: resources.Resources,
  ): number {
    const fraction = resources.dominantShare(reserved, this.usage.capacity);
    return fraction / this.weight(teamName);
  }

  private weight(teamName: string): number {
    const share = this.teams.team(teamName)?.share ?? DEFAULT_WEIGHT;
    return share > 0 ? share : DEFAULT_WEIGHT;
  }
}

/**
 * Returns whether a workload may use capacity beyond its team's quota. Lent
 * capacity is reclaimed, so only workloads that can be checkpointed and placed
 * again may.
 */
export function mayBorrow(definition: workload.Workload): boolean {
  return (
    definition.kind === 'batch' &&
    definition.idempotent &&
    definition.urgency !== 'urgent'
  );
}
