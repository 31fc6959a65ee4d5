import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';

const {describe, test} = nodeTest;

const RUN_TIME_MS = 63_000;

describe('a start that was answered by a later copy a minute ago', () => {
  // Guards against stored lists of unanswered starts that outlive these, so that
  // each later term takes them for new and withholds acknowledgements again.
  test('does not delay the acknowledgement in the next term', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: RUN_TIME_MS, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(RUN_TIME_MS - 2_000);
    scheduler.retire();
    const successor = await cell.startTerm(2);
    await cell.time.advance(5_000);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
    assert.deepEqual(
      cell.workers.acknowledgedEnds.map(({task}) => task),
      ['aa.0.0.0'],
    );
  });
});
