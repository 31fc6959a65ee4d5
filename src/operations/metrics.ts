import * as hotShots from 'hot-shots';
import type * as entryLinks from '../links/entry_links.js';

/** Sends counters and durations as StatsD datagrams. */
export class Metrics implements entryLinks.MetricsSink {
  private readonly client: hotShots.StatsD;

  constructor(host: string, port: number, process: string) {
    this.client = new hotShots.StatsD({
      host,
      ...(port > 0 ? {port} : {}),
      prefix: 'parsleyknot.',
      globalTags: {process},
      mock: port === 0,
      errorHandler: () => {},
    });
  }

  count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value: number,
  ): void {
    this.client.increment(metric, value, {...labels});
  }

  observe(
    metric: string,
    labels: Readonly<Record<string, string>>,
    milliseconds: number,
  ): void {
    this.client.distribution(metric, milliseconds, {...labels});
  }
}
