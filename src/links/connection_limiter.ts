/** Bounds and initial value of an adaptive connection limit. */
export interface ConnectionBounds {
  readonly minimum: number;
  readonly initial: number;
  readonly maximum: number;
}

/**
 * Adaptive limit of the open calls, and so of the connections, to one origin.
 * The limit grows by one after as many successful calls as the limit allows,
 * if calls are waiting, and halves when a connection is refused or reset,
 * which is how an overloaded worker responds.
 */
export class ConnectionLimiter {
  private limit: number;
  private usedSlots = 0;
  private successCount = 0;
  private readonly waitingCallbacks: Array<() => void> = [];

  constructor(private readonly bounds: ConnectionBounds) {
    this.limit = bounds.initial;
  }

  /** Number of calls that may currently be open at once. */
  get currentLimit(): number {
    return this.limit;
  }

  /** Number of calls that are open. */
  get openCallCount(): number {
    return this.usedSlots;
  }

  /**
   * Acquires a slot and runs `onGranted`, at once or when a call ends. Returns
   * a function that withdraws a waiting acquisition.
   */
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

  /** Releases a slot; `overloaded` if the connection was refused or reset. */
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
