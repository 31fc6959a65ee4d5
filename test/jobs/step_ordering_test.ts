import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as runtimeModel from '../../src/jobs/runtime_model.js';
import * as stepOrdering from '../../src/jobs/step_ordering.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const CORES = 8_000;
const BATCH: job.Queue = {...jobCell.QUEUE, name: 'batch', priority: 2};

function waiting(
  id: string,
  queue: job.Queue,
  arrivedAt: number,
  step: Partial<job.Step> = {},
): stepOrdering.WaitingStep {
  const definition = {...jobCell.jobOf(id, step), queue: queue.name};
  const record = new jobRecord.JobRecord(definition, arrivedAt);
  return {step: record.steps[0], queue};
}

function orderAt(
  now: number,
  ...steps: ReadonlyArray<stepOrdering.WaitingStep>
): ReadonlyArray<string> {
  return stepOrdering
    .sortByUrgency(
      steps,
      now,
      step => step.definition.estimatedRuntimeMs,
      () => CORES,
    )
    .map(({step}) => step.owner.definition.id);
}

describe('the order of waiting work', () => {
  // Guards against urgent work behind a flood of batches.
  test('puts the urgent queue first', () => {
    const order = orderAt(
      100,
      waiting('batch', BATCH, 0),
      waiting('urgent', jobCell.QUEUE, 90),
    );
    assert.deepEqual(order, ['urgent', 'batch']);
  });

  // Guards against room for work that is late anyway while work that could be
  // on time becomes late too: a burst of urgent jobs that was not all served.
  test('puts jobs that are late already behind the next queue', () => {
    const nextQueue = {...BATCH, priority: 1};
    const order = orderAt(
      3_000,
      waiting('late', jobCell.QUEUE, 0),
      waiting('fresh', jobCell.QUEUE, 2_900),
      waiting('next', nextQueue, 2_900),
      waiting('batch', BATCH, 2_900),
    );
    assert.deepEqual(order, ['fresh', 'next', 'late', 'batch']);
  });

  // Guards against a job that earns nothing any more before all that does.
  test('puts jobs last that have passed three times their objective', () => {
    const order = orderAt(
      10_000,
      waiting('worthless', jobCell.QUEUE, 0),
      waiting('batch', BATCH, 9_900),
    );
    assert.deepEqual(order, ['batch', 'worthless']);
  });

  // Guards against a few large jobs that make many small ones late.
  test('lets a small job pass a large one that came before it', () => {
    const order = orderAt(
      200,
      waiting('large', BATCH, 0, {count: 40}),
      waiting('small', BATCH, 100, {count: 1}),
    );
    assert.deepEqual(order, ['small', 'large']);
  });

  // Guards against large jobs that never get their turn.
  test('lets a large job go first once it has waited for long', () => {
    const long = {count: 10, estimatedRuntimeMs: 20_000};
    const order = orderAt(
      9_500,
      waiting('large', {...BATCH, stretch: 3}, 0, {...long, count: 12}),
      waiting('small', {...BATCH, stretch: 3}, 9_400, {...long, count: 8}),
    );
    assert.equal(order.length, 2);
    assert.deepEqual(
      orderAt(
        29_000,
        waiting('large', {...BATCH, stretch: 4}, 0, {...long, count: 12}),
        waiting('small', {...BATCH, stretch: 4}, 28_900, {...long, count: 11}),
      ),
      ['large', 'small'],
    );
  });
});

describe('the prediction of runtimes', () => {
  // Guards against decisions by estimates that say nothing.
  test('goes by experience where estimates are worthless', () => {
    const model = new runtimeModel.RuntimeModel();
    for (let index = 0; index < 20; index += 1) {
      model.observe('orders', index % 2 === 0 ? 100 : 4_000, 1_000);
    }
    assert.ok(Math.abs(model.predict('orders', 100) - 1_000) < 1);
    assert.ok(Math.abs(model.predict('orders', 4_000) - 1_000) < 1);
  });

  // Guards against estimates that are thrown away though they are good.
  test('goes by estimates where they have proved good', () => {
    const model = new runtimeModel.RuntimeModel();
    for (let index = 1; index <= 20; index += 1) {
      model.observe('orders', index * 100, index * 200);
    }
    assert.ok(Math.abs(model.predict('orders', 1_500) - 3_000) < 1);
  });

  // Guards against a guess from one or two tasks.
  test('is the estimate while little is known', () => {
    const model = new runtimeModel.RuntimeModel();
    model.observe('orders', 100, 9_000);
    assert.equal(model.predict('orders', 300), 300);
  });
});
