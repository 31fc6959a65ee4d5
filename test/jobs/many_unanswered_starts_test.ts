import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const RUN_TIME_MS = 1_100;

/** Run time of the first tasks, which have not ended when their worker does. */
const LONG_RUN_TIME_MS = 20_000;

/** Number of the first tasks. */
const LONG_RUN_COUNT = 100;

const PLAN: workerModel.RunPlan = ({task}) => ({
  runTimeMs:
    Number(task.split('.').at(-1)) < LONG_RUN_COUNT
      ? LONG_RUN_TIME_MS
      : RUN_TIME_MS,
  outcome: 'done',
});

/**
 * Starts a wide job of which every start has a late copy, lets a second term
 * take over, and restarts the worker before the copies arrive.
 */
async function restartBeforeLateCopies(
  taskCount: number,
): Promise<jobCell.JobCell> {
  const cell = new jobCell.JobCell();
  const base = jobCell.registryEntry('one');
  const entry = {
    ...base,
    capacity: {...base.capacity, processors: 4_000_000, memory: 16_000_000},
  };
  cell.addWorker(entry, PLAN);
  const scheduler = await cell.startTerm(1);
  await cell.time.advance(200);
  cell.workers.commandDelayMs = () => 3_000;
  jobCell.submit(scheduler, jobCell.jobOf('aa', {count: taskCount}));
  await cell.time.advance(100);
  cell.workers.commandDelayMs = () => 0;
  await cell.time.advance(1_000);
  scheduler.retire();
  await cell.startTerm(2);
  await cell.time.advance(1_000);
  assert.equal(cell.startsOf('aa').length, taskCount, 'not all were started');
  cell.workers.byAddress.get('one:1')?.crash();
  await cell.time.advance(700);
  const next = {...entry, born: 2, service: 'annex'};
  cell.entries = [next];
  cell.workers.add(next, PLAN, cell.time.now());
  await cell.time.advance(10_000);
  assert.ok(cell.startsOf('aa').length > taskCount, 'no copy has arrived');
  return cell;
}

describe('a job whose starts got no answer from the last term', () => {
  // Guards against successes that the next term acknowledges at once, because
  // the stored progress lists only some of the tasks.
  test('has 120 tasks: none starts after an acknowledged success', async () => {
    const cell = await restartBeforeLateCopies(120);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});
