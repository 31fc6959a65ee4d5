import * as clock from '../machines/clock.js';

/** Longest lease of a start command; bounds the wait for a lost answer. */
export const START_LEASE_MS = 3_000;

/** Lease of a running task from each renewal. */
export const TASK_LEASE_MS = 30_000;

/** Time between renewals; a lease survives the loss of two of them. */
export const RENEWAL_INTERVAL_MS = 10_000;

/**
 * Longest time from recording a start to the end of its lease. This leaves the
 * journal 7 s to acknowledge the record.
 */
export const RECORDED_LEASE_MS = 10_000;

/** Time for which a worker's reports list a task after its end. */
export const ENDED_TASK_RETENTION_MS = 600_000;

/**
 * Returns the lease end on the worker's clock for a start sent under a permit
 * that ends at `permitEnd`, so that a delayed start expires with the permit.
 */
export function startLeaseEnd(
  reading: clock.WorkerClockReading,
  permitEnd: clock.Milliseconds,
  now: clock.Milliseconds,
): clock.Milliseconds {
  const end = Math.min(permitEnd, now + START_LEASE_MS);
  return clock.toWorkerClock(reading, end);
}

/** Returns the lease end on the worker's clock for a renewal sent now. */
export function renewedLeaseEnd(
  reading: clock.WorkerClockReading,
  now: clock.Milliseconds,
): clock.Milliseconds {
  return clock.toWorkerClock(reading, now + TASK_LEASE_MS);
}

/**
 * Returns the bound on a start's lease, on the worker's clock, that is recorded
 * before the start. The lease never exceeds it, so recovery needs only the
 * record.
 */
export function recordedLeaseBound(
  reading: clock.WorkerClockReading,
  now: clock.Milliseconds,
): clock.Milliseconds {
  return clock.toWorkerClock(reading, now + RECORDED_LEASE_MS);
}

/**
 * Returns the local time by which a lease has certainly ended, even if the
 * worker's clock is as slow as `MAXIMUM_DRIFT` allows.
 */
export function latestLeaseEnd(
  reading: clock.WorkerClockReading,
  leaseEnd: clock.Milliseconds,
): clock.Milliseconds {
  const remainingMs = Math.max(0, leaseEnd - reading.workerClock);
  return reading.receivedAt + remainingMs / (1 - clock.MAXIMUM_DRIFT);
}

/**
 * Returns whether a report that omits a task proves that the task never ran:
 * its lease has ended, and a task that ended immediately would still be listed.
 * `leaseBound` is at most `RECORDED_LEASE_MS` after the start.
 */
export function provesNotRun(
  leaseBound: clock.Milliseconds,
  workerClock: clock.Milliseconds,
): boolean {
  const listedUntil =
    leaseBound + ENDED_TASK_RETENTION_MS - 2 * RECORDED_LEASE_MS;
  return workerClock > leaseBound && workerClock < listedUntil;
}
