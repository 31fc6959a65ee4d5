/** Bounds of an adaptive limit. */
export interface ConnectionBounds {
  readonly minimum: number;
  readonly initial: number;
  readonly maximum: number;
}

/**
 * Adaptive limit of the calls that are open to one origin, and so of the
 * connections. It grows by one when a full limit's calls went well and
 * halves when a connection is refused or reset, as a crowded worker does.
 */
export class ConnectionLimiter {
  private limit: number;
  private usedSlots = 0;
  private successCount = 0;
  private readonly waitingCallbacks: Array<() => void> = [];

  constructor(private readonly bounds: ConnectionBounds) {
    this.limit = bounds.initial;
  }

  /** Calls that may be open at once at present. */
  get currentLimit(): number {
    return this.limit;
  }

  /** Calls that are open. */
  get openCallCount(): number {
    return this.usedSlots;
  }

  /** Runs `granted` now or when a call ends; returns how to withdraw it. */
  acquire(onGranted: () => void): () => void {
    if (this.usedSlots < this.limit) {
      this.usedSlots += 1;
      onGranted();
      return () => {};
    }
    this.waitingCallbacks.push(onGranted);
    return () => {
      const position = this.waitingCallbacks.indexOf(onGranted);
      if (position >= 0) this.waitingCallbacks.splice(position, 1);
    };
  }

  /** Ends a call; `refused` when its connection was refused or reset. */
  release(overloaded: boolean): void {
    this.usedSlots -= 1;
    if (overloaded) this.shrink();
    else this.grow();
    while (this.usedSlots < this.limit) {
      const next = this.waitingCallbacks.shift();
      if (next === undefined) return;
      this.usedSlots += 1;
      next();
    }
  }

  private grow(): void {
    this.successCount += 1;
    const hasWaitingCalls = this.waitingCallbacks.length > 0;
    if (!hasWaitingCalls || this.successCount < this.limit) return;
    this.successCount = 0;
    this.limit = Math.min(this.limit + 1, this.bounds.maximum);
  }

  private shrink(): void {
    this.successCount = 0;
    this.limit = Math.max(Math.floor(this.limit / 2), this.bounds.minimum);
  }
}
