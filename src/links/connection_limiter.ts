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
  private used = 0;
  private successes = 0;
  private readonly waiting: Array<() => void> = [];

  constructor(private readonly bounds: ConnectionBounds) {
    this.limit = bounds.initial;
  }

  /** Calls that may be open at once at present. */
  get current(): number {
    return this.limit;
  }

  /** Calls that are open. */
  get open(): number {
    return this.used;
  }

  /** Runs `granted` now or when a call ends; returns how to withdraw it. */
  acquire(granted: () => void): () => void {
    if (this.used < this.limit) {
      this.used += 1;
      granted();
      return () => {};
    }
    this.waiting.push(granted);
    return () => {
      const position = this.waiting.indexOf(granted);
      if (position >= 0) this.waiting.splice(position, 1);
    };
  }

  /** Ends a call; `refused` when its connection was refused or reset. */
  release(refused: boolean): void {
    this.used -= 1;
    if (refused) this.shrink();
    else this.grow();
    while (this.used < this.limit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.used += 1;
      next();
    }
  }

  private grow(): void {
    this.successes += 1;
    const needed = this.waiting.length > 0;
    if (!needed || this.successes < this.limit) return;
    this.successes = 0;
    this.limit = Math.min(this.limit + 1, this.bounds.maximum);
  }

  private shrink(): void {
    this.successes = 0;
    this.limit = Math.max(Math.floor(this.limit / 2), this.bounds.minimum);
  }
}
