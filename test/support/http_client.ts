import * as callStatistics from '../../src/links/call_statistics.js';
import * as clock from '../../src/machines/clock.js';
import * as httpClient from '../../platform/http_client.js';
import * as recordedCounters from './recorded_counters.js';
import * as responseTimer from '../../src/machines/response_timer.js';

/** Creates a client of workers, or of the store, on the real clock. */
export function createHttpClient(
  connectionLimit: number,
  counters = new recordedCounters.RecordedCounters(),
  closesIdleOnTimeout = false,
  poolClock: clock.Clock = new clock.SystemClock(),
): httpClient.HttpClient {
  const systemClock = new clock.SystemClock();
  return new httpClient.HttpClient({
    clock: poolClock,
    timer: new responseTimer.LoopTimer(systemClock),
    statistics: new callStatistics.CallStatistics(counters, 'worker'),
    connectionLimit,
    closesIdleOnTimeout,
  });
}
