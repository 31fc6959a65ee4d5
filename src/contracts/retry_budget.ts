import type * as clock from '../machines/clock.js';

/** Retries that each successful call earns. */
const EARNED_PER_SUCCESS = 0.1;

/** Retries a second that are granted without any success. */
const GRANTED_PER_SECOND = 1;

/** Retries that can be saved; a larger stock would feed a retry storm. */
const STOCK_LIMIT = 100;

/** The one retry budget of a process; every retry is paid from it. */
export class RetryBudget {
  private stock = 0;
  private granted = GRANTED_PER_SECOND;
  private grantedAt = 0;

  /** Earns a part of a retry. */
  succeeded(): void {
    this.stock = Math.min(STOCK_LIMIT, this.stock + EARNED_PER_SUCCESS);
  }

  /** Pays for one retry; returns false when the budget is spent. */
  take(now: clock.Milliseconds): boolean {
    const elapsed = Math.max(0, now - this.grantedAt) / 1_000;
    this.grantedAt = now;
    this.granted = Math.min(
      GRANTED_PER_SECOND,
      this.granted + elapsed * GRANTED_PER_SECOND,
    );
    if (this.granted >= 1) {
      this.granted -= 1;
      return true;
    }
    if (this.stock < 1) return false;
    this.stock -= 1;
    return true;
  }
}
