import * as hotShots from 'hot-shots';
import type * as sinks from './sinks.js';

/** Interval at which collected metrics are sent. */
const FLUSH_INTERVAL_MS = 1_000;

/** Maximum datagram size that common networks do not fragment. */
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
      // A lost datagram only loses samples, so send errors are ignored.
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

  /** Sends the collected metrics and closes the socket. */
  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}

/** Metrics sink that discards everything, used when no receiver is set. */
export class NullMetrics implements sinks.MetricsSink {
  count(): void {}

  observe(): void {}

  /** Returns at once, because nothing is buffered. */
  async close(): Promise<void> {}
}
