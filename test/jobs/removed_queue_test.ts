import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';

const {describe, test} = nodeTest;
const {configurationOf} = scriptedConfigurationSource;

const OTHER_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'inspections',
  pathPrefix: '/inspections/',
};

/** Job with one step after another, of a second each. */
function chainOf(id: string, length: number): job.JobDefinition {
  const steps = Array.from({length}, (_unused, index) => ({
    after: index === 0 ? [] : [index - 1],
  }));
  return jobCell.jobOf(id, ...steps);
}

/** Starts a cell whose queue is removed after it has accepted a job. */
async function acceptThenRemoveQueue(): Promise<{
  readonly cell: jobCell.JobCell;
  readonly first: jobScheduler.JobScheduler;
}> {
  const cell = new jobCell.JobCell();
  cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1', 'w2');
  const first = await cell.startTerm(1);
  const submitted = jobCell.submit(first, chainOf('chain', 3));
  await cell.time.advance(500);
  assert.equal(submitted.outcome?.kind, 'accepted');
  cell.configurationVersion = 2;
  cell.queues = [OTHER_QUEUE];
  first.configure(configurationOf(2, cell.queues));
  return {cell, first};
}

describe('jobs of a removed queue', () => {
  test('continue under its last definition', async () => {
    const {cell, first} = await acceptThenRemoveQueue();
    await cell.time.advance(6_000);
    assert.equal(first.stateOf(jobCell.QUEUE.name, 'chain'), 'completed');
  });

  // Guards against accepted jobs that a successor never places, because the
  // definition of their queue was only in the memory of its predecessor.
  test('a successor forgot the removed queue of an accepted job: continues it', async () => {
    const {cell, first} = await acceptThenRemoveQueue();
    first.retire();
    const second = await cell.startTerm(2);
    await cell.time.advance(20_000);
    assert.equal(second.stateOf(jobCell.QUEUE.name, 'chain'), 'completed');
  });

  // Guards against a successor with an older version that places jobs on the
  // service from which their queue has moved away.
  test('a successor knew an older definition of a queue: uses the stored one', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'old');
    cell.addWorker(jobCell.registryEntry('new', {service: 'annex'}));
    const moved = {...jobCell.QUEUE, service: 'annex'};
    const first = await cell.startTerm(1);
    first.configure(configurationOf(5, [moved]));
    jobCell.submit(first, chainOf('chain', 3));
    await cell.time.advance(500);
    first.retire();
    const second = await cell.startTerm(2);
    await cell.time.advance(20_000);
    assert.equal(second.stateOf(jobCell.QUEUE.name, 'chain'), 'completed');
    const used = new Set(cell.startsOf('chain').map(({worker}) => worker));
    assert.deepEqual([...used], ['new']);
  });

  // Guards against jobs of an earlier release, whose journal has no queues.
  test('are continued after the release that did not store their queue', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1');
    cell.journal.definitions.set('chain', chainOf('chain', 3));
    const first = await cell.startTerm(1);
    await cell.time.advance(100);
    first.configure(configurationOf(2, [OTHER_QUEUE]));
    first.retire();
    cell.configurationVersion = 2;
    cell.queues = [OTHER_QUEUE];
    const second = await cell.startTerm(2);
    await cell.time.advance(25_000);
    assert.equal(second.stateOf(jobCell.QUEUE.name, 'chain'), 'completed');
  });

  // Guards against a journal that grows with each version of a configuration.
  test('store a definition once, and drop it when no job is left', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1', 'w2');
    const first = await cell.startTerm(1);
    jobCell.submit(first, chainOf('one', 1));
    await cell.time.advance(100);
    assert.equal(cell.journal.queueWriteCount, 1);
    for (let version = 2; version < 9; version += 1) {
      first.configure(configurationOf(version, [{...jobCell.QUEUE}]));
      jobCell.submit(first, chainOf(`job-${version}`, 1));
      await cell.time.advance(100);
    }
    assert.equal(cell.journal.queueWriteCount, 1);
    first.configure(configurationOf(9, [OTHER_QUEUE]));
    // Longer than the state of settled jobs is kept.
    await cell.time.advance(140_000);
    first.retire();
    cell.queues = [OTHER_QUEUE];
    cell.configurationVersion = 9;
    await cell.startTerm(2);
    await cell.time.advance(200);
    assert.deepEqual(cell.journal.queues, []);
  });
});

describe('a scheduler that knows of a newer configuration and lacks it', () => {
  // Guards against a refusal, which says that a job never runs, of a job that
  // an earlier call has brought.
  test('refused an accepted job on its second call: tells that it is accepted', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1');
    const scheduler = await cell.startTerm(1);
    const first = jobCell.submit(scheduler, chainOf('chain', 1));
    await cell.time.advance(100);
    cell.isConfigurationUsable = false;
    const second = jobCell.submit(scheduler, chainOf('chain', 1));
    await cell.time.advance(100);
    assert.equal(first.outcome?.kind, 'accepted');
    assert.equal(second.outcome?.kind, 'accepted');
  });

  // Guards against a job that runs although a later call with its id was told
  // that it never does.
  test('refuses a new job, and an earlier call with its id that arrives later', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1');
    const scheduler = await cell.startTerm(1);
    cell.isConfigurationUsable = false;
    const later = jobCell.submit(scheduler, chainOf('chain', 1));
    await cell.time.advance(100);
    cell.isConfigurationUsable = true;
    const overtaken = jobCell.submit(scheduler, chainOf('chain', 1));
    await cell.time.advance(5_000);
    assert.deepEqual(later.outcome, {
      kind: 'refused',
      reason: 'notReady',
      retryAfterSeconds: 1,
    });
    assert.equal(overtaken.outcome?.kind, 'refused');
    assert.deepEqual(cell.startsOf('chain'), []);
  });
});
