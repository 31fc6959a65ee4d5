/** Monotonic time of one process in milliseconds; unrelated to wall clocks. */
export type Milliseconds = number;

/** Largest relative difference between the rates of two clocks. */
export const MAXIMUM_DRIFT = 0.01;

/** Source of monotonic time; decisions receive its readings, never the clock. */
export interface Clock {
  now(): Milliseconds;
}

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  now(): Milliseconds {
    return performance.now();
  }
}

/** A clock that tests advance by hand. */
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
 * received at `receivedAt`.
 */
export interface WorkerClockReading {
  readonly workerClock: Milliseconds;
  readonly receivedAt: Milliseconds;
}

/**
 * Returns a time on the worker's clock that is not later than `time` on the
 * local clock, whatever the drift within `MAXIMUM_DRIFT`.
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
