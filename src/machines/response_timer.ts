import type * as clock from './clock.js';

/** Timeout of a call in progress. */
export interface ResponseTimeout {
  /** Whether the call's time is over on the clock, judged or not. */
  readonly isOverdue: boolean;
  /** Prevents the timeout; has no effect after it. */
  cancel(): void;
}

/** Decides when a call has gone unanswered for too long. */
export interface ResponseTimer {
  start(timeoutMs: number, onTimeout: () => void): ResponseTimeout;
}

/** Longest interval between two checks while calls are in progress. */
const MAXIMUM_CHECK_INTERVAL_MS = 200;

/** Remaining time below which the next check is made at its end. */
const LAST_INTERVAL_MS = 50;

/** Lateness of a check from which on the event loop counts as late. */
const TOLERATED_LATENESS_MS = 50;

/** Time that a late interval counts at least, however short it was planned. */
const MINIMUM_LATE_INTERVAL_MS = 50;

/** Range of due times that are kept together. */
const BUCKET_MS = 5;

/**
 * Response timer that does not mistake a late event loop for a silent peer.
 * Time counts only as far as this process was able to read responses: an
 * interval whose check was late counts for its planned length, and what has
 * arrived by the end of a timeout is read before the timeout takes effect.
 */
export class LoopTimer implements ResponseTimer {
  private readonly buckets = new Map<number, Set<PendingTimeout>>();
  private pendingCount = 0;
  private lastBucket = 0;
  /** Time that has counted up to the begin of the current interval. */
  private countedMs = 0;
  private intervalStart: clock.Milliseconds = 0;
  private nextCheckAt: clock.Milliseconds = 0;
  private checkTimer: NodeJS.Timeout | undefined;
  private isReading = false;

  constructor(private readonly clock: clock.Clock) {}

  start(timeoutMs: number, onTimeout: () => void): ResponseTimeout {
    const now = this.clock.now();
    if (!this.isRunning) this.intervalStart = now;
    const dueMs = this.countedMsAt(now) + timeoutMs;
    const bucket = Math.max(Math.ceil(dueMs / BUCKET_MS), this.lastBucket + 1);
    const pending = new PendingTimeout(
      this.clock,
      now + timeoutMs,
      onTimeout,
      () => this.remove(bucket, pending),
    );
    this.add(bucket, pending);
    this.checkWithin(intervalFor(timeoutMs), now);
    return pending;
  }

  private get isRunning(): boolean {
    return this.isReading || this.checkTimer !== undefined;
  }

  private countedMsAt(now: clock.Milliseconds): number {
    const elapsedMs = now - this.intervalStart;
    const latenessMs = now - this.nextCheckAt;
    if (this.checkTimer === undefined || latenessMs <= TOLERATED_LATENESS_MS) {
      return this.countedMs + elapsedMs;
    }
    const plannedMs = elapsedMs - latenessMs;
    return this.countedMs + Math.max(plannedMs, MINIMUM_LATE_INTERVAL_MS);
  }

  private add(bucket: number, pending: PendingTimeout): void {
    const known = this.buckets.get(bucket);
    if (known === undefined) this.buckets.set(bucket, new Set([pending]));
    else known.add(pending);
    this.pendingCount += 1;
  }

  private remove(bucket: number, pending: PendingTimeout): void {
    const timeouts = this.buckets.get(bucket);
    if (timeouts?.delete(pending) !== true) return;
    if (timeouts.size === 0) this.buckets.delete(bucket);
    this.pendingCount -= 1;
  }

  /** Schedules the next check, unless an earlier one is scheduled. */
  private checkWithin(intervalMs: number, now: clock.Milliseconds): void {
    if (this.isReading) return;
    const isScheduled = this.checkTimer !== undefined;
    if (isScheduled && this.nextCheckAt <= now + intervalMs) return;
    clearTimeout(this.checkTimer);
    this.nextCheckAt = now + intervalMs;
    this.checkTimer = setTimeout(() => this.endInterval(), intervalMs);
  }

  private endInterval(): void {
    const now = this.clock.now();
    this.countedMs = this.countedMsAt(now);
    this.intervalStart = now;
    this.checkTimer = undefined;
    this.isReading = true;
    // Sockets are read between the timers and the immediates of a turn.
    setImmediate(() => this.check());
  }

  private check(): void {
    const endBucket = Math.floor(this.countedMs / BUCKET_MS);
    while (this.lastBucket < endBucket) {
      this.lastBucket += 1;
      this.expire(this.lastBucket);
    }
    this.isReading = false;
    if (this.pendingCount === 0) return;
    // The interval began before the immediates of this turn.
    this.checkWithin(this.nextIntervalMs(), this.intervalStart);
  }

  private expire(bucket: number): void {
    const timeouts = this.buckets.get(bucket);
    if (timeouts === undefined) return;
    this.buckets.delete(bucket);
    this.pendingCount -= timeouts.size;
    for (const pending of timeouts) pending.expire();
  }

  private nextIntervalMs(): number {
    const endMs = this.countedMs + 2 * MAXIMUM_CHECK_INTERVAL_MS;
    let bucket = this.lastBucket + 1;
    while (bucket * BUCKET_MS < endMs && !this.buckets.has(bucket)) bucket += 1;
    return intervalFor(bucket * BUCKET_MS - this.countedMs);
  }
}

/**
 * Returns the interval to the next check. A late check loses at most one
 * interval, so none is longer than half of the remaining time.
 */
function intervalFor(remainingMs: number): number {
  if (remainingMs <= LAST_INTERVAL_MS) return remainingMs;
  return Math.min(remainingMs / 2, MAXIMUM_CHECK_INTERVAL_MS);
}

class PendingTimeout implements ResponseTimeout {
  private isCancelled = false;

  constructor(
    private readonly clock: clock.Clock,
    private readonly overdueAt: clock.Milliseconds,
    private readonly onTimeout: () => void,
    private readonly onCancel: () => void,
  ) {}

  get isOverdue(): boolean {
    return this.clock.now() >= this.overdueAt;
  }

  cancel(): void {
    if (this.isCancelled) return;
    this.isCancelled = true;
    this.onCancel();
  }

  /** Runs the callback, unless another one of this check has cancelled it. */
  expire(): void {
    if (this.isCancelled) return;
    this.isCancelled = true;
    this.onTimeout();
  }
}
