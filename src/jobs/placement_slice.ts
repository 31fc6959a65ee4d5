import * as adviceRequester from './advice_requester.js';
import * as ticketWaitReservation from './ticket_wait_reservation.js';
import type * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';
import type * as sliceBudget from './slice_budget.js';

/**
 * Most units that a slice spends on steps which its pass has considered before,
 * so that changes among them do not keep the others waiting.
 */
const MAXIMUM_REPEAT_UNITS = 2_500;

/** Result of one slice of a placement pass. */
export interface SliceResult {
  /** Whether no waiting step is left to consider. */
  readonly complete: boolean;
  /** Number of steps for which workers were examined. */
  readonly examinedCount: number;
}

/** State of one slice of a placement pass. */
export class PlacementSlice implements SliceResult {
  readonly reservation = new ticketWaitReservation.TicketWaitReservation();
  readonly adviceRequester: adviceRequester.AdviceRequester;
  examinedCount = 0;
  private hasAdvanced = false;
  private interrupted = false;
  private hasPostponed = false;
  private repeatUnits = 0;

  constructor(
    readonly now: clock.Milliseconds,
    readonly budget: sliceBudget.SliceBudget,
    advice: adviceCache.AdviceCache,
  ) {
    this.adviceRequester = new adviceRequester.AdviceRequester(advice);
  }

  get complete(): boolean {
    return !this.interrupted && !this.hasPostponed;
  }

  /** Whether the slice has ended before its pass considered each step. */
  get isInterrupted(): boolean {
    return this.interrupted;
  }

  /** Ends the slice; the next one continues the pass. */
  interrupt(): void {
    this.interrupted = true;
  }

  /**
   * Returns whether a step may be considered for the first time in the pass;
   * interrupts the slice if not. One step always may, so that each slice
   * advances the pass.
   */
  advance(): boolean {
    if (this.hasAdvanced && this.budget.isExhausted()) this.interrupt();
    this.hasAdvanced = true;
    return !this.interrupted;
  }

  /** Returns whether a step may be considered again in the same pass. */
  mayRepeat(hasNewTickets: boolean): boolean {
    if (this.budget.isExhausted()) return false;
    return hasNewTickets || this.repeatUnits < MAXIMUM_REPEAT_UNITS;
  }

  /** Notes that a step has to be considered again in the next pass. */
  postpone(): void {
    this.hasPostponed = true;
  }

  /** Considers a step again, and counts what that costs. */
  repeat(consider: () => void): void {
    const spentBefore = this.budget.spent;
    consider();
    this.repeatUnits += this.budget.spent - spentBefore;
  }
}
