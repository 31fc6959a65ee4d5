import * as http from 'node:http';
import * as promClient from 'prom-client';
import * as listen from '../links/listen.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Upper bounds of the histogram buckets in milliseconds. */
const LATENCY_BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

/** Counters and latency histograms in Prometheus text format over HTTP. */
export class PrometheusMetrics implements schedulerOptions.Counters {
  private readonly registry = new promClient.Registry();
  private readonly counters = new Map<string, promClient.Counter<'reason'>>();
  private readonly histograms = new Map<string, promClient.Histogram>();

  count(name: string, reason: string, amount = 1): void {
    const counter = this.counters.get(name) ?? this.createCounter(name);
    counter.inc({reason}, amount);
  }

  observe(name: string, milliseconds: number): void {
    const histogram = this.histograms.get(name) ?? this.createHistogram(name);
    histogram.observe(milliseconds);
  }

  /** Serves the current metrics at every path and returns the port. */
  listen(host: string, port: number): Promise<number> {
    const server = http.createServer((_request, response) => {
      void this.registry.metrics().then(text => {
        response.writeHead(200, {'content-type': this.registry.contentType});
        response.end(text);
      });
    });
    return listen.listen(server, host, port);
  }

  private createCounter(name: string): promClient.Counter<'reason'> {
    const created = new promClient.Counter({
      name: `parsleyknot_${name}_total`,
      help: `Count of ${name} by reason`,
      labelNames: ['reason'] as const,
      registers: [this.registry],
    });
    this.counters.set(name, created);
    return created;
  }

  private createHistogram(name: string): promClient.Histogram {
    const created = new promClient.Histogram({
      name: `parsleyknot_${name}_milliseconds`,
      help: `Duration of ${name}`,
      buckets: LATENCY_BUCKETS_MS,
      registers: [this.registry],
    });
    this.histograms.set(name, created);
    return created;
  }
}
