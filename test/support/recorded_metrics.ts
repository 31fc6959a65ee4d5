import type * as sinks from '../../src/operations/sinks.js';

/** Keeps counters for a test to look at. */
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

  /** Total of a metric with the values of its labels, joined by spaces. */
  total(key: string): number {
    return this.totals.get(key) ?? 0;
  }
}
