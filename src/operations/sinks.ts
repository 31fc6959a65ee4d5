/** Receiver of counters and durations with labels. */
export interface MetricsSink {
  count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value: number,
  ): void;
  observe(
    metric: string,
    labels: Readonly<Record<string, string>>,
    milliseconds: number,
  ): void;
}

/** Receiver of structured log events. */
export interface LogSink {
  log(
    level: 'debug' | 'info' | 'warn' | 'error',
    event: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void;
}
