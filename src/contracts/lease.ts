import * as clock from '../machines/clock.js';

/** Longest lease that a start carries; it bounds the wait for a lost answer. */
export const START_LEASE_MS = 3_000;

/** Lease of a running task after each renewal. */
export const TASK_LEASE_MS = 30_000;

/** Time between renewals; two may be lost before a task lapses. */
export const RENEWAL_INTERVAL_MS = 10_000;

/**
 * Returns the lease end on the worker's clock for a start sent under a permit
 * that ends at `permitEnd`, so that a delayed start lapses with the permit.
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
