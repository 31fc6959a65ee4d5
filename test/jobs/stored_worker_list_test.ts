import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 350;

/** Most bytes that the change of one worker may add to the journal. */
const MAXIMUM_CHANGE_BYTES = 1_000;

describe('the stored list of workers', () => {
  // Guards against writes of 100 KB, which occupy the loop and the store, each
  // time that one of many workers changes its state.
  test('is not stored as a whole when one worker changes', async () => {
    const cell = new backlogCell.BacklogCell({workerCount: WORKER_COUNT});
    await cell.begin();
    const countBefore = cell.journal.changes.length;
    cell.drain('w7');
    cell.scheduler.tick();
    await cell.runTurns();
    const changes = cell.journal.changes.slice(countBefore);
    const bytes = JSON.stringify(changes).length;
    assert.match(JSON.stringify(changes), /"id":"w7".*"closedJobs":\[\]/);
    assert.ok(bytes <= MAXIMUM_CHANGE_BYTES, `${bytes} bytes`);
  });

  // Guards against a successor that does not wait for a worker on which tasks
  // run: a start before the worker is stored as open.
  test('has each worker before a task starts there', async () => {
    const cell = new backlogCell.BacklogCell({workerCount: 2});
    cell.journal.isSilent = true;
    await cell.begin();
    assert.equal(cell.scheduler.isServing, true);
    cell.submit('early');
    cell.scheduler.tick();
    await cell.runTurns();
    assert.equal(cell.workers.starts.length, 0);
    cell.journal.isSilent = false;
    await cell.runTurns();
    assert.equal(cell.workers.starts.length, 1);
    const stored = JSON.stringify(cell.journal.changes);
    assert.ok(stored.includes(`"id":"${cell.workers.starts[0].worker}"`));
  });
});
