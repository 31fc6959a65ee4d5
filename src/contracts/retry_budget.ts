import type * as clock from '../machines/clock.js';

/** Share of a retry that each successful request earns. */
const RETRIES_EARNED_PER_SUCCESS = 0.1;

/** Retries available each second even if no request succeeds. */
const RETRIES_GRANTED_PER_SECOND = 1;

/** Maximum number of saved retries; more would allow a retry storm. */
const MAXIMUM_EARNED_RETRIES = 100;

/** Retry budget of a process, to which every retry is charged. */
export class RetryBudget {
  private earnedRetries = 0;
  private grantedRetries = RETRIES_GRANTED_PER_SECOND;
  private grantUpdatedAt = 0;

  /** Adds the share of a retry that a success earns. */
  recordSuccess(): void {
    this.earnedRetries = Math.min(
      MAXIMUM_EARNED_RETRIES,
      this.earnedRetries + RETRIES_EARNED_PER_SUCCESS,
    );
  }

  /** Takes one retry from the budget; returns false if the budget is spent. */
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
  /** Returns a retry that was taken for a call that did not need it. */
  giveBack(): void {
    this.earnedRetries = Math.min(
      MAXIMUM_EARNED_RETRIES,
      this.earnedRetries + 1,
    );
  }
}
