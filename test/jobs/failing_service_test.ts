import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as jobRecord from '../../src/jobs/job_record.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

/** Tasks of the widest service on the users' sites. */
const TASK_COUNT = 48;

const RUN_TIME_MS = 75;

/** Size that the record of a job that fails for ever stays under. */
const RECORD_LIMIT_BYTES = 64 * 1_024;

const FAILS_AT_ONCE: workerModel.RunPlan = () => ({
  runTimeMs: RUN_TIME_MS,
  outcome: 'failed',
});

const SERVICE = jobCell.jobOf('service', {
  count: TASK_COUNT,
  longRunning: true,
  size: {...jobCell.STEP.size, processors: 100},
});

function recordBytes(cell: jobCell.JobCell): number {
  const progress = cell.journal.progress.get('service');
  return JSON.stringify(progress ?? {}).length;
}

describe('a service whose tasks fail at once', () => {
  // Guards against a record that grows with each failure until the store refuses
  // it, and with it every other record of the cell.
  test('keeps a record of constant size', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(FAILS_AT_ONCE, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, SERVICE);
    await cell.time.advance(2_000);
    const early = recordBytes(cell);
    await cell.time.advance(20_000);
    assert.ok(cell.startsOf('service').length > 4 * TASK_COUNT);
    assert.equal(recordBytes(cell), early);
    assert.ok(early < RECORD_LIMIT_BYTES);
  });

  // Guards against a loop of starts and failures that takes up the scheduler: ten
  // starts a second and task, where one in a few seconds serves as well.
  test('is restarted ever more rarely, at least each five seconds', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(FAILS_AT_ONCE, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, SERVICE);
    await cell.time.advance(60_000);
    const starts = cell.startsOf('service.0.0.0');
    const loopCount = 60_000 / (2 * RUN_TIME_MS);
    assert.ok(starts.length < loopCount / 5, `${starts.length} starts`);
    assert.ok(starts.length > 60_000 / 5_000, `${starts.length} starts`);
    const [first, second] = starts;
    assert.ok(second.atMs - first.atMs < 2 * RUN_TIME_MS + 100);
  });

  // Guards against a delay that a sound task inherits from earlier failures.
  test('is restarted at once after a run that lasted', async () => {
    const cell = new jobCell.JobCell();
    let runCount = 0;
    cell.addWorkers(() => {
      runCount += 1;
      const runTimeMs = runCount < 6 ? RUN_TIME_MS : 15_000;
      return {runTimeMs, outcome: 'failed'};
    }, 'one');
    const scheduler = await cell.startTerm(1);
    const step = SERVICE.steps[0];
    jobCell.submit(scheduler, jobCell.jobOf('service', {...step, count: 1}));
    await cell.time.advance(60_000);
    const starts = cell.startsOf('service').map(({atMs}) => atMs);
    const afterSoundRun = starts[6] - starts[5] - 15_000;
    assert.ok(starts[5] - starts[4] > 1_000, 'no delay before');
    assert.ok(afterSoundRun < 300, `${afterSoundRun} ms`);
  });

  // Guards against a successor that carries on with the list that an earlier
  // version has stored.
  test('shrinks the record that an earlier version has stored', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(FAILS_AT_ONCE, 'one');
    const first = await cell.startTerm(1);
    jobCell.submit(first, SERVICE);
    await cell.time.advance(500);
    first.retire();
    const failed = Array.from(
      {length: 30_000},
      (_unused, index) => [index % TASK_COUNT, index] as const,
    );
    const step = {occurrence: 0, position: 0, done: [], checkpoints: []};
    const stored: jobRecord.JobProgress = {
      outcome: 'open',
      started: true,
      steps: [{...step, failed}],
    };
    cell.journal.progress.set('service', stored);
    assert.ok(recordBytes(cell) > 262_144);
    const successor = await cell.startTerm(2);
    successor.cancel('orders', 'service', () => {});
    await cell.time.advance(1_000);
    assert.ok(recordBytes(cell) < 1_024, `${recordBytes(cell)} bytes`);
    assert.equal(successor.stateOf('orders', 'service'), 'cancelled');
  });

  // Guards against a cell that no job ends in any more: progress that the store
  // can't hold ends its own job and no other.
  test('ends a job whose progress the store can not hold', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(({task}) => {
      const index = Number(task.split('.')[3]);
      return {runTimeMs: 500 + 10 * index, outcome: 'done'};
    }, 'one');
    const scheduler = await cell.startTerm(1);
    const size = {...jobCell.STEP.size, processors: 10, memory: 1};
    jobCell.submit(scheduler, jobCell.jobOf('large', {count: 300, size}));
    jobCell.submit(scheduler, jobCell.jobOf('small', {}));
    await cell.time.advance(500);
    cell.journal.recordLimitBytes = 600;
    await cell.time.advance(5_000);
    assert.equal(scheduler.stateOf('orders', 'large'), 'failed');
    assert.equal(scheduler.stateOf('orders', 'small'), 'completed');
    assert.equal(scheduler.isServing, true);
  });

  // Guards against a caller that gets no answer: its job does not fit a record.
  test('refuses a job whose definition the store can not hold', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.recordLimitBytes = 2_000;
    const definition = {
      ...jobCell.jobOf('large', {}),
      payload: 'x'.repeat(2_000),
    };
    const large = jobCell.submit(scheduler, definition);
    const small = jobCell.submit(scheduler, jobCell.jobOf('small', {}));
    await cell.time.advance(500);
    assert.deepEqual(large.outcome, {
      kind: 'refused',
      reason: 'recordTooLarge',
      retryAfterSeconds: 1,
    });
    assert.equal(small.outcome?.kind, 'accepted');
    assert.equal(scheduler.knows('large'), false);
  });

  // Guards against a write to the store for each end that changes nothing there.
  test('stores nothing for a failure that does not count', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(FAILS_AT_ONCE, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, SERVICE);
    await cell.time.advance(2_000);
    const {appendCount} = cell.journal;
    const startCount = cell.startsOf('service').length;
    await cell.time.advance(20_000);
    assert.ok(cell.startsOf('service').length >= startCount + TASK_COUNT);
    assert.ok(cell.journal.appendCount - appendCount <= 1);
  });
});
