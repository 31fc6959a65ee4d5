import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';

const {describe, test} = nodeTest;

describe('a worker at which a start may arrive late', () => {
  // Guards against a worker that takes no tasks although it answers: placement
  // is allowed only shortly after an answer, and no pass runs then.
  test('starts a task within a renewal of its submission', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 14_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(1_450);
    const submittedAt = cell.time.now();
    jobCell.submit(scheduler, jobCell.jobOf('bb', {}));
    await cell.time.advance(20_000);
    const [start] = cell.startsOf('bb');
    assert.ok(start !== undefined, 'not started');
    const waitedMs = start.atMs - submittedAt;
    assert.ok(waitedMs < 1_500, `waited for ${waitedMs} ms`);
  });
});
