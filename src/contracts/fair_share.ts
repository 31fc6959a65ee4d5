import * as lendingReserve from './lending_reserve.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** What teams hold of the fleet at present. */
export interface FleetUse {
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
const DEFAULT_SHARE = 1;

/** Time after its last request for which a team counts in the fair level. */
const ACTIVITY_WINDOW_MS = 600_000;

/**
 * Compares teams by dominant resource fairness: the team whose weighted
 * largest fraction of the fleet is smallest goes next.
 */
export class FairShare {
  private cellFraction = 1;
  private fairLevelValue = Infinity;
  private readonly reserve = new lendingReserve.LendingReserve();
  private readonly arrivals = new Map<string, clock.Milliseconds>();

  constructor(
    private readonly use: FleetUse,
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
  get fairLevel(): number {
    return this.fairLevelValue;
  }

  /** Notes that a team has work. */
  noteArrival(name: string, now: clock.Milliseconds): void {
    const isNew = !this.arrivals.has(name);
    this.arrivals.set(name, now);
    if (isNew) this.refresh(now);
  }

  /** Recomputes the fair level from the teams that have or had work. */
  refresh(now: clock.Milliseconds): void {
    let weights = 0;
    for (const name of this.use.holders()) this.arrivals.set(name, now);
    for (const [name, arrivedAt] of this.arrivals) {
      if (now - arrivedAt > ACTIVITY_WINDOW_MS) this.arrivals.delete(name);
      else weights += this.weight(name);
    }
    this.fairLevelValue = weights > 0 ? 1 / weights : Infinity;
    this.reserve.note(this.fairDemand(), now);
  }

  /** Weighted dominant fraction that a team holds. */
  level(name: string): number {
    return this.levelOf(name, this.use.heldByTeam(name));
  }

  /** Weighted dominant fraction that a team would hold with `more`. */
  levelWith(name: string, more: resources.Resources): number {
    return this.levelOf(name, resources.add(this.use.heldByTeam(name), more));
  }

  /** Whether a team would stay within its quota with `more`. */
  isWithinQuota(name: string, more: resources.Resources): boolean {
    const quota = this.teams.team(name)?.quota;
    if (quota === undefined) return false;
    const held = this.use.heldByTeam(name);
    const granted = resources.scale(quota, this.cellFraction);
    if (resources.fits(resources.add(held, more), granted)) return true;
    // A fraction smaller than one request must not shut the team out.
    return resources.equal(held, resources.NONE) && resources.fits(more, quota);
  }

  /**
   * Whether a team holds room that others may take back: more than its quota,
   * or more than its fair level, once `lost` is gone.
   */
  lends(name: string, lost: resources.Resources): boolean {
    const held = resources.subtract(this.use.heldByTeam(name), lost);
    const quota = this.teams.team(name)?.quota ?? resources.NONE;
    const granted = resources.scale(quota, this.cellFraction);
    if (!resources.fits(held, granted)) return true;
    return this.levelOf(name, held) > this.fairLevelValue;
  }

  /**
   * Fraction of the fleet that is missing from the reserve kept back from
   * long tasks, with `returning` counted as free; 0 while nobody is owed it.
   */
  missingReserve(returning: resources.Resources): number {
    const held = resources.subtract(this.use.heldSum, returning);
    const unused = 1 - resources.dominantShare(held, this.use.capacity);
    const kept = this.reserve.fractionFor(lendingReserve.LONG_RUN_MS);
    if (unused >= kept || !this.isOwed('')) return 0;
    return kept - unused;
  }

  /** Fraction of the fleet that a quantity takes. */
  fractionOf(size: resources.Resources): number {
    return resources.dominantShare(size, this.use.capacity);
  }

  /** Whether a request may take room now, by right or as a loan. */
  mayHold(
    candidate: request.Request,
    size: resources.Resources,
    expectedRunMs: clock.Milliseconds,
  ): boolean {
    const whole = resources.scale(size, candidate.taskCount);
    const byRight = this.isWithinQuota(candidate.team, whole);
    if (!byRight && !mayBorrow(candidate.workload)) return false;
    if (candidate.workload.kind !== 'batch') return true;
    const reserve = this.reserve.fractionFor(expectedRunMs);
    return !this.exceedsLending(candidate.team, whole, reserve);
  }

  /** Whether room for a team above its fair level would use up the reserve. */
  private exceedsLending(
    name: string,
    more: resources.Resources,
    reserve: number,
  ): boolean {
    const sum = resources.add(this.use.heldSum, more);
    const unused = 1 - resources.dominantShare(sum, this.use.capacity);
    if (unused >= reserve) return false;
    // The reserve grows with the excess: a team a little above its fair level
    // must not be held back like one that holds twice as much.
    const excess = this.levelWith(name, more) / this.fairLevelValue - 1;
    if (unused >= reserve * Math.min(1, excess)) return false;
    return this.isOwed(name);
  }

  /** Fraction of the fleet that active teams hold within their fair level. */
  private fairDemand(): number {
    let demand = 0;
    for (const name of this.arrivals.keys()) {
      const level = Math.min(this.level(name), this.fairLevelValue);
      demand += level * this.weight(name);
    }
    return demand;
  }

  /** Whether an active team besides `except` is below its fair level. */
  private isOwed(except: string): boolean {
    for (const other of this.arrivals.keys()) {
      if (other === except) continue;
      if (this.level(other) < this.fairLevelValue) return true;
    }
    return false;
  }

  private levelOf(name: string, held: resources.Resources): number {
    const fraction = resources.dominantShare(held, this.use.capacity);
    return fraction / this.weight(name);
  }

  private weight(name: string): number {
    const share = this.teams.team(name)?.share ?? DEFAULT_SHARE;
    return share > 0 ? share : DEFAULT_SHARE;
  }
}

/**
 * Whether work may run in room beyond its team's quota. Only work that can be
 * checkpointed and placed again may, because lent room is taken back.
 */
export function mayBorrow(described: workload.Workload): boolean {
  return (
    described.kind === 'batch' &&
    described.idempotent &&
    described.urgency !== 'urgent'
  );
}
