import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const BATCH_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  stretch: 4,
};

function batchOf(id: string, step: Partial<job.Step>): job.JobDefinition {
  return {...jobCell.jobOf(id, step), queue: BATCH_QUEUE.name};
}

/** Six seconds for jobs whose id starts with `b`, else one second. */
const RUNTIME_BY_JOB = (command: {
  task: string;
}): {runTimeMs: number; outcome: 'done'} => ({
  runTimeMs: command.task.startsWith('b') ? 6_000 : 1_000,
  outcome: 'done',
});

describe('preemption', () => {
  // Load: batch runs of six seconds occupy all workers when urgent work with
  // half a second of slack arrives. Guards against urgent work that waits for them.
  test('stops checkpointing batch runs for urgent work', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [jobCell.QUEUE, BATCH_QUEUE];
    cell.addWorkers(RUNTIME_BY_JOB, 'one', 'two');
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

  // Guards against lost work: without a checkpoint a run starts from scratch.
  test('spares batch runs without checkpoints', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [jobCell.QUEUE, BATCH_QUEUE];
    cell.addWorkers(RUNTIME_BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, batchOf('b1', {count: 8}));
    await cell.time.advance(1_900);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 3}));
    await cell.time.advance(1_000);
    assert.equal(cell.startsOf('a1').length, 0);
  });
});

describe('advice requests', () => {
  const ADVISED_QUEUE: job.Queue = {
    ...BATCH_QUEUE,
    advice: {decideMs: 500, eachMs: 10, validMs: 2_500},
  };

  function provideAdvice(cell: jobCell.JobCell, asked: string[]): void {
    cell.queues = [
      {...jobCell.QUEUE, advice: {decideMs: 20, eachMs: 0, validMs: 2_500}},
      ADVISED_QUEUE,
    ];
    cell.advice = {
      accepts: () => true,
      ask: async (step, workerIds, expectedMs) => {
        asked.push(step);
        await cell.time.delay(expectedMs);
        const tickets: adviceCache.Ticket[] = workerIds.map(workerId => ({
          workerId,
          ticket: `ticket-${workerId}`,
        }));
        return {kind: 'advised', tickets};
      },
    };
  }

  // Load: many batch jobs wait, and only one fits. Guards against
  // requests for tickets that expire unused and delay others at the service.
  test('are sent only if capacity is left that no other step will take', async () => {
    const cell = new jobCell.JobCell();
    const asked: string[] = [];
    provideAdvice(cell, asked);
    cell.addWorkers(RUNTIME_BY_JOB, 'one');
    const scheduler = await cell.startTerm(1);
    for (let index = 0; index < 6; index += 1) {
      jobCell.submit(scheduler, batchOf(`b${index}`, {count: 4}));
    }
    await cell.time.advance(3_000);
    assert.equal(cell.startsOf('b').length, 4);
    assert.equal(asked.length, 1);
  });

  // Load: the service is always busy. Guards against a call for the step that
  // happens to ask when the service becomes free, ahead of more urgent steps.
  test('are sent in order of urgency when the service becomes free', async () => {
    const cell = new jobCell.JobCell();
    const asked: string[] = [];
    cell.queues = [ADVISED_QUEUE];
    let isBusy = false;
    cell.advice = {
      accepts: () => !isBusy,
      ask: async (step, _workerIds, expectedMs) => {
        if (isBusy) return {kind: 'busy'};
        isBusy = true;
        asked.push(step);
        await cell.time.delay(expectedMs);
        isBusy = false;
        return {kind: 'advised', tickets: []};
      },
    };
    cell.addWorkers(RUNTIME_BY_JOB, 'one', 'two', 'three');
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

  // Load: most workers are full, and tasks end all the time. Guards against
  // calls that name only one worker and return at most one ticket.
  test('name workers without free capacity as well', async () => {
    const cell = new jobCell.JobCell();
    const named: Array<ReadonlyArray<string>> = [];
    provideAdvice(cell, []);
    const {ask} = cell.advice;
    cell.advice = {
      accepts: () => true,
      ask: (step, workerIds, expectedMs) => {
        if (step.startsWith('b')) named.push(workerIds);
        return ask(step, workerIds, expectedMs);
      },
    };
    cell.addWorkers(RUNTIME_BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 5}));
    await cell.time.advance(200);
    jobCell.submit(scheduler, batchOf('b1', {count: 6}));
    await cell.time.advance(100);
    assert.equal(named.length, 1);
    assert.deepEqual([...named[0]].sort(), ['one', 'two']);
  });

  // Guards against starts that a worker rejects because its ticket is missing.
  test('provide each start with the ticket of its worker', async () => {
    const cell = new jobCell.JobCell();
    provideAdvice(cell, []);
    cell.addWorkers(RUNTIME_BY_JOB, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {count: 6}));
    await cell.time.advance(200);
    assert.equal(cell.startsOf('a1').length, 6);
  });
});

describe('a worker that fails all of its runs', () => {
  // Load: a black hole worker fails runs at once, so it always has free
  // capacity. Guards against jobs that use up all their attempts there.
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
  // Guards against members that reserve capacity while others have none: the
  // gang has to wait for seven free cores.
  test('starts once all of its tasks fit, with one run number', async () => {
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

describe('a long-running task', () => {
  // Guards against a service that stays down after its run failed: the limit of
  // attempts must not apply to it.
  test('is restarted after every failure', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 400, outcome: 'failed'}), 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {longRunning: true}));
    await cell.time.advance(12_000);
    assert.ok(cell.startsOf('a1').length >= 4);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'running');
  });
});

describe('a draining worker', () => {
  // Guards against a service that is down until the lease of the worker that
  // left has expired.
  test('hands over its long-running tasks before it leaves', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {longRunning: true}));
    await cell.time.advance(1_500);
    cell.entries = [jobCell.registryEntry('one', {state: 'draining'})];
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(600);
    const starts = cell.startsOf('a1');
    assert.deepEqual(
      starts.map(event => event.worker),
      ['one', 'two'],
    );
  });

  // Guards against moving a run that would have ended before the worker leaves.
  test('keeps runs that end before it leaves', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(200);
    cell.entries = [jobCell.registryEntry('one', {state: 'draining'})];
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('a1').length, 1);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'completed');
  });
});
