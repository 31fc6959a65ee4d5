import type * as event from '../contracts/event.js';

/** Allocates call numbers that are unique across all servers of a process. */
export class CallNumberAllocator {
  private lastNumber = 0;

  /** Returns the next unused number. */
  allocate(): event.CallNumber {
    this.lastNumber += 1;
    return this.lastNumber;
  }
}
