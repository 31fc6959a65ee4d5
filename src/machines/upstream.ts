import type * as clock from './clock.js';

/** Connections that one upstream accepts; the fleets have about 60 each. */
const CONNECTION_LIMIT = 60;

/** Calls in flight at first, before any answer is known. */
const INITIAL_LIMIT = 16;

/** Smallest limit; a single call keeps probing an upstream in trouble. */
const MINIMUM_LIMIT = 1;

/** Factor by which the limit shrinks after a lost or slow answer. */
const BACKOFF_FACTOR = 0.7;

/** An answer this many times slower than usual counts as overload. */
const SLOW_FACTOR = 4;

/** Answers below this time are never slow, whatever is usual. */
const SLOW_ANSWER_MINIMUM_MS = 50;

/** Weight of the newest answer in the usual answer time. */
const LATENCY_SMOOTHING = 0.05;

/** The limit shrinks at most once in this time, as answers come in groups. */
const BACKOFF_INTERVAL_MS = 1_000;

/** Lost answers in a row, with none in between, that count as silence. */
const SILENCE_LOSS_COUNT = 3;

/**
 * Calls that one upstream gets at once. The limit grows by one per round of
 * good answers while it is used, and shrinks when answers are lost or slow.
 */
export class Upstream {
  private limitValue = INITIAL_LIMIT;
  private inFlight = 0;
  private averageLatencyMs = 0;
  private backedOffAt = -Infinity;
  private consecutiveLosses = 0;

  /** Calls that the upstream may have in flight. */
  get limit(): number {
    return Math.floor(this.limitValue);
  }

  /** Whether the upstream may get another call. */
  get acceptsCalls(): boolean {
    return this.inFlight < this.limit;
  }

  /** Whether the upstream lost its last answers without giving any. */
  get isSilent(): boolean {
    return this.consecutiveLosses >= SILENCE_LOSS_COUNT;
  }

  /** Notes a call that is sent now. */
  onSend(): void {
    this.inFlight += 1;
  }

  /** Notes an answer. */
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

  /** Notes the end of a call that tells nothing about the upstream. */
  onNeutralEnd(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  /** Notes a call whose answer did not come. */
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
