import * as hotShots from 'hot-shots';
import type * as sinks from './sinks.js';

/** Time for which datagrams are collected before they are sent. */
const FLUSH_INTERVAL_MS = 1_000;

/** Largest datagram that no usual network splits, in bytes. */
const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Sends counters and durations as StatsD datagrams. */
export class StatsdMetrics implements sinks.MetricsSink {
  private readonly client: hotShots.StatsD;

  constructor(host: string, port: number, process: string) {
    this.client = new hotShots.StatsD({
      host,
      port,
      prefix: 'parsleyknot.',
      globalTags: {process},
      maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      // A lost datagram costs a figure; it must not disturb the process.
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

  /** Sends what is collected. */
  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}

/** Drops everything, for a process without a receiver of metrics. */
export class NullMetrics implements sinks.MetricsSink {
  count(): void {}

  observe(): void {}

  /** Does nothing. */
  async close(): Promise<void> {}
}
