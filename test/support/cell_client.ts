import * as callStatistics from '../../src/links/call_statistics.js';
import * as cellClient from '../../src/links/cell_client.js';
import * as clock from '../../src/machines/clock.js';
import * as responseTimer from '../../src/machines/response_timer.js';
import type * as recordedCounters from './recorded_counters.js';

/** Creates a client of members on the real clock. */
export function createCellClient(
  counters: recordedCounters.RecordedCounters,
  onConfigurationVersion: (version: number, address: string) => void = () => {},
): cellClient.CellClient {
  const systemClock = new clock.SystemClock();
  return new cellClient.CellClient({
    clock: systemClock,
    timer: new responseTimer.LoopTimer(systemClock),
    statistics: new callStatistics.CallStatistics(counters, 'member'),
    onConfigurationVersion,
  });
}
