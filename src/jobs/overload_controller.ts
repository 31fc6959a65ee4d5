import * as jobScore from './job_score.js';
import * as recentArrivals from './recent_arrivals.js';
import * as stepOrdering from './step_ordering.js';
import type * as clock from '../machines/clock.js';
import type * as loopLoad from '../machines/loop_load.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Interval at which the level is adjusted. */
const INTERVAL_MS = 300;

/** Delay of the loop above which it counts as overloaded. */
const TARGET_DELAY_MS = 150;

/** Load of the loop that the controller aims at, as a share of its time. */
const TARGET_LOAD = 0.95;

/** Share of the loop's time set aside to reduce a delay of one second. */
const DRAIN_SHARE_PER_SECOND = 0.4;

/** Lowest load that the controller aims at in order to reduce a delay. */
const MINIMUM_TARGET_LOAD = 0.4;

/** Largest factor on the admitted share in one interval. */
const MAXIMUM_INCREASE_FACTOR = 1.5;

/** Increase of the admitted share in one interval without delay, at any load. */
const INCREASE_WHILE_BUSY = 0.25;

/** Share that is admitted at any load, so that recovery is noticed. */
const MINIMUM_ADMITTED_SHARE = 0.05;

/** Load below which a measurement says little about the admitted share. */
const MINIMUM_LOAD = 0.1;

/**
 * Part of the share admitted of all jobs that each rank with value keeps, so
 * that no kind of work is cut off while others are served in full.
 */
const GUARANTEED_PART = 0.6;

/** Longest and shortest delays that refused callers are asked to wait. */
const MINIMUM_RETRY_SECONDS = 1;
const RETRY_SPREAD_SECONDS = 2;
const RETRY_SECONDS_AT_FULL_REFUSAL = 4;
const MAXIMUM_PRIORITY_SECONDS = 3;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Decides which new jobs the leader admits while its event loop is overloaded:
 * while work has waited for the loop throughout an interval. The share of
 * admitted jobs then falls, the least urgent and least valuable first. It rises
 * while the delay is short, the faster the less the loop has to do.
 */
export class OverloadController {
  private readonly arrivals = new recentArrivals.RecentArrivals();
  private refusedShare = 0;
  /** Lowest admitted score by rank; others are admitted in full. */
  private lowestScores: ReadonlyMap<number, number> = new Map();
  private intervalStartedAt: clock.Milliseconds | undefined;
  private timesAtStart: loopLoad.LoopTimes;
  private lowestDelayMs = Infinity;
  private lastDelayMs = 0;

  constructor(
    private readonly loopLoad: loopLoad.LoopLoadSource,
    private readonly log: schedulerOptions.EventLog,
  ) {
    this.timesAtStart = loopLoad.times;
  }

  /** Whether jobs are refused at present. */
  get overloaded(): boolean {
    return this.refusedShare > 0;
  }

  /** Records a job that arrived; called once for each. */
  recordArrival(rank: number, score: number): void {
    this.arrivals.record(rank, score);
  }

  /** Returns whether a job is admitted at present. */
  admits(rank: number, score: number): boolean {
    return score >= (this.lowestScores.get(rank) ?? -Infinity);
  }

  /** Returns after how many seconds a refused caller should return. */
  retryAfterSeconds(id: string, priority: number): number {
    const spread = jobScore.spreadOf(`retry ${id}`);
    return Math.ceil(
      MINIMUM_RETRY_SECONDS +
        spread *
          (RETRY_SPREAD_SECONDS +
            RETRY_SECONDS_AT_FULL_REFUSAL * this.refusedShare) +
        Math.min(priority, MAXIMUM_PRIORITY_SECONDS),
    );
  }

  /** Samples the loop's delay; adjusts the level after each interval. */
  review(now: clock.Milliseconds): void {
    this.intervalStartedAt ??= now;
    this.lowestDelayMs = Math.min(this.lowestDelayMs, this.loopLoad.delayMs);
    if (now - this.intervalStartedAt < INTERVAL_MS) return;
    this.adjust(this.lowestDelayMs, now - this.intervalStartedAt);
    this.arrivals.age();
    this.intervalStartedAt = now;
    this.lastDelayMs = this.lowestDelayMs;
    this.lowestDelayMs = Infinity;
  }

  private measureUtilization(): number {
    const {times} = this.loopLoad;
    const activeMs = times.active - this.timesAtStart.active;
    const idleMs = times.idle - this.timesAtStart.idle;
    this.timesAtStart = times;
    return activeMs / Math.max(activeMs + idleMs, 1);
  }

  private adjust(
    delayMs: clock.Milliseconds,
    elapsedMs: clock.Milliseconds,
  ): void {
    const wasRefusing = this.refusedShare > 0;
    const utilization = this.measureUtilization();
    // Work that arrived beyond what the loop could do has raised the delay.
    const load = utilization + (delayMs - this.lastDelayMs) / elapsedMs;
    const factor = factorOnAdmitted(delayMs, Math.max(load, MINIMUM_LOAD));
    const admittedShare = (1 - this.refusedShare) * factor;
    this.refusedShare =
      1 - Math.min(1, Math.max(MINIMUM_ADMITTED_SHARE, admittedShare));
    if (!wasRefusing && this.refusedShare === 0) return;
    this.lowestScores = this.lowestScoresFor(this.refusedShare);
    this.log.event('warn', 'admissionLevelChanged', {
      refusedShare: Number(this.refusedShare.toFixed(2)),
      standingDelayMs: Math.round(delayMs),
      utilization: Number(utilization.toFixed(2)),
    });
  }

  /** Divides a share of all arrivals, from the least urgent rank on. */
  private lowestScoresFor(refusedShare: number): ReadonlyMap<number, number> {
    const lowestScores = new Map<number, number>();
    let remainingShare = refusedShare;
    for (const {rank, share} of this.arrivals.leastUrgentFirst()) {
      const maximumShare = stepOrdering.isWorthless(rank)
        ? 1
        : 1 - GUARANTEED_PART * (1 - refusedShare);
      const refusedOfRank = Math.min(maximumShare, remainingShare / share);
      if (refusedOfRank <= 0) break;
      remainingShare -= refusedOfRank * share;
      lowestScores.set(rank, this.arrivals.scoreAt(rank, refusedOfRank));
    }
    return lowestScores;
  }
}

/**
 * Returns the factor on the admitted share. It reduces the load to the aimed
 * one if the delay is too long; else it increases the share at any load, since
 * a loop without delay can be busy with work that may as well wait.
 */
function factorOnAdmitted(delayMs: clock.Milliseconds, load: number): number {
  if (delayMs <= TARGET_DELAY_MS) {
    const busyFactor =
      1 + INCREASE_WHILE_BUSY * (1 - delayMs / TARGET_DELAY_MS);
    const idleFactor = Math.min(MAXIMUM_INCREASE_FACTOR, TARGET_LOAD / load);
    return Math.max(busyFactor, idleFactor);
  }
  const excessSeconds = (delayMs - TARGET_DELAY_MS) / MILLISECONDS_PER_SECOND;
  const targetLoad = TARGET_LOAD - DRAIN_SHARE_PER_SECOND * excessSeconds;
  return Math.min(1, Math.max(MINIMUM_TARGET_LOAD, targetLoad) / load);
}
