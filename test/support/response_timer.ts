import * as clock from '../../src/machines/clock.js';
import * as responseTimer from '../../src/machines/response_timer.js';

/** Creates a response timer on the real clock. */
export function createResponseTimer(): responseTimer.ResponseTimer {
  return new responseTimer.LoopTimer(new clock.SystemClock());
}
