import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

const WORKER_COUNT = 246;

/** Tasks of a core that fit one worker. */
const TASKS_PER_WORKER = 4;

/** So many steps that examining each on all workers exceeds some turns. */
const ADVISED_STEP_COUNT = 40;

const BATCH_STEP_COUNT = 10;

/** Turns in which one run ends each. */
const TURN_COUNT = 60;

/** Turns in which each waiting step has to be considered. */
const MAXIMUM_TURNS_OF_PASS = 20;

/** Most reads of labels in one turn: two for each unit of its budget. */
const MAXIMUM_PAIRS_PER_TURN = 11_000;

const ADVISED_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'advised',
  pathPrefix: '/advised/',
  advice: {decideMs: 100, eachMs: 1, validMs: 5_000},
};

const BATCH_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  objectiveMs: 600_000,
};

/**
 * A cell whose free capacity is what the steps that wait for advice need; the
 * service accepts no call. Batch steps wait behind them.
 */
class BusyCell {
  readonly cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    queues: [jobCell.QUEUE, ADVISED_QUEUE, BATCH_QUEUE],
  });
  private endedCount = 0;

  async begin(): Promise<void> {
    const {cell} = this;
    await cell.begin();
    cell.submit('fill', {count: WORKER_COUNT * TASKS_PER_WORKER});
    await cell.runTurns();
    this.submit('advised', ADVISED_STEP_COUNT, ADVISED_QUEUE);
    await cell.runTurns();
    for (let index = 0; index < ADVISED_STEP_COUNT; index += 1) this.endRun();
    await cell.runTurns();
    this.submit('batch', BATCH_STEP_COUNT, BATCH_QUEUE);
  }

  get batchStartCount(): number {
    const {starts} = this.cell.workers;
    return starts.filter(({task}) => task.startsWith('batch')).length;
  }

  /** Ends a run, each time on another worker than the time before. */
  endRun(): void {
    const {starts} = this.cell.workers;
    const round = Math.floor(this.endedCount / WORKER_COUNT);
    const worker = `w${this.endedCount % WORKER_COUNT}`;
    this.endedCount += 1;
    const ofWorker = starts.filter(start => start.worker === worker);
    this.cell.workers.endRun(ofWorker[round]);
  }

  private submit(prefix: string, count: number, queue: job.Queue): void {
    for (let index = 0; index < count; index += 1) {
      const definition = this.cell.jobOf(`${prefix}${index}`);
      jobCell.submit(this.cell.scheduler, {...definition, queue: queue.name});
    }
  }
}

describe('placement while a run ends in each turn', () => {
  // Guards against slices that examine only the most urgent steps, because
  // something has changed for these since the last slice.
  test('considers each step in a bounded number of turns', async () => {
    const busy = new BusyCell();
    await busy.begin();
    for (let turn = 0; turn < MAXIMUM_TURNS_OF_PASS; turn += 1) {
      busy.endRun();
      const turns = await busy.cell.runTurns(1);
      for (const {examinedPairs} of turns) {
        assert.ok(examinedPairs <= MAXIMUM_PAIRS_PER_TURN, `${examinedPairs}`);
      }
    }
    assert.equal(busy.batchStartCount, BATCH_STEP_COUNT);
  });

  // Load: runs end all the time while steps wait for tickets that the service
  // has no capacity for. Guards against a loop that is busy with examining each
  // of these steps on all workers for each run that ends.
  test('the steps that wait for tickets took up the loop: are not examined for capacity that they have reserved', async () => {
    const busy = new BusyCell();
    await busy.begin();
    busy.endRun();
    await busy.cell.runTurns(1);
    let pairs = 0;
    for (let turn = 0; turn < BATCH_STEP_COUNT; turn += 1) {
      busy.endRun();
      const turns = await busy.cell.runTurns(1);
      for (const {examinedPairs} of turns) pairs += examinedPairs;
    }
    const maximumPairs = BATCH_STEP_COUNT * WORKER_COUNT;
    assert.ok(pairs <= maximumPairs, `${pairs} pairs`);
  });

  // Guards against less urgent steps that take the capacity reserved for steps
  // which a slice passes over.
  test('keeps the capacity reserved for steps without tickets', async () => {
    const busy = new BusyCell();
    await busy.begin();
    for (let turn = 1; turn <= TURN_COUNT; turn += 1) {
      busy.endRun();
      await busy.cell.runTurns(1);
      const taken = busy.batchStartCount;
      assert.ok(taken <= turn, `${taken} batch tasks after ${turn} ends`);
    }
    assert.equal(busy.batchStartCount, BATCH_STEP_COUNT);
  });
});
