import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';

const {describe, test} = nodeTest;

/** Tasks of the job: more than one report of a worker lists. */
const TASK_COUNT = 620;

describe('a takeover from a worker with more ends than a report lists', () => {
  // Guards against a successor that takes the first report for complete: it starts
  // tasks again whose success follows in a later report, and acknowledges that.
  test('starts no task again that has succeeded', async () => {
    const cell = new jobCell.JobCell();
    const size = {processors: 1, memory: 1, accelerators: 0, slots: 1};
    cell.addWorkers(() => ({runTimeMs: 2_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    const job = jobCell.jobOf('many', {count: TASK_COUNT, size});
    jobCell.submit(scheduler, job);
    await cell.time.advance(1_000);
    assert.equal(cell.startsOf('many').length, TASK_COUNT);
    // The leader is lost before it has seen an end.
    scheduler.retire();
    await cell.time.advance(1_500);
    const successor = await cell.startTerm(2);
    await cell.time.advance(10_000);
    assert.equal(successor.stateOf('orders', 'many'), 'completed');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    assert.equal(cell.startsOf('many').length, TASK_COUNT);
  });
});
