import * as sliceBudget from './slice_budget.js';
import type * as clock from '../machines/clock.js';

/** Runs a callback in the next event loop turn. */
export type Defer = (callback: () => void) => void;

/** Spreads work on many items over turns of the event loop. */
export class TurnSlicer {
  constructor(
    private readonly clock: clock.Clock,
    private readonly defer: Defer,
    /** Returns whether the work is still wanted. */
    private readonly isWanted: () => boolean,
  ) {}

  /** Handles each item, at a cost in units of a slice's budget. */
  async forEach<Item>(
    items: Iterable<Item>,
    unitsPerItem: number,
    handle: (item: Item) => void,
  ): Promise<void> {
    let budget = new sliceBudget.SliceBudget(this.clock);
    for (const item of items) {
      if (budget.isExhausted()) {
        await new Promise<void>(resolve => this.defer(resolve));
        budget = new sliceBudget.SliceBudget(this.clock);
      }
      if (!this.isWanted()) return;
      handle(item);
      budget.spend(unitsPerItem);
    }
  }
}
