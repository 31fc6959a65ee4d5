import type * as clock from '../machines/clock.js';

/** Period for which the lines are counted. */
const PERIOD_MS = 1_000;

/** Limits how many lines of one kind are logged in each second. */
export class LineLimiter {
  private periodEnd: clock.Milliseconds = -Infinity;
  private lineCount = 0;
  private omittedCount = 0;

  constructor(
    private readonly clock: clock.Clock,
    private readonly maximumPerPeriod: number,
  ) {}

  /**
   * Calls `write` if a line may be logged now, with the number of lines that
   * were left out since the last one.
   */
  tryWrite(write: (omittedCount: number) => void): void {
    const now = this.clock.now();
    if (now >= this.periodEnd) {
      this.periodEnd = now + PERIOD_MS;
      this.lineCount = 0;
    }
    if (this.lineCount >= this.maximumPerPeriod) {
      this.omittedCount += 1;
      return;
    }
    this.lineCount += 1;
    const omittedCount = this.omittedCount;
    this.omittedCount = 0;
    write(omittedCount);
  }
}
