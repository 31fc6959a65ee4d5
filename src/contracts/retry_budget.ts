import type * as clock from '../machines/clock.js';

/** Retries that each successful call earns. */
const RETRIES_EARNED_PER_SUCCESS = 0.1;

/** Retries a second that are granted without any success. */
const RETRIES_GRANTED_PER_SECOND = 1;

/** Retries that can be saved; a larger stock would feed a retry storm. */
const MAX_EARNED_RETRIES = 100;

/** The one retry budget of a process; every retry is paid from it. */
export class RetryBudget {
  private earnedRetries = 0;
  private grantedRetries = RETRIES_GRANTED_PER_SECOND;
  private grantUpdatedAt = 0;

  /** Earns a part of a retry. */
  recordSuccess(): void {
    this.earnedRetries = Math.min(
      MAX_EARNED_RETRIES,
      this.earnedRetries + RETRIES_EARNED_PER_SUCCESS,
    );
  }

  /** Pays for one retry; returns false when the budget is spent. */
  trySpend(now: clock.Milliseconds): boolean {
    const elapsedSeconds = Math.max(0, now - this.grantUpdatedAt) / 1_000;
    this.grantUpdatedAt = now;
    this.grantedRetries = Math.min(
      RETRIES_GRANTED_PER_SECOND,
      this.grantedRetries + elapsedSeconds * RETRIES_GRANTED_PER_SECOND,
    );
    if (this.grantedRetries >= 1) {
      this.grantedRetries -= 1;
      return true;
    }
    if (this.earnedRetries < 1) return false;
    this.earnedRetries -= 1;
    return true;
  }
}
