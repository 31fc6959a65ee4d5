import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 300;

/** Tasks of a core that fit one worker. */
const TASKS_PER_WORKER = 4;

const BACKLOG = 1_200;

/** Most pairs of a step and a worker that one turn may look at. */
const MAXIMUM_PAIRS_PER_TURN = 8_000;

/** Turns in which a slice of a pass may find work that nothing else follows. */
const MAXIMUM_TURNS_PER_EVENT = 3;

const BATCH_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  objectiveMs: 600_000,
};

const ADVISED_QUEUE: job.Queue = {
  ...BATCH_QUEUE,
  name: 'advised',
  pathPrefix: '/advised/',
  priority: 1,
  advice: {decideMs: 100, eachMs: 1, validMs: 5_000},
};

/** Returns a cell whose workers are all full. */
async function buildFullCell(
  advice?: adviceCache.CellAdviceClient,
): Promise<backlogCell.BacklogCell> {
  const cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    queues: [jobCell.QUEUE, BATCH_QUEUE, ADVISED_QUEUE],
    advice,
  });
  await cell.begin();
  cell.submit('fill', {count: WORKER_COUNT * TASKS_PER_WORKER});
  await cell.runTurns();
  assert.equal(cell.workers.starts.length, WORKER_COUNT * TASKS_PER_WORKER);
  return cell;
}

function submitBacklog(cell: backlogCell.BacklogCell, queue: job.Queue): void {
  for (let index = 0; index < BACKLOG; index += 1) {
    const definition = cell.jobOf(`wait${index}`);
    jobCell.submit(cell.scheduler, {...definition, queue: queue.name});
  }
}

function totalPairs(turns: ReadonlyArray<backlogCell.Turn>): number {
  return turns.reduce((sum, turn) => sum + turn.examinedPairs, 0);
}

function assertBounded(turns: ReadonlyArray<backlogCell.Turn>): void {
  for (const {examinedPairs} of turns) {
    assert.ok(
      examinedPairs <= MAXIMUM_PAIRS_PER_TURN,
      `${examinedPairs} pairs in one turn`,
    );
  }
}

describe('a backlog on a full cell', () => {
  // Guards against one turn that looks at each worker for each waiting step:
  // pings and reports wait behind it.
  test('is examined in turns of bounded work', async () => {
    const cell = await buildFullCell();
    submitBacklog(cell, BATCH_QUEUE);
    const turns = await cell.runTurns();
    assert.ok(totalPairs(turns) >= BACKLOG * WORKER_COUNT);
    assertBounded(turns);
  });

  // Guards against a backlog that is examined again at each event, although no
  // capacity came free.
  test('is not examined again while nothing changes', async () => {
    const cell = await buildFullCell();
    submitBacklog(cell, BATCH_QUEUE);
    await cell.runTurns();
    cell.workers.reportUnchanged('w7');
    cell.nowMs += 10;
    cell.scheduler.tick();
    const turns = await cell.runTurns();
    assert.equal(totalPairs(turns), 0);
    assert.equal(turns.length, 1);
  });

  // Guards against a pass over all workers when one run ends on one of them.
  test('is compared only with the worker on which a run has ended', async () => {
    const cell = await buildFullCell();
    submitBacklog(cell, BATCH_QUEUE);
    await cell.runTurns();
    const startsBefore = cell.workers.starts.length;
    cell.workers.endRun(cell.workers.starts[5]);
    const turns = await cell.runTurns();
    const starts = cell.workers.starts.slice(startsBefore);
    assert.deepEqual(
      starts.map(({task}) => task),
      ['wait0.0.0.0'],
    );
    assert.equal(starts[0].worker, cell.workers.starts[5].worker);
    assert.ok(totalPairs(turns) <= 4 * BACKLOG, `${totalPairs(turns)} pairs`);
    assert.ok(turns.length <= MAXIMUM_TURNS_PER_EVENT);
  });

  // Guards against an urgent step that waits until the slices of a pass over a
  // batch backlog are through.
  test('does not delay an urgent step that arrives between slices', async () => {
    const cell = await buildFullCell();
    submitBacklog(cell, BATCH_QUEUE);
    await cell.runTurns(3);
    assert.ok(cell.hasTurn, 'the backlog takes more slices');
    cell.workers.endRun(cell.workers.starts[5]);
    cell.submit('urgent');
    const startsBefore = cell.workers.starts.length;
    await cell.runTurns(2);
    const starts = cell.workers.starts.slice(startsBefore);
    assert.equal(starts[0]?.task, 'urgent.0.0.0');
    await cell.runTurns();
  });

  // Guards against thousands of starts in one turn when much capacity comes
  // free at once.
  test('of one wide step is started over several turns', async () => {
    const cell = new backlogCell.BacklogCell({workerCount: WORKER_COUNT});
    await cell.begin();
    cell.submit('wide', {count: WORKER_COUNT * TASKS_PER_WORKER});
    let startsBefore = 0;
    while (cell.hasTurn || startsBefore === 0) {
      await cell.runTurns(1);
      const started = cell.workers.starts.length - startsBefore;
      assert.ok(started <= 150, `${started} starts in one turn`);
      startsBefore = cell.workers.starts.length;
    }
    assert.equal(startsBefore, WORKER_COUNT * TASKS_PER_WORKER);
  });
});

describe('a backlog that waits for advice', () => {
  // Guards against less urgent steps that take the capacity a step is about to
  // use when its tickets arrive, after the slice that reserved it has ended.
  test('keeps its reserved capacity in later slices', async () => {
    let answer: ((outcome: adviceCache.AdviceOutcome) => void) | undefined;
    const cell = await buildFullCell({
      accepts: () => answer === undefined,
      ask: () =>
        new Promise(resolve => {
          answer = resolve;
        }),
    });
    const first = cell.jobOf('first');
    jobCell.submit(cell.scheduler, {...first, queue: ADVISED_QUEUE.name});
    submitBacklog(cell, BATCH_QUEUE);
    await cell.runTurns();
    const freed = cell.workers.starts[5];
    const startsBefore = cell.workers.starts.length;
    cell.workers.endRun(freed);
    const turns = await cell.runTurns();
    assertBounded(turns);
    for (let tick = 0; tick < 5; tick += 1) {
      cell.nowMs += 10;
      cell.scheduler.tick();
      await cell.runTurns();
    }
    assert.equal(cell.workers.starts.length, startsBefore);
    assert.ok(answer !== undefined, 'tickets were requested');
    const tickets = [{workerId: freed.worker, ticket: 't'}];
    answer({kind: 'advised', tickets});
    await cell.runTurns();
    const starts = cell.workers.starts.slice(startsBefore);
    assert.deepEqual(
      starts.map(({task, worker}) => ({task, worker})),
      [{task: 'first.0.0.0', worker: freed.worker}],
    );
  });

  // Guards against capacity that stays reserved for a step that is cancelled.
  test('gives its reserved capacity to the next step when it is cancelled', async () => {
    const cell = await buildFullCell({
      accepts: () => true,
      ask: () => new Promise(() => {}),
    });
    const first = cell.jobOf('first');
    jobCell.submit(cell.scheduler, {...first, queue: ADVISED_QUEUE.name});
    submitBacklog(cell, BATCH_QUEUE);
    await cell.runTurns();
    cell.workers.endRun(cell.workers.starts[5]);
    await cell.runTurns();
    const startsBefore = cell.workers.starts.length;
    cell.scheduler.cancel(ADVISED_QUEUE.name, 'first', () => {});
    await cell.runTurns();
    cell.scheduler.tick();
    await cell.runTurns();
    const starts = cell.workers.starts.slice(startsBefore);
    assert.deepEqual(
      starts.map(({task}) => task),
      ['wait0.0.0.0'],
    );
  });

  // Load: the service accepts no call, and many steps wait for one. Guards
  // against a pass over all workers for each of them at each event.
  test('is not examined again while the service is busy', async () => {
    const cell = await buildFullCell({
      accepts: () => false,
      ask: async () => ({kind: 'busy'}),
    });
    submitBacklog(cell, ADVISED_QUEUE);
    cell.workers.endRun(cell.workers.starts[5]);
    await cell.runTurns();
    cell.nowMs += 10;
    cell.scheduler.tick();
    const turns = await cell.runTurns();
    assert.ok(totalPairs(turns) <= WORKER_COUNT, `${totalPairs(turns)} pairs`);
  });
});

describe('a backlog of urgent jobs in a cell with room', () => {
  // Load: for seconds more urgent jobs arrive than the event loop can start,
  // while most processors are free. Guards against a less urgent job that gets
  // no turn until it is late.
  test('leaves a turn to a less urgent job that is short of time', async () => {
    const patientQueue = {...BATCH_QUEUE, objectiveMs: 4_000};
    const cell = new backlogCell.BacklogCell({
      workerCount: WORKER_COUNT,
      queues: [jobCell.QUEUE, patientQueue],
    });
    await cell.begin();
    const batch = cell.jobOf('batch');
    jobCell.submit(cell.scheduler, {...batch, queue: patientQueue.name});
    const submittedAtMs = cell.nowMs;
    let startedAtMs: number | undefined;
    let endedCount = 0;
    for (let turn = 0; turn < 110 && startedAtMs === undefined; turn += 1) {
      for (let index = 0; index < 40; index += 1) {
        cell.submit(`urgent${turn}-${index}`);
      }
      await cell.runTurns(1);
      const starts = cell.workers.starts.slice(endedCount);
      endedCount = cell.workers.starts.length;
      for (const start of starts) {
        if (start.task.startsWith('batch')) startedAtMs = cell.nowMs;
        cell.workers.endRun(start);
      }
      cell.nowMs += 40;
      cell.scheduler.tick();
    }
    assert.ok(startedAtMs !== undefined, 'never started');
    const waitedMs = startedAtMs - submittedAtMs;
    assert.ok(waitedMs <= 3_500, `${waitedMs} ms`);
  });
});
