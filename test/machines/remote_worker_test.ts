import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';

const {describe, test} = nodeTest;

const LEASE_MS = 5_000;

/** Time by which the worker's clock is ahead of the local one. */
const OFFSET_MS = 100_000;

function createWorker(): remoteWorker.RemoteWorker {
  return new remoteWorker.RemoteWorker(jobCell.registryEntry('one'), 0);
}

describe('remote worker', () => {
  // Guards against a task that still runs when its lease counts as expired, on a
  // worker whose clock is as slow as allowed.
  test('expects no lease to expire before it does on a slow clock', () => {
    const worker = createWorker();
    const workerClockAt = (localMs: number): number =>
      OFFSET_MS + localMs * 0.98;
    worker.recordClockReading(workerClockAt(0), 0);
    let leaseEndMs = 0;
    for (let now = 1_000; now <= 30_000; now += 1_000) {
      const delayMs = now % 3_000;
      worker.recordClockReading(workerClockAt(now - delayMs), now);
      leaseEndMs = worker.extendLease(now, LEASE_MS) ?? 0;
      assert.ok(leaseEndMs - workerClockAt(now) <= LEASE_MS);
      const expiresAt = worker.lastLeaseExpiry();
      assert.ok(workerClockAt(expiresAt) >= leaseEndMs, `at ${now}`);
    }
  });

  // Guards against a task that still runs when its lease counts as expired, on a
  // worker whose clock stood still while its machine was suspended.
  test('follows a clock that stood still', () => {
    const suspendedMs = 3_000;
    const worker = createWorker();
    worker.recordClockReading(OFFSET_MS, 0);
    worker.extendLease(0, LEASE_MS);
    worker.recordClockReading(OFFSET_MS + 4_000 - suspendedMs, 4_000);
    const leaseEndMs = worker.extendLease(4_000, LEASE_MS) ?? 0;
    const expiresAt = worker.lastLeaseExpiry();
    const workerClockMs = OFFSET_MS + expiresAt - suspendedMs;
    assert.ok(workerClockMs >= leaseEndMs, `${workerClockMs} ${leaseEndMs}`);
  });
});
