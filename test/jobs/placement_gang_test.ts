import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 300;

/** So many gangs that examining each on all workers exceeds one turn. */
const GANG_COUNT = 20;

const GANG_SIZE = 2;

const MAXIMUM_TURNS = 20;

const QUEUE: job.Queue = {...jobCell.QUEUE, attempts: 3};

const BATCH_QUEUE: job.Queue = {
  ...QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  objectiveMs: 600_000,
};

/** Returns a cell in which one member of each gang has failed. */
async function buildCellWithFailedMembers(): Promise<backlogCell.BacklogCell> {
  const cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    queues: [QUEUE, BATCH_QUEUE],
  });
  await cell.begin();
  for (let index = 0; index < GANG_COUNT; index += 1) {
    cell.submit(`gang${index}`, {count: GANG_SIZE, gang: true});
  }
  await cell.runTurns();
  assert.equal(cell.workers.starts.length, GANG_COUNT * GANG_SIZE);
  for (const start of cell.workers.starts) {
    if (!start.task.endsWith('.0')) continue;
    cell.workers.endRun(start, 'failed');
    // A worker reports again after its last report was handled.
    await cell.runTurns(1);
  }
  return cell;
}

describe('gangs of which members still run', () => {
  // Guards against passes that never end because each slice examines the same
  // gangs again, so that less urgent steps are never reached.
  test('do not delay a less urgent step that fits', async () => {
    const cell = await buildCellWithFailedMembers();
    const startsBefore = cell.workers.starts.length;
    const single = cell.jobOf('single');
    jobCell.submit(cell.scheduler, {...single, queue: BATCH_QUEUE.name});
    const turns = await cell.runTurns(MAXIMUM_TURNS);
    const starts = cell.workers.starts.slice(startsBefore);
    assert.deepEqual(
      starts.map(({task}) => task),
      ['single.0.0.0'],
    );
    assert.ok(!cell.hasTurn, `the pass goes on after ${turns.length} turns`);
  });

  // Guards against slices that follow each other while nothing changes.
  test('are passed over in a single slice', async () => {
    const cell = await buildCellWithFailedMembers();
    await cell.runTurns(MAXIMUM_TURNS);
    cell.nowMs += 10;
    cell.scheduler.tick();
    const turns = await cell.runTurns(MAXIMUM_TURNS);
    const pairs = turns.map(({examinedPairs}) => examinedPairs);
    assert.deepEqual(pairs, [0]);
  });

  // Guards against a gang that is forgotten while its members end.
  test('start again once all members have ended', async () => {
    const cell = await buildCellWithFailedMembers();
    await cell.runTurns(MAXIMUM_TURNS);
    const startsBefore = cell.workers.starts.length;
    const member = cell.workers.starts.find(({task}) => task === 'gang7.0.0.1');
    assert.ok(member !== undefined, 'the member was started');
    cell.workers.endRun(member, 'failed');
    await cell.runTurns(MAXIMUM_TURNS);
    const starts = cell.workers.starts.slice(startsBefore);
    assert.deepEqual(
      starts.map(({task, run}) => ({task, run})),
      [
        {task: 'gang7.0.0.0', run: 2},
        {task: 'gang7.0.0.1', run: 2},
      ],
    );
  });
});
