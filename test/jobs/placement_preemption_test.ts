import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 300;

/** Tasks of a core that fit one worker. */
const TASKS_PER_WORKER = 4;

/** So many steps that one pass takes more turns than the test runs. */
const BACKLOG = 1_200;

/** Age at which runs are still too young to be preempted. */
const YOUNG_RUN_AGE_MS = 500;

/** Time after which the runs are old enough. */
const AGEING_MS = 1_000;

const URGENT_QUEUE: job.Queue = {...jobCell.QUEUE, objectiveMs: 600_000};

const BATCH_QUEUE: job.Queue = {
  ...URGENT_QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
};

/** Returns a cell whose workers are full of runs that can be preempted. */
async function buildPreemptibleCell(): Promise<backlogCell.BacklogCell> {
  const cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    queues: [URGENT_QUEUE, BATCH_QUEUE],
  });
  await cell.begin();
  const count = WORKER_COUNT * TASKS_PER_WORKER;
  submitBatch(cell, cell.jobOf('fill', {count, checkpointing: true}));
  await cell.runTurns();
  assert.equal(cell.workers.starts.length, count);
  for (let index = 0; index < WORKER_COUNT; index += 1) {
    cell.workers.reportRunning(`w${index}`);
  }
  await cell.runTurns();
  return cell;
}

function submitBatch(
  cell: backlogCell.BacklogCell,
  definition: job.JobDefinition,
): void {
  jobCell.submit(cell.scheduler, {...definition, queue: BATCH_QUEUE.name});
}

describe('preemption during a long placement pass', () => {
  // Guards against plans from the start of a pass that keep an urgent step from
  // being planned for again until the pass ends.
  test('is planned again when runs have become old enough', async () => {
    const cell = await buildPreemptibleCell();
    cell.nowMs += YOUNG_RUN_AGE_MS;
    cell.submit('urgent');
    for (let index = 0; index < BACKLOG; index += 1) {
      submitBatch(cell, cell.jobOf(`wait${index}`));
    }
    await cell.runTurns(3);
    assert.equal(cell.workers.stops.length, 0);
    cell.nowMs += AGEING_MS;
    await cell.runTurns(3);
    assert.ok(cell.hasTurn, 'the pass goes on');
    assert.equal(cell.workers.stops.length, 1);
  });
});
