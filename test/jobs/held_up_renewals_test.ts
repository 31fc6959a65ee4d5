import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** Time for which a renewal waits in the client before it leaves. */
const HELD_UP_MS = 400;

/** A cell whose renewals leave `HELD_UP_MS` after they were decided. */
class HeldUpCell {
  readonly cell = new jobCell.JobCell();
  /** Renewals that granted a lease although there was no proof any more. */
  grantsWithoutProof = 0;
  withdrawnCount = 0;

  constructor() {
    const {cell} = this;
    const {workers} = cell;
    cell.addWorkers(() => ({runTimeMs: 4_000, outcome: 'done'}), 'one');
    cell.workerClient = {
      start: (...call) => workers.start(...call),
      stop: (...call) => workers.stop(...call),
      throttle: (...call) => workers.throttle(...call),
      renewLeases: (...call) => this.renewLater(...call),
    };
  }

  private async renewLater(
    entry: remoteWorker.RegistryEntry,
    command: workerClient.RenewalCommand,
    conditions?: workerClient.RenewalConditions,
  ): Promise<workerClient.RenewalOutcome> {
    await this.cell.time.delay(HELD_UP_MS);
    if (conditions?.maySend?.() === false) {
      this.withdrawnCount += 1;
      return {kind: 'unanswered', detail: 'withdrawn'};
    }
    const grants = command.deadlineMs !== undefined;
    if (grants && !this.cell.hasLeadershipProof) this.grantsWithoutProof += 1;
    return this.cell.workers.renewLeases(entry, command);
  }
}

nodeTest.describe('a renewal that waits in the client', () => {
  // Guards against leases that a replaced scheduler extends after its proof of
  // leadership has ended, because the renewal was decided before.
  nodeTest.test('grants no lease without proof of leadership', async () => {
    const held = new HeldUpCell();
    const {cell} = held;
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(1_500);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    for (let round = 0; round < 20; round += 1) {
      await cell.time.advance(370);
      cell.hasLeadershipProof = round % 2 === 0;
    }
    assert.equal(held.grantsWithoutProof, 0);
    assert.ok(held.withdrawnCount > 0, 'no renewal was held up');
  });

  // Guards against a worker that counts as silent, so that its runs are given
  // up, because renewals to it were withdrawn.
  nodeTest.test('does not count as unanswered when withdrawn', async () => {
    const held = new HeldUpCell();
    const {cell} = held;
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(1_500);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    for (let round = 0; round < 6; round += 1) {
      cell.hasLeadershipProof = false;
      await cell.time.advance(300);
      cell.hasLeadershipProof = true;
      await cell.time.advance(300);
    }
    await cell.time.advance(8_000);
    assert.ok(held.withdrawnCount > 0, 'no renewal was held up');
    assert.equal(cell.startsOf('aa').length, 1);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });
});
