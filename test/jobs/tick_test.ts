import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import * as roundRobin from '../../src/jobs/round_robin.js';

const {describe, test} = nodeTest;

/** Most changes that one call to the store may carry. */
const MAXIMUM_BATCH_SIZE = 250;

describe('the work of a tick', () => {
  // Guards against a burst of commands in one turn after many workers lost the
  // answers to their starts.
  test('sends a limited number of retries, the oldest first', async () => {
    const cell = new backlogCell.BacklogCell({workerCount: 100});
    await cell.begin();
    cell.workers.answersStarts = false;
    cell.submit('wide', {count: 400});
    await cell.runTurns();
    // The first retries follow each lost answer without a delay.
    for (let loss = 0; loss < 4; loss += 1) {
      cell.workers.loseStarts();
      await cell.runTurns();
    }
    const retried = new Set<string>();
    for (let tick = 0; tick < 4; tick += 1) {
      const sentBefore = cell.workers.starts.length;
      cell.nowMs += 410;
      cell.scheduler.tick();
      const sent = cell.workers.starts.slice(sentBefore);
      assert.ok(sent.length <= 100, `${sent.length} commands in one tick`);
      for (const {task} of sent) retried.add(task);
    }
    assert.equal(retried.size, 400);
  });

  // Guards against jobs that are kept for ever, or all dropped in one turn.
  test('drops a limited number of settled jobs', async () => {
    const jobs = Array.from({length: 300}, (_unused, index) => ({
      definition: jobCell.jobOf(`job${index}`, {}),
      progress: {outcome: 'completed', started: true, steps: []} as const,
    }));
    const stored = {jobs, workers: [], queues: []};
    const cell = new backlogCell.BacklogCell({workerCount: 1, stored});
    await cell.begin();
    const droppedCount = (): number =>
      cell.journal.changes.filter(({kind}) => kind === 'dropped').length;
    cell.nowMs += 119_000;
    cell.scheduler.tick();
    await cell.runTurns();
    assert.equal(droppedCount(), 0);
    cell.nowMs += 2_000;
    for (const count of [100, 200, 300, 300]) {
      cell.scheduler.tick();
      await cell.runTurns();
      assert.equal(droppedCount(), count);
    }
  });

  // Guards against one turn that encodes thousands of changes after an outage of
  // the store.
  test('never stores an unlimited number of changes in one call', async () => {
    const cell = new backlogCell.BacklogCell({workerCount: 1});
    await cell.begin();
    for (let index = 0; index < 1_000; index += 1) {
      cell.submit(`job${index}`);
    }
    await cell.runTurns();
    const definitions = cell.journal.changes.filter(
      ({kind}) => kind === 'definition',
    );
    assert.equal(definitions.length, 1_000);
    for (const size of cell.journal.batchSizes) {
      assert.ok(size <= MAXIMUM_BATCH_SIZE, `${size} changes in one call`);
    }
  });
});

describe('a round robin', () => {
  // Guards against items that are never visited because others come and go.
  test('visits each item although the collection changes', () => {
    const items = new Set([1, 2, 3, 4, 5]);
    const visits = new roundRobin.RoundRobin(() => items);
    assert.deepEqual(visits.take(2), [1, 2]);
    items.delete(3);
    items.add(6);
    assert.deepEqual(visits.take(2), [4, 5]);
    assert.deepEqual(visits.take(2), [6]);
    assert.deepEqual(visits.take(9), [1, 2, 4, 5, 6]);
  });
});
