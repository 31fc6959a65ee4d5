import type * as sinks from '../../src/operations/sinks.js';

/** Metrics sink that keeps the totals of counters for assertions. */
export class RecordedMetrics implements sinks.MetricsSink {
  private readonly totals = new Map<string, number>();

  count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value: number,
  ): void {
    const key = [metric, ...Object.values(labels)].join(' ');
    this.totals.set(key, (this.totals.get(key) ?? 0) + value);
  }

  observe(): void {}

  /** Returns the total for a metric name and label values joined by spaces. */
  total(key: string): number {
    return this.totals.get(key) ?? 0;
  }
}
