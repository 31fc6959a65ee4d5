/** Injected time: runs actions in order of their time, without waiting. */
export class VirtualTime {
  private readonly pending: Array<{
    readonly at: number;
    readonly action: () => void;
  }> = [];
  private timeMs = 0;

  /** Milliseconds of real time since the start of the run. */
  now(): number {
    return this.timeMs;
  }

  /** Runs `action` after a delay; equal times keep their order. */
  after(delay: number, action: () => void): void {
    const at = this.timeMs + Math.max(0, delay);
    let low = 0;
    let high = this.pending.length;
    // The list is in descending order, so that the next action is the last.
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.pending[middle].at > at) low = middle + 1;
      else high = middle;
    }
    this.pending.splice(low, 0, {at, action});
  }

  /** Runs everything that is due before `end`. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.pending.at(-1);
      if (next === undefined || next.at > end) break;
      this.pending.pop();
      this.timeMs = next.at;
      next.action();
    }
    this.timeMs = end;
  }
}

/** A clock that starts anywhere and runs a little fast or slow. */
export class DriftingClock {
  constructor(
    private readonly timeline: VirtualTime,
    private readonly offset: number,
    private readonly rate: number,
  ) {}

  /** The reading of this clock. */
  now(): number {
    return this.offset + this.timeline.now() * this.rate;
  }

  /** Real time until this clock shows `reading`. */
  until(reading: number): number {
    return (reading - this.now()) / this.rate;
  }
}
