import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as workerClient from '../../src/machines/worker_client.js';

const {describe, test} = nodeTest;

/** Runtime of the tasks: several leases. */
const RUN_MS = 20_000;

/** A cell whose workers answer renewals after a delay. */
interface SlowCell {
  readonly cell: jobCell.JobCell;
  /** Delay of each answer to a renewal. */
  answerDelayMs: number;
}

function createSlowCell(): SlowCell {
  const cell = new jobCell.JobCell();
  cell.addWorkers(() => ({runTimeMs: RUN_MS, outcome: 'done'}), 'one', 'two');
  const slowCell: SlowCell = {cell, answerDelayMs: 0};
  const {workers, time} = cell;
  const renewLeases: workerClient.WorkerClient['renewLeases'] = async (
    entry,
    command,
    conditions,
  ) => {
    const answerTimeoutMs = conditions?.answerTimeoutMs ?? 0;
    const answer = workers.renewLeases(entry, command);
    const delayed = answer.then(async outcome => {
      await time.delay(slowCell.answerDelayMs);
      return outcome;
    });
    const timeout = time
      .delay(command.waitMs + answerTimeoutMs)
      .then(() => ({kind: 'unanswered', detail: 'timeout'}) as const);
    return Promise.race([delayed, timeout]);
  };
  cell.workerClient = {
    start: (...call) => workers.start(...call),
    stop: (...call) => workers.stop(...call),
    throttle: (...call) => workers.throttle(...call),
    renewLeases,
  };
  return slowCell;
}

describe('a worker whose answers take long', () => {
  for (const answerDelayMs of [400, 800, 1_200]) {
    // Guards against running work that is given up because its worker, which
    // works, answers later than usual for longer than a lease.
    test(`keeps its runs when they take ${answerDelayMs} ms`, async () => {
      const slowCell = createSlowCell();
      const {cell} = slowCell;
      const scheduler = await cell.startTerm(1);
      await cell.time.advance(200);
      jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 4}));
      await cell.time.advance(1_000);
      slowCell.answerDelayMs = answerDelayMs;
      for (let step = 0; step < 1_500; step += 1) {
        await cell.time.advance(10);
        for (const worker of cell.workers.byAddress.values()) {
          worker.endDueRuns();
        }
      }
      slowCell.answerDelayMs = 0;
      await cell.time.advance(10_000);
      assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
      assert.equal(cell.startsOf('aa').length, 4, 'a run was given up');
      assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    });
  }
});
