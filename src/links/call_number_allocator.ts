import type * as event from '../contracts/event.js';

/** Issues call numbers that are unique over all servers of a process. */
export class CallNumberAllocator {
  private lastNumber = 0;

  /** Returns a number that was not returned before. */
  allocate(): event.CallNumber {
    this.lastNumber += 1;
    return this.lastNumber;
  }
}
