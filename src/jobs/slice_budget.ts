import type * as clock from '../machines/clock.js';

/** Most units of work in one event loop turn; a unit is one examined pair. */
const MAXIMUM_UNITS = 5_000;

/** Cost of starting a task, in units. */
const START_UNITS = 50;

/** Longest time that one turn works, so that sockets are read in between. */
const MAXIMUM_SLICE_MS = 5;

/** A reading of the clock takes longer than skipping a step. */
const CHECKS_PER_CLOCK_READING = 16;

/** Bounds the work that is done in one event loop turn. */
export class SliceBudget {
  private spentUnits = 0;
  private checkCount = 0;
  private timedOut = false;
  private linkIsFull = false;
  private readonly startedAt: clock.Milliseconds;

  constructor(
    private readonly clock: clock.Clock,
    /** Returns whether the link can't carry more starts at present. */
    private readonly isLinkFull: () => boolean = () => false,
    private readonly maximumUnits = MAXIMUM_UNITS,
  ) {
    this.startedAt = clock.now();
  }

  /** Units of work that were done in this turn. */
  get spent(): number {
    return this.spentUnits;
  }

  get elapsedMs(): number {
    return this.clock.now() - this.startedAt;
  }

  /** Whether the remaining work has to wait for the next turn. */
  isExhausted(): boolean {
    if (this.spentUnits >= this.maximumUnits || this.linkIsFull) return true;
    this.checkCount += 1;
    if (this.checkCount % CHECKS_PER_CLOCK_READING === 0) {
      this.timedOut ||= this.elapsedMs >= MAXIMUM_SLICE_MS;
    }
    return this.timedOut;
  }

  spend(units: number): void {
    this.spentUnits += units;
  }

  /** Counts the starts of tasks, which also take up the link. */
  spendOnStarts(count: number): void {
    this.spend(START_UNITS * count);
    this.linkIsFull ||= this.isLinkFull();
  }
}
