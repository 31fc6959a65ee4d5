import type * as clock from './clock.js';

/** Busy and idle time of an event loop since its start. */
export interface LoopTimes {
  readonly active: clock.Milliseconds;
  readonly idle: clock.Milliseconds;
}

/** Load of the event loop of the process that runs the scheduler. */
export interface LoopLoadSource {
  /** Current delay of work that waits for the loop. */
  readonly delayMs: clock.Milliseconds;
  readonly times: LoopTimes;
}
