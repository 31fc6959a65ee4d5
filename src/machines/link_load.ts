import type * as clock from './clock.js';

/** Load of the network link of the VM that runs the scheduler. */
export interface LinkLoadSource {
  /** Time until the link has carried everything that was sent. */
  readonly sendDelayMs: clock.Milliseconds;
}
