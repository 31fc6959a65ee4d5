/** Monotonic time of one process in milliseconds; unrelated to wall clocks. */
export type Milliseconds = number;

/** Largest relative difference between the rates of two clocks. */
export const MAXIMUM_DRIFT = 0.01;

/** Source of monotonic time. Decision code is passed readings of it. */
export interface Clock {
  now(): Milliseconds;
}

/** Clock that reads the monotonic time of this process. */
export class SystemClock implements Clock {
  now(): Milliseconds {
    return performance.now();
  }
}

/** Clock for tests; its time changes only through `advance`. */
export class ManualClock implements Clock {
  constructor(private time: Milliseconds = 0) {}

  now(): Milliseconds {
    return this.time;
  }

  advance(duration: Milliseconds): void {
    this.time += duration;
  }
}

/**
 * One reading of a worker's clock, taken from an answer that this process
 * received at local time `receivedAt`.
 */
export interface WorkerClockReading {
  readonly workerClock: Milliseconds;
  readonly receivedAt: Milliseconds;
}

/**
 * Converts a local time to the worker's clock. The result is never later than
 * `time`, as long as the clocks drift by at most `MAXIMUM_DRIFT`.
 */
export function toWorkerClock(
  reading: WorkerClockReading,
  time: Milliseconds,
): Milliseconds {
  const elapsed = time - reading.receivedAt;
  return (
    reading.workerClock + elapsed * (1 - Math.sign(elapsed) * MAXIMUM_DRIFT)
  );
}
