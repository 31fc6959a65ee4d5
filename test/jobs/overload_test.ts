import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const BATCH: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  stretch: 4,
};

function batchOf(id: string, step: Partial<job.Step>): job.JobDefinition {
  return {...jobCell.jobOf(id, step), queue: BATCH.name};
}

/** Runs last as long as their payload's step says: here by the job's id. */
const BY_JOB = (order: {
  task: string;
}): {runTimeMs: number; outcome: 'done'} => ({
  runTimeMs: order.task.startsWith('b') ? 6_000 : 1_000,
  outcome: 'done',
});

describe('a flood of batches before urgent work', () => {
  // The load pattern: batches of six seconds hold all room when work with half
  // a second of slack comes. Guards against urgent work that waits for them.
  test('gives way where it resumes from a checkpoint', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [jobCell.QUEUE, BATCH];
    cell.addWorkers(BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, batchOf('b1', {count: 8, checkpointing: true}));
    await cell.time.advance(1_900);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 3}));
    await cell.time.advance(500);
    assert.equal(cell.startsOf('a1').length, 3);
    const stopped = cell.workers.events.filter(
      event => event.kind === 'ended' && event.outcome === 'stopped',
    );
    assert.equal(stopped.length, 3, 'no more runs than the tasks need');
  });

  // Guards against work that is thrown away: it could not resume.
  test('is left alone where it has no checkpoints', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [jobCell.QUEUE, BATCH];
    cell.addWorkers(BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, batchOf('b1', {count: 8}));
    await cell.time.advance(1_900);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 3}));
    await cell.time.advance(1_000);
    assert.equal(cell.startsOf('a1').length, 0);
  });
});

describe('steps that wait for advice', () => {
  const ADVISED: job.Queue = {
    ...BATCH,
    advice: {decideMs: 500, eachMs: 10, validMs: 2_500},
  };

  function advising(cell: jobCell.JobCell, asked: string[]): void {
    cell.queues = [
      {...jobCell.QUEUE, advice: {decideMs: 20, eachMs: 0, validMs: 2_500}},
      ADVISED,
    ];
    cell.advice = {
      accepts: () => true,
      ask: async (step, workerIds, expectedMs) => {
        asked.push(step);
        await cell.time.pause(expectedMs);
        const tickets: adviceCache.Ticket[] = workerIds.map(workerId => ({
          workerId,
          ticket: `ticket-${workerId}`,
        }));
        return {kind: 'advised', tickets};
      },
    };
  }

  // The load pattern: many batches wait, room for one. Guards against calls for
  // tickets that run out unused and keep others waiting at the service.
  test('ask only when there is room that no other is about to take', async () => {
    const cell = new jobCell.JobCell();
    const asked: string[] = [];
    advising(cell, asked);
    cell.addWorkers(BY_JOB, 'one');
    const scheduler = await cell.startTerm(1);
    for (let index = 0; index < 6; index += 1) {
      jobCell.submit(scheduler, batchOf(`b${index}`, {count: 4}));
    }
    await cell.time.advance(3_000);
    assert.equal(cell.startsOf('b').length, 4);
    assert.equal(asked.length, 1);
  });

  // The load pattern: the service is busy all the time. Guards against its next
  // free moment going to whoever comes then, before more urgent steps.
  test('are asked about in their order when the service is free', async () => {
    const cell = new jobCell.JobCell();
    const asked: string[] = [];
    cell.queues = [ADVISED];
    let isBusy = false;
    cell.advice = {
      accepts: () => !isBusy,
      ask: async (step, _workerIds, expectedMs) => {
        if (isBusy) return {kind: 'busy'};
        isBusy = true;
        asked.push(step);
        await cell.time.pause(expectedMs);
        isBusy = false;
        return {kind: 'advised', tickets: []};
      },
    };
    cell.addWorkers(BY_JOB, 'one', 'two', 'three');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, batchOf('b0', {}));
    await cell.time.advance(100);
    jobCell.submit(scheduler, batchOf('b1', {}));
    await cell.time.advance(380);
    jobCell.submit(scheduler, batchOf('b2', {}));
    await cell.time.advance(80);
    jobCell.submit(scheduler, batchOf('b3', {}));
    await cell.time.advance(1_400);
    assert.deepEqual(
      asked.map(step => step.split('.')[0]),
      ['b0', 'b1', 'b2', 'b3'],
    );
  });

  // The load pattern: most workers are full and tasks end all the time. Guards
  // against calls that name one worker and bring no ticket or a single one.
  test('ask about workers without room too', async () => {
    const cell = new jobCell.JobCell();
    const named: Array<ReadonlyArray<string>> = [];
    advising(cell, []);
    const {ask} = cell.advice;
    cell.advice = {
      accepts: () => true,
      ask: (step, workerIds, expectedMs) => {
        if (step.startsWith('b')) named.push(workerIds);
        return ask(step, workerIds, expectedMs);
      },
    };
    cell.addWorkers(BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 5}));
    await cell.time.advance(200);
    jobCell.submit(scheduler, batchOf('b1', {count: 6}));
    await cell.time.advance(100);
    assert.equal(named.length, 1);
    assert.deepEqual([...named[0]].sort(), ['one', 'two']);
  });

  // Guards against starts that a worker refuses for want of a ticket.
  test('start with the ticket of their worker', async () => {
    const cell = new jobCell.JobCell();
    advising(cell, []);
    cell.addWorkers(BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 6}));
    await cell.time.advance(200);
    assert.equal(cell.startsOf('a1').length, 6);
  });
});

describe('a worker that fails all that it starts', () => {
  // The load pattern: a black hole ends runs at once and so attracts more.
  // Guards against jobs that lose all their attempts there.
  test('gets no more work after two jobs failed on it', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [{...jobCell.QUEUE, attempts: 3}];
    cell.addWorkers(() => ({runTimeMs: 20, outcome: 'failed'}), 'hole');
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two', 'three');
    const scheduler = await cell.startTerm(1);
    for (let index = 0; index < 8; index += 1) {
      jobCell.submit(scheduler, jobCell.jobOf(`a${index}`, {}));
    }
    await cell.time.advance(6_000);
    for (let index = 0; index < 8; index += 1) {
      assert.equal(scheduler.stateOf('orders', `a${index}`), 'completed');
    }
    const failures = cell.workers.events.filter(
      event => event.outcome === 'failed',
    );
    assert.ok(failures.length <= 6, `${failures.length} runs failed`);
  });
});

describe('a gang', () => {
  // Guards against members that wait for others which have no room.
  test('starts when all of its tasks have room, with one run number', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 3}));
    await cell.time.advance(100);
    jobCell.submit(scheduler, jobCell.jobOf('g1', {count: 7, gang: true}));
    await cell.time.advance(500);
    assert.equal(cell.startsOf('g1').length, 0);
    await cell.time.advance(1_500);
    const starts = cell.startsOf('g1');
    assert.equal(starts.length, 7);
    assert.equal(new Set(starts.map(event => event.run)).size, 1);
  });
});

describe('a task that lasts', () => {
  // Guards against a service that is not started again, and against a limit of
  // attempts where there is none.
  test('is started again however it ends', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 400, outcome: 'failed'}), 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {longRunning: true}));
    await cell.time.advance(12_000);
    assert.ok(cell.startsOf('a1').length >= 4);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'running');
  });
});

describe('a worker that is about to leave', () => {
  // Guards against a service that is away until the worker's lease is over.
  test('gives its lasting tasks to others while it is still there', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {longRunning: true}));
    await cell.time.advance(1_500);
    cell.entries = [jobCell.workerEntry('one', {state: 'draining'})];
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(600);
    const starts = cell.startsOf('a1');
    assert.deepEqual(
      starts.map(event => event.worker),
      ['one', 'two'],
    );
  });

  // Guards against work that is thrown away though it would be done in time.
  test('ends what it can end before', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(200);
    cell.entries = [jobCell.workerEntry('one', {state: 'draining'})];
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('a1').length, 1);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'completed');
  });
});
