import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** Time for which a start waits in the client before it leaves. */
const HELD_UP_MS = 1_500;

/** Returns a cell whose starts leave `HELD_UP_MS` after they were decided. */
function createHeldUpCell(): jobCell.JobCell {
  const cell = new jobCell.JobCell();
  cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
  const {workers} = cell;
  cell.workerClient = {
    start: async (...call: Parameters<workerClient.WorkerClient['start']>) => {
      await cell.time.delay(HELD_UP_MS);
      return workers.start(...call);
    },
    stop: (...call) => workers.stop(...call),
    throttle: (...call) => workers.throttle(...call),
    renewLeases: (entry, command) => workers.renewLeases(entry, command),
  };
  return cell;
}

nodeTest.describe('a start that waits in the client', () => {
  // Guards against a replaced scheduler whose starts leave after its proof of
  // leadership has ended, because they were decided before.
  nodeTest.test('does not leave without proof of leadership', async () => {
    const cell = createHeldUpCell();
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(500);
    cell.hasLeadershipProof = false;
    await cell.time.advance(5_000);
    assert.equal(cell.startsOf('aa').length, 0);
  });

  // Guards against a run of a job that was cancelled before its start left.
  nodeTest.test('does not leave after its job was cancelled', async () => {
    const cell = createHeldUpCell();
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(500);
    scheduler.cancel('orders', 'aa', () => {});
    await cell.time.advance(5_000);
    assert.equal(cell.startsOf('aa').length, 0);
  });

  // Guards against a task that never starts because its start was withdrawn.
  nodeTest.test('leaves once there is proof again', async () => {
    const cell = createHeldUpCell();
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(500);
    cell.hasLeadershipProof = false;
    await cell.time.advance(2_000);
    cell.hasLeadershipProof = true;
    await cell.time.advance(10_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });
});
