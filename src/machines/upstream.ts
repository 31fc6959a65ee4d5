import type * as clock from './clock.js';

/** Connections that one upstream accepts; workers have about 60 each. */
const CONNECTION_LIMIT = 60;

/** Limit of calls in flight before any answer has arrived. */
const INITIAL_LIMIT = 16;

/** Minimum limit: a single call keeps probing an overloaded upstream. */
const MINIMUM_LIMIT = 1;

/** Factor applied to the limit after a lost or slow answer. */
const BACKOFF_FACTOR = 0.7;

/** Multiple of the average latency above which an answer counts as slow. */
const SLOW_FACTOR = 4;

/** Latency up to which an answer never counts as slow. */
const SLOW_ANSWER_MINIMUM_MS = 50;

/** Weight of the newest answer in the moving average of the latency. */
const LATENCY_SMOOTHING = 0.05;

/** Minimum time between two reductions, because answers arrive in groups. */
const BACKOFF_INTERVAL_MS = 1_000;

/** Consecutive lost answers after which an upstream counts as silent. */
const SILENCE_LOSS_COUNT = 3;

/**
 * Adaptive limit of the calls in flight to one upstream. It grows by one per
 * round of good answers while it is used, and shrinks on lost or slow answers.
 */
export class Upstream {
  private limitValue = INITIAL_LIMIT;
  private inFlight = 0;
  private averageLatencyMs = 0;
  private backedOffAt = -Infinity;
  private consecutiveLosses = 0;

  /** Maximum number of calls in flight. */
  get limit(): number {
    return Math.floor(this.limitValue);
  }

  /** Whether another call may be sent to the upstream. */
  get acceptsCalls(): boolean {
    return this.inFlight < this.limit;
  }

  /** Whether the last calls to the upstream all went unanswered. */
  get isSilent(): boolean {
    return this.consecutiveLosses >= SILENCE_LOSS_COUNT;
  }

  /** Records that a call is being sent. */
  onSend(): void {
    this.inFlight += 1;
  }

  /** Records an answer and adjusts the limit to its latency. */
  onAnswer(latencyMs: clock.Milliseconds, now: clock.Milliseconds): void {
    const wasUsed = this.inFlight * 2 >= this.limit;
    this.onNeutralEnd();
    this.consecutiveLosses = 0;
    const isSlow =
      this.averageLatencyMs > 0 &&
      latencyMs >
        Math.max(SLOW_ANSWER_MINIMUM_MS, SLOW_FACTOR * this.averageLatencyMs);
    const weight = this.averageLatencyMs === 0 ? 1 : LATENCY_SMOOTHING;
    this.averageLatencyMs += weight * (latencyMs - this.averageLatencyMs);
    if (isSlow) this.decreaseLimit(now);
    else if (wasUsed) this.increaseLimit();
  }

  /** Records the end of a call that is no sign of the upstream's load. */
  onNeutralEnd(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  /** Records a call without an answer and reduces the limit. */
  onLoss(now: clock.Milliseconds): void {
    this.onNeutralEnd();
    this.consecutiveLosses += 1;
    this.decreaseLimit(now);
  }

  private increaseLimit(): void {
    const grown = this.limitValue + 1 / this.limitValue;
    this.limitValue = Math.min(CONNECTION_LIMIT, grown);
  }

  private decreaseLimit(now: clock.Milliseconds): void {
    if (now - this.backedOffAt < BACKOFF_INTERVAL_MS) return;
    this.backedOffAt = now;
    const shrunk = this.limitValue * BACKOFF_FACTOR;
    this.limitValue = Math.max(MINIMUM_LIMIT, shrunk);
  }
}
