import * as callStatistics from '../../src/links/call_statistics.js';
import * as clock from '../../src/machines/clock.js';
import * as httpClient from '../../platform/http_client.js';
import * as networkLink from '../../src/links/network_link.js';
import * as recordedCounters from './recorded_counters.js';
import * as responseTimer from '../../src/machines/response_timer.js';

/** Rate of a link that adds no noticeable delay. */
const LINK_BYTES_PER_SECOND = 1_000_000_000;

/** Creates a client of workers, or of the store, on the real clock. */
export function createHttpClient(
  connectionLimit: number,
  counters = new recordedCounters.RecordedCounters(),
  closesIdleOnTimeout = false,
  poolClock: clock.Clock = new clock.SystemClock(),
  linkBytesPerSecond = LINK_BYTES_PER_SECOND,
): httpClient.HttpClient {
  const systemClock = new clock.SystemClock();
  const options = {
    clock: poolClock,
    timer: new responseTimer.LoopTimer(systemClock),
    statistics: new callStatistics.CallStatistics(counters, 'worker'),
    connectionLimit,
    closesIdleOnTimeout,
  };
  const link = new networkLink.NetworkLink(
    systemClock,
    linkBytesPerSecond,
    {event: () => {}},
    counters,
  );
  return new httpClient.HttpClient(options, link);
}
