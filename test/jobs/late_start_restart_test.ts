import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

/** Age of the first worker when the test begins. */
const WORKER_AGE_MS = 100_000;

/** Time after which the first copy of each start is carried out. */
const COPY_DELAY_MS = 4_000;

const LONG_RUN: workerModel.PlannedRun = {runTimeMs: 30_000, outcome: 'done'};

/** Size of a task that takes all processors of a worker. */
const WHOLE_WORKER = {...jobCell.STEP.size, processors: 4_000};

const SHORT_RUN: workerModel.PlannedRun = {runTimeMs: 300, outcome: 'done'};

/** Longest time for which a copy may arrive, and run unseen after that. */
const COPIES_OVER_MS = 23_000;

/** Cell of worker `one`, at which the first copy of a start is delayed. */
class LateCopyCell extends jobCell.JobCell {
  /** Starts the first term; the first run on worker `one` follows the plan. */
  async begin(
    firstRun: workerModel.PlannedRun,
    step: Partial<job.Step> = {},
  ): Promise<jobScheduler.JobScheduler> {
    const first = jobCell.registryEntry('one');
    this.entries = [first];
    this.workers.add(first, () => firstRun, -WORKER_AGE_MS);
    const scheduler = await this.startTerm(1);
    await this.time.advance(200);
    this.workers.commandDelayMs = () => COPY_DELAY_MS;
    jobCell.submit(scheduler, jobCell.jobOf('aa', step));
    await this.time.advance(50);
    this.workers.commandDelayMs = () => 0;
    return scheduler;
  }

  /** Adds a second worker, which is idle. */
  addIdleWorker(scheduler: jobScheduler.JobScheduler): void {
    this.addWorker(jobCell.registryEntry('two'), () => LONG_RUN);
    scheduler.updateWorkers(this.entries);
  }

  /** Restarts worker `one`, which no call of the system reaches then. */
  restartOutOfReach(
    plan: workerModel.PlannedRun = LONG_RUN,
  ): workerModel.WorkerModel {
    const [entry] = this.entries;
    this.workers.byAddress.get(entry.address)?.crash();
    const next = {...entry, born: entry.born + 1};
    const model = this.workers.add(next, () => plan, this.time.now());
    model.partitioned = true;
    return model;
  }

  /**
   * Restarts worker `one`; the registry lists its next incarnation, which calls
   * reach, and its runs follow the plan.
   */
  restartInReach(
    scheduler: jobScheduler.JobScheduler,
    changes: Partial<remoteWorker.RegistryEntry> = {},
    plan: workerModel.PlannedRun = LONG_RUN,
  ): void {
    const [entry, ...others] = this.entries;
    this.workers.byAddress.get(entry.address)?.crash();
    const next = {...entry, born: entry.born + 1, ...changes};
    this.workers.add(next, () => plan, this.time.now());
    this.entries = [next, ...others];
    scheduler.updateWorkers(this.entries);
  }

  /** Advances time; the workers' leases end in time. */
  async advanceWithLeases(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 10) {
      await this.time.advance(10);
      for (const worker of this.workers.byAddress.values()) worker.endDueRuns();
    }
  }

  /** Starts the first term; worker `one` rejects the repeats of its first start. */
  async beginUnhealthy(): Promise<workerModel.WorkerModel> {
    const scheduler = await this.begin(LONG_RUN);
    const one = this.workers.byAddress.get('one:1');
    assert.ok(one);
    one.rejectReason = 'unhealthy';
    this.addIdleWorker(scheduler);
    return one;
  }

  startsOn(worker: string): number {
    return this.startsOf('aa').filter(start => start.worker === worker).length;
  }
}

describe('a task of which a copy of a start may still be carried out', () => {
  // Guards against two runs at once: a run failed and its task was started on
  // another worker, while the next incarnation of the first one, which nobody
  // had reached, carried out a copy of the start.
  test('does not start on another worker after its run has failed', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin({runTimeMs: 300, outcome: 'failed'});
    await cell.advanceWithLeases(800);
    cell.addIdleWorker(scheduler);
    await cell.advanceWithLeases(500);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.equal(cell.startsOn('one'), 2, 'the copy was not carried out');
    assert.equal(cell.startsOn('two'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against the same after a start that was stopped, because none of its
  // copies got an answer.
  test('does not start on another worker after its run was stopped', async () => {
    const cell = new LateCopyCell();
    await cell.beginUnhealthy();
    await cell.advanceWithLeases(2_500);
    assert.equal(cell.startsOf('aa').length, 0);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.equal(cell.startsOn('one'), 1, 'the copy was not carried out');
    assert.equal(cell.startsOn('two'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against the same with a takeover between: the next term restored the
  // task as one that waits.
  test('does not start on another worker in the next term', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin({runTimeMs: 300, outcome: 'failed'});
    await cell.advanceWithLeases(900);
    scheduler.retire();
    const successor = await cell.startTerm(2);
    cell.addIdleWorker(successor);
    await cell.advanceWithLeases(500);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPY_DELAY_MS);
    assert.equal(cell.startsOn('two'), 0);
    assert.equal(cell.startsOn('one'), 2, 'the copy was not carried out');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a task that waits for a copy which nobody can carry out.
  test('starts at once if its worker was replaced by another one', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(800);
    cell.workers.byAddress.get('one:1')?.crash();
    const [{machine}] = cell.entries;
    const other = jobCell.registryEntry('two', {born: 2, machine});
    cell.entries = [];
    cell.addWorker(other, () => LONG_RUN);
    scheduler.updateWorkers(cell.entries);
    await cell.advanceWithLeases(300);
    assert.equal(cell.startsOn('two'), 1);
  });

  // Guards against a job that waits 12 s for each start whose answer is lost: its
  // own worker rejects the copies.
  test('starts on the same worker while that is in reach', async () => {
    const cell = new LateCopyCell();
    const one = await cell.beginUnhealthy();
    await cell.advanceWithLeases(1_500);
    one.rejectReason = undefined;
    await cell.advanceWithLeases(1_500);
    assert.equal(cell.startsOn('one'), 1);
    assert.equal(cell.startsOn('two'), 0);
  });

  // Guards against two runs at once: the next incarnation had accepted a higher
  // fencing token, so that the copy counted as rejected; the one after that had
  // seen no token and carried it out.
  test('does not start on another worker after one restart was seen', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(800);
    cell.addIdleWorker(scheduler);
    cell.restartInReach(scheduler, {service: 'annex'});
    await cell.advanceWithLeases(1_000);
    assert.equal(cell.startsOn('two'), 0);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.equal(cell.startsOn('one'), 2, 'the copy was not carried out');
    assert.equal(cell.startsOn('two'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against the same if the term before knew the copy and the restart.
  test('does not start on another worker in a term after that restart', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(800);
    cell.addIdleWorker(scheduler);
    cell.restartInReach(scheduler, {service: 'annex'});
    await cell.advanceWithLeases(500);
    scheduler.retire();
    await cell.startTerm(2);
    await cell.advanceWithLeases(500);
    assert.equal(cell.startsOn('two'), 0);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPIES_OVER_MS + COPY_DELAY_MS);
    assert.equal(cell.startsOn('one'), 2, 'the copy was not carried out');
    assert.equal(cell.startsOn('two'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a success that counts although its task starts again: it ended
  // on the second incarnation, and the third one carried the copy out.
  test('is not acknowledged after one restart was seen', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(800);
    cell.restartInReach(scheduler, {}, SHORT_RUN);
    await cell.advanceWithLeases(1_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPY_DELAY_MS);
    assert.equal(cell.startsOn('one'), 3, 'the copy was not carried out');
    assert.deepEqual(cell.workers.acknowledgedEnds, []);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a start after the last attempt has failed: its end was
  // acknowledged while a copy could still be carried out.
  test('is not acknowledged after its last attempt has failed', async () => {
    const cell = new LateCopyCell();
    cell.queues = [{...jobCell.QUEUE, attempts: 1}];
    const scheduler = await cell.begin({runTimeMs: 300, outcome: 'failed'});
    await cell.advanceWithLeases(1_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'failed');
    assert.deepEqual(cell.workers.acknowledgedEnds, []);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPY_DELAY_MS);
    assert.equal(cell.startsOn('one'), 2, 'the copy was not carried out');
    assert.deepEqual(cell.workers.acknowledgedEnds, []);
  });

  // Guards against a task that waits 12 s after a restart that was seen: if the
  // incarnation after that carries the copy out, the run on this one is over.
  test('goes on at once in the next incarnation of its worker', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(1_500);
    cell.addIdleWorker(scheduler);
    cell.restartInReach(scheduler);
    await cell.advanceWithLeases(1_000);
    assert.equal(cell.startsOn('one'), 2);
    cell.restartOutOfReach();
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.equal(cell.startsOn('one'), 3, 'the copy was not carried out');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a task that lasts and stands still for 12 s: its worker, which
  // alone could take it, gave the room of its last run to another task.
  test('keeps the room of its last run on the worker', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(
      {runTimeMs: 2_000, outcome: 'failed'},
      {longRunning: true, size: WHOLE_WORKER},
    );
    const other = {size: WHOLE_WORKER, requiredLabel: 'a'};
    jobCell.submit(scheduler, jobCell.jobOf('bb', other));
    await cell.advanceWithLeases(1_000);
    const labels = ['b', 'r1-1'];
    cell.addWorker(jobCell.registryEntry('two', {labels}), () => LONG_RUN);
    scheduler.updateWorkers(cell.entries);
    await cell.advanceWithLeases(2_500);
    assert.equal(cell.startsOn('one'), 2);
    assert.equal(cell.startsOf('bb').length, 0);
  });

  // Guards against a task that lasts and stands still for 12 s, because its worker
  // has come back as one of another service.
  test('lasts and starts on another worker before callers take it for lost', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN, {longRunning: true});
    await cell.advanceWithLeases(1_500);
    cell.addIdleWorker(scheduler);
    cell.restartInReach(scheduler, {service: 'annex'});
    const lostAtMs = cell.time.now();
    await cell.advanceWithLeases(7_000);
    assert.equal(cell.startsOn('two'), 0);
    await cell.advanceWithLeases(2_000);
    const start = cell.startsOf('aa').find(({worker}) => worker === 'two');
    assert.ok(start !== undefined && start.atMs - lostAtMs < 9_000);
  });

  // Guards against a success that is taken for that of a run which was given up:
  // a later run had been sent, and was started after the success was forgotten.
  test('succeeds by a late copy: no later run is started', async () => {
    const cell = new LateCopyCell();
    const scheduler = await cell.begin(LONG_RUN);
    await cell.advanceWithLeases(1_500);
    cell.restartInReach(scheduler);
    await cell.advanceWithLeases(1_000);
    assert.equal(cell.startsOn('one'), 2);
    // The run in the second incarnation is lost; the third one succeeds.
    const third = cell.restartOutOfReach(SHORT_RUN);
    await cell.advanceWithLeases(1_800);
    assert.equal(cell.startsOn('one'), 3, 'the copy was not carried out');
    third.partitioned = false;
    await cell.advanceWithLeases(1_500);
    assert.equal(cell.startsOn('one'), 3, 'a later run was started');
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});
