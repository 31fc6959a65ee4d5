import type * as event from '../contracts/event.js';

/** Issues call numbers that are unique over all servers of a process. */
export class CallNumbers {
  private last = 0;

  /** Returns a number that was not returned before. */
  next(): event.CallNumber {
    this.last += 1;
    return this.last;
  }
}
