import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const ADVISED_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  advice: {decideMs: 600, eachMs: 8, validMs: 2_500},
};

/** Time that the service needs for a call that names 30 workers. */
const CALL_MS = 840;

const WORKER_COUNT = 120;

/** Cell whose advice service allows a third of the workers. */
async function startCell(taskCount: number): Promise<{
  readonly cell: jobCell.JobCell;
  readonly asked: ReadonlyArray<ReadonlyArray<string>>;
}> {
  const cell = new jobCell.JobCell();
  const asked: Array<ReadonlyArray<string>> = [];
  cell.queues = [ADVISED_QUEUE];
  for (let index = 0; index < WORKER_COUNT; index += 1) {
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), `w${index}`);
  }
  cell.advice = {
    accepts: () => true,
    ask: async (_step, workerIds) => {
      asked.push(workerIds);
      await cell.time.delay(CALL_MS);
      const tickets = workerIds
        .filter(id => Number(id.slice(1)) % 3 === 0)
        .map(workerId => ({workerId, ticket: `ticket of ${workerId}`}));
      return {kind: 'advised', tickets};
    },
  };
  const scheduler = await cell.startTerm(1);
  const size = {...jobCell.STEP.size, processors: 4_000};
  jobCell.submit(scheduler, jobCell.jobOf('wide', {count: taskCount, size}));
  return {cell, asked};
}

describe('requests for tickets', () => {
  // Load: a step of 36 tasks, as wide as services are, on workers of which a
  // third may run it. Guards against tasks that wait for one call after the
  // other while the service has VMs to spare, until the first tickets expire.
  test('a wide step asked about 30 workers at a time: asks about several sets at once', async () => {
    const {cell, asked} = await startCell(36);
    await cell.time.advance(CALL_MS + 200);
    assert.equal(cell.startsOf('wide').length, 36);
    assert.equal(asked.length, 4);
    const named = asked.flat();
    assert.equal(new Set(named).size, named.length, 'no worker is named twice');
  });

  // Guards against calls for tickets that a step has no tasks for.
  test('asks once at a time for a narrow step', async () => {
    const {cell, asked} = await startCell(6);
    await cell.time.advance(CALL_MS - 100);
    assert.equal(asked.length, 1);
  });

  // Load: 30 jobs whose second steps will be ready soon, and no VM that takes a
  // call. Guards against a full loop that looks for a VM anew for each of them
  // in each tick.
  test('looks for a VM once in a tick while none takes a call', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = [ADVISED_QUEUE];
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      cell.addWorkers(
        () => ({runTimeMs: 60_000, outcome: 'done'}),
        `w${index}`,
      );
    }
    let isFull = false;
    let askedForVms = 0;
    cell.advice = {
      accepts: () => {
        askedForVms += 1;
        return !isFull;
      },
      ask: async (_step, workerIds) => ({
        kind: 'advised',
        tickets: workerIds.map(workerId => ({workerId, ticket: 'ticket'})),
      }),
    };
    const scheduler = await cell.startTerm(1);
    for (let index = 0; index < 30; index += 1) {
      const definition = jobCell.jobOf(`job${index}`, {}, {after: [0]});
      jobCell.submit(scheduler, definition);
    }
    await cell.time.advance(50);
    assert.equal(cell.startsOf('job0').length, 1);
    // The tickets that were requested ahead of time expire.
    isFull = true;
    await cell.time.advance(3_000);
    askedForVms = 0;
    await cell.time.advance(1_000);
    assert.ok(askedForVms > 0, 'steps will be ready soon');
    assert.ok(askedForVms <= 20, `asked ${askedForVms} times in 10 ticks`);
  });
});
