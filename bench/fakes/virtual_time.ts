/** Virtual time, in which scheduled actions run in order without waiting. */
export class VirtualTime {
  private readonly pendingActions: Array<{
    readonly dueMs: number;
    readonly action: () => void;
  }> = [];
  private timeMs = 0;

  /** Returns the virtual milliseconds since the start of the run. */
  now(): number {
    return this.timeMs;
  }

  /** Schedules `action`; actions of the same time keep their order. */
  after(delayMs: number, action: () => void): void {
    const dueMs = this.timeMs + Math.max(0, delayMs);
    let low = 0;
    let high = this.pendingActions.length;
    // Descending order, so that the next action is removed from the end.
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.pendingActions[middle].dueMs > dueMs) low = middle + 1;
      else high = middle;
    }
    this.pendingActions.splice(low, 0, {dueMs, action});
  }

  /** Advances time to `endMs` and runs the actions due until then. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.pendingActions.at(-1);
      if (next === undefined || next.dueMs > endMs) break;
      this.pendingActions.pop();
      this.timeMs = next.dueMs;
      next.action();
    }
    this.timeMs = endMs;
  }
}

/** Clock with its own offset and rate relative to virtual time. */
export class DriftingClock {
  constructor(
    private readonly time: VirtualTime,
    private readonly offsetMs: number,
    private readonly rate: number,
  ) {}

  /** Returns the reading of this clock in milliseconds. */
  now(): number {
    return this.offsetMs + this.time.now() * this.rate;
  }

  /** Returns the virtual time until this clock reads `reading`. */
  until(reading: number): number {
    return (reading - this.now()) / this.rate;
  }
}
