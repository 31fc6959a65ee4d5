import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 350;

const JOB_COUNT = 5_000;

/** Most sessions that one turn of the takeover may open. */
const MAXIMUM_SESSIONS_PER_TURN = 50;

/** Most pairs of a step and a worker that one turn may look at. */
const MAXIMUM_PAIRS_PER_TURN = 8_000;

/** Least turns for restoring the jobs, so that peers are answered meanwhile. */
const MINIMUM_RESTORE_TURNS = 20;

function storedJobs(): ReadonlyArray<{
  readonly definition: job.JobDefinition;
  readonly progress: undefined;
}> {
  return Array.from({length: JOB_COUNT}, (_unused, index) => ({
    definition: jobCell.jobOf(`job${index}`, {requiredLabel: 'a'}),
    progress: undefined,
  }));
}

function buildSuccessor(): backlogCell.BacklogCell {
  const workers = Array.from({length: WORKER_COUNT}, (_unused, index) => ({
    entry: jobCell.registryEntry(`w${index}`),
  }));
  return new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    stored: {jobs: storedJobs(), workers, queues: []},
  });
}

describe('a takeover of a large cell', () => {
  // Guards against a successor that answers no ping until it has taken over, and
  // is replaced for that by the next one, which is just as slow.
  test('leaves turns of the loop to others while it goes on', async () => {
    const cell = buildSuccessor();
    void cell.scheduler.begin();
    let restoreTurnCount = 0;
    let sessionCount = 0;
    do {
      const turns = await cell.runTurns(1);
      if (!cell.scheduler.isServing) restoreTurnCount += 1;
      for (const {examinedPairs} of turns) {
        assert.ok(
          examinedPairs <= MAXIMUM_PAIRS_PER_TURN,
          `${examinedPairs} pairs in one turn`,
        );
      }
      const opened = cell.workers.sessionCount - sessionCount;
      assert.ok(
        opened <= MAXIMUM_SESSIONS_PER_TURN,
        `${opened} sessions opened in one turn`,
      );
      sessionCount = cell.workers.sessionCount;
    } while (cell.hasTurn);
    assert.ok(
      restoreTurnCount >= MINIMUM_RESTORE_TURNS,
      `${restoreTurnCount} turns before jobs were served`,
    );
    assert.equal(sessionCount, WORKER_COUNT);
    assert.equal(cell.workers.starts.length, 4 * WORKER_COUNT);
  });

  // Guards against the denial of an accepted job that is not restored yet.
  test('serves jobs only once all of them are restored', async () => {
    const cell = buildSuccessor();
    void cell.scheduler.begin();
    const lastJob = `job${JOB_COUNT - 1}`;
    while (!cell.scheduler.isServing) await cell.runTurns(1);
    assert.equal(cell.scheduler.stateOf(jobCell.QUEUE.name, lastJob), 'queued');
    await cell.runTurns();
  });

  // Guards against a replaced scheduler that goes on to open sessions.
  test('ends when the term ends', async () => {
    const cell = buildSuccessor();
    void cell.scheduler.begin();
    while (!cell.scheduler.isServing) await cell.runTurns(1);
    await cell.runTurns(1);
    cell.scheduler.retire();
    const sessionCount = cell.workers.sessionCount;
    await cell.runTurns();
    assert.ok(sessionCount < WORKER_COUNT);
    assert.equal(cell.workers.sessionCount, sessionCount);
    assert.equal(cell.workers.starts.length, 0);
  });
});

describe('the jobs of an earlier term', () => {
  const WORKERS = [{entry: jobCell.registryEntry('w0')}];

  /** Returns the jobs of which tasks start first on the only worker. */
  async function startedAfterTakeover(
    ...ages: ReadonlyArray<{readonly id: string; readonly ageMs: number}>
  ): Promise<ReadonlyArray<string>> {
    const nowMs = 100_000;
    const cell = new backlogCell.BacklogCell({
      workerCount: 1,
      stored: {
        jobs: ages.map(({id, ageMs}) => ({
          definition: jobCell.jobOf(id, {count: 4, requiredLabel: 'a'}),
          progress: undefined,
          arrivedAtUnixMs: nowMs - ageMs,
        })),
        workers: WORKERS,
        queues: [],
      },
    });
    cell.nowMs = nowMs;
    await cell.begin();
    return cell.workers.starts.map(({task}) => task.split('.')[0]);
  }

  // Load: a backlog that has lost its value while no scheduler served. Guards
  // against a successor that takes it for new and starts it first, so that jobs
  // which could still be on time become late too.
  test('go behind newer ones once they have lost their value', async () => {
    const started = await startedAfterTakeover(
      {id: 'worthless', ageMs: 60_000},
      {id: 'fresh', ageMs: 100},
    );
    assert.deepEqual(started, ['fresh', 'fresh', 'fresh', 'fresh']);
  });

  // Guards against a job that loses its turn to newer ones at each takeover.
  test('keep their order of arrival', async () => {
    const started = await startedAfterTakeover(
      {id: 'newer', ageMs: 0},
      {id: 'older', ageMs: 200},
    );
    assert.deepEqual(started, ['older', 'older', 'older', 'older']);
  });

  // Guards against an age of less than nothing, from a clock that is behind.
  test('are new at least if the clock is behind their arrival', async () => {
    const started = await startedAfterTakeover(
      {id: 'older', ageMs: 200},
      {id: 'ahead', ageMs: -60_000},
    );
    assert.deepEqual(started, ['older', 'older', 'older', 'older']);
  });
});
