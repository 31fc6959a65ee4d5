import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

describe('a submitted job', () => {
  // Guards against a job that is accepted but never completes.
  test('runs every task once and completes', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    const submission = jobCell.submit(
      scheduler,
      jobCell.jobOf('aa', {count: 6}, {count: 2, after: [0]}),
    );
    await cell.time.advance(500);
    assert.deepEqual(submission.outcome, {kind: 'accepted'});
    assert.equal(scheduler.stateOf('orders', 'aa'), 'running');
    await cell.time.advance(4_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 8);
    assert.equal(cell.journal.progress.get('aa')?.outcome, 'completed');
  });

  // Guards against two jobs when a caller retries a submission.
  test('is the same job when it is submitted again', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    const again = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(3_000);
    assert.deepEqual(again.outcome, {kind: 'accepted'});
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against workers that run more than their capacity.
  test('waits while no worker has free capacity', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 9}));
    await cell.time.advance(500);
    assert.equal(cell.startsOf('aa').length, 4);
    await cell.time.advance(3_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a step that starts before the steps it depends on are done.
  test('starts a step only after its dependencies', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(
      scheduler,
      jobCell.jobOf('aa', {count: 3}, {count: 1, after: [0]}),
    );
    await cell.time.advance(900);
    assert.equal(cell.startsOf('aa.0.1').length, 0);
    await cell.time.advance(1_000);
    assert.equal(cell.startsOf('aa.0.1').length, 1);
  });

  // Guards against more runs of a task than its queue allows.
  test('fails once a task has used up its attempts', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(
      () => ({runTimeMs: 100, outcome: 'failed'}),
      'one',
      'two',
      'three',
    );
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(5_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'failed');
    assert.equal(cell.startsOf('aa').length, 2);
  });

  // Guards against a cancelled job whose tasks keep running.
  test('stops its tasks when it is cancelled', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 3}));
    await cell.time.advance(500);
    let answer: string | undefined;
    scheduler.cancel('orders', 'aa', outcome => {
      answer = outcome;
    });
    await cell.time.advance(200);
    assert.equal(answer, 'cancelled');
    assert.equal(scheduler.stateOf('orders', 'aa'), 'cancelled');
    assert.equal(cell.workers.byAddress.get('one:1')?.runningCount, 0);
  });
});

describe('the scheduler while the store does not answer', () => {
  // Guards against accepting a job that the next scheduler would not find.
  test('accepts no job before it is stored', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.down = true;
    const submission = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(900);
    assert.equal(submission.outcome, undefined);
    assert.equal(cell.startsOf('aa').length, 0);
    cell.journal.down = false;
    await cell.time.advance(500);
    assert.deepEqual(submission.outcome, {kind: 'accepted'});
  });

  // Guards against callers that wait for an answer that can't come.
  test('refuses new jobs at once after a second', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.down = true;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(1_500);
    const refused = jobCell.submit(scheduler, jobCell.jobOf('bb', {}));
    assert.equal(refused.outcome?.kind, 'refused');
    cell.journal.down = false;
    await cell.time.advance(3_000);
    assert.equal(cell.journal.definitions.has('bb'), false);
    assert.equal(scheduler.stateOf('orders', 'bb'), undefined);
  });

  // Guards against a caller that waits until its deadline although the outcome
  // of its submission stays unknown.
  test('answers after a second that the outcome is undecided', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.down = true;
    const first = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(1_300);
    assert.deepEqual(first.outcome, {kind: 'undecided'});
    const again = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    assert.deepEqual(again.outcome, {kind: 'undecided'});
    cell.journal.down = false;
    await cell.time.advance(500);
    const last = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    assert.deepEqual(last.outcome, {kind: 'accepted'});
  });

  // Guards against callers that can't retry because they get an undecided
  // outcome although the store has definitely refused their job.
  test('refuses a job that the store refused, and never runs it', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.refusing = true;
    const refused = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(1_500);
    assert.equal(refused.outcome?.kind, 'refused');
    cell.journal.refusing = false;
    await cell.time.advance(3_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), undefined);
    assert.equal(cell.startsOf('aa').length, 0);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(2_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against losing the work of runs because the store is unavailable.
  test('keeps runs going and completes them once the store answers', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 8_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(200);
    cell.journal.down = true;
    await cell.time.advance(9_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'running');
    cell.journal.down = false;
    await cell.time.advance(500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 1);
  });
});

/** Ends a first term whose only worker, which runs job `aa`, is unreachable. */
async function setUpUnreachableWorker(): Promise<{
  cell: jobCell.JobCell;
  unreachable: workerModel.WorkerModel;
}> {
  const cell = new jobCell.JobCell();
  cell.addWorkers(() => ({runTimeMs: 30_000, outcome: 'done'}), 'one');
  const first = await cell.startTerm(1);
  jobCell.submit(first, jobCell.jobOf('aa', {}));
  await cell.time.advance(300);
  first.retire();
  const unreachable = cell.workers.byAddress.get('one:1');
  assert.ok(unreachable);
  unreachable.partitioned = true;
  cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
  return {cell, unreachable};
}

describe('the scheduler of the next term', () => {
  // Guards against tasks that run twice because of a failover.
  test('adopts all runs and starts nothing twice', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const first = await cell.startTerm(1);
    jobCell.submit(first, jobCell.jobOf('aa', {count: 6}));
    await cell.time.advance(300);
    first.retire();
    const second = await cell.startTerm(2);
    await cell.time.advance(2_000);
    assert.equal(second.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 6);
  });

  // Guards against a second run of a task that still runs on an unreachable
  // worker.
  test('waits until the leases of an unreachable worker expire', async () => {
    const {cell, unreachable} = await setUpUnreachableWorker();
    await cell.startTerm(2);
    await cell.time.advance(3_000);
    assert.equal(cell.startsOf('aa').length, 1);
    await cell.time.advance(9_000);
    assert.equal(cell.startsOf('aa').length, 2);
    assert.equal(unreachable.runningCount, 0);
  });

  // Guards against a delay after each failover: a worker that had left earlier
  // stayed on the list of workers that the next scheduler has to reach.
  test('does not wait for workers that had left earlier', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const first = await cell.startTerm(1);
    await cell.time.advance(300);
    const leftWorker = cell.workers.byAddress.get('two:1');
    assert.ok(leftWorker);
    leftWorker.partitioned = true;
    cell.entries = cell.entries.slice(0, 1);
    first.updateWorkers(cell.entries);
    await cell.time.advance(20_000);
    first.retire();
    jobCell.submit(first, jobCell.jobOf('aa', {}));
    const second = await cell.startTerm(2);
    jobCell.submit(second, jobCell.jobOf('bb', {}));
    await cell.time.advance(50);
    second.retire();
    await cell.startTerm(3);
    await cell.time.advance(1_000);
    assert.equal(cell.journal.workers.length, 1);
    assert.ok(cell.startsOf('bb').length >= 1);
  });

  // Guards against a delay of all jobs because one worker that was draining
  // can't be reached: only the jobs that ran there have to wait.
  test('blocks only the jobs that ran on a drained worker', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 30_000, outcome: 'done'}), 'one');
    const first = await cell.startTerm(1);
    jobCell.submit(first, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    cell.entries = [jobCell.registryEntry('one', {state: 'draining'})];
    first.updateWorkers(cell.entries);
    await cell.time.advance(300);
    jobCell.submit(first, jobCell.jobOf('bb', {}));
    await cell.time.advance(50);
    first.retire();
    const leftWorker = cell.workers.byAddress.get('one:1');
    assert.ok(leftWorker);
    leftWorker.partitioned = true;
    cell.entries = [];
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
    await cell.startTerm(2);
    await cell.time.advance(1_000);
    assert.equal(cell.startsOf('bb').length, 1);
    assert.equal(cell.startsOf('aa').length, 1);
    await cell.time.advance(9_000);
    assert.equal(cell.startsOf('aa').length, 2);
  });

  // Guards against a second run of a task: a scheduler that never reached a
  // worker stored that nothing runs there, and the next one relied on that.
  test('keeps the stored jobs of a worker that it has not reached', async () => {
    const {cell} = await setUpUnreachableWorker();
    const second = await cell.startTerm(2);
    await cell.time.advance(2_500);
    second.retire();
    await cell.startTerm(3);
    await cell.time.advance(500);
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against writes of a superseded scheduler.
  test('fences the earlier term off the journal', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const first = await cell.startTerm(1);
    await cell.startTerm(2);
    const submission = jobCell.submit(first, jobCell.jobOf('aa', {}));
    await cell.time.advance(500);
    assert.equal(submission.outcome, undefined);
    assert.equal(cell.journal.definitions.has('aa'), false);
    assert.ok(cell.supersededReasons.length > 0);
  });
});

describe('a worker that does not answer', () => {
  // Guards against tasks that wait forever for a worker that is gone: every
  // failed renewal extended the assumed end of its lease.
  test('loses its tasks to another worker once its lease has expired', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 20_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    const unreachable = cell.workers.byAddress.get('one:1');
    assert.ok(unreachable);
    unreachable.partitioned = true;
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(4_000);
    assert.equal(cell.startsOf('aa').length, 1);
    await cell.time.advance(6_000);
    assert.equal(cell.startsOf('aa').length, 2);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a worker over capacity: an unanswered start may be carried
  // out late.
  test('keeps the resources of a start reserved until its outcome is known', async () => {
    const cell = new jobCell.JobCell();
    const entry = jobCell.registryEntry('one');
    const worker = cell.addWorker(entry);
    const scheduler = await cell.startTerm(1);
    cell.workers.commandDelayMs = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 4}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    jobCell.submit(scheduler, jobCell.jobOf('bb', {count: 4}));
    for (let step = 0; step < 80; step += 1) {
      await cell.time.advance(100);
      assert.ok(worker.runningCount <= 4, `${worker.runningCount} tasks run`);
    }
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
  });

  // Guards against two runs of a task: the first copy of a start is carried out
  // late, after the worker has rejected the second one.
  test('may still carry out a start after it has rejected a copy', async () => {
    const cell = new jobCell.JobCell();
    const first = cell.addWorker(jobCell.registryEntry('one'));
    const scheduler = await cell.startTerm(1);
    cell.workers.commandDelayMs = () => 2_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    first.rejectReason = 'unhealthy';
    cell.addWorker(jobCell.registryEntry('two'));
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(1_000);
    first.rejectReason = undefined;
    await cell.time.advance(8_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against a lease that a superseded scheduler grants by retrying a
  // start after its proof of leadership has expired.
  test('gets no retried start without proof of leadership', async () => {
    const cell = new jobCell.JobCell();
    const worker = cell.addWorker(jobCell.registryEntry('one'));
    const scheduler = await cell.startTerm(1);
    cell.workers.commandDelayMs = () => 60_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.hasLeadershipProof = false;
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('aa').length, 0);
    assert.ok(worker.leaseEndMs <= 5_200, `${worker.leaseEndMs}`);
  });
});

describe('a start whose first answer was lost', () => {
  // Guards against a second run of a task that ended before the retried command
  // arrived: the worker rejects the retry as stale, because the first one ran.
  test('counts as carried out when its retry is rejected as stale', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 100, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    const [worker] = cell.workers.byAddress.values();
    worker.losesAnswers = true;
    jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(500);
    worker.losesAnswers = false;
    // Commands are answered again; reports are lost for one more second.
    const {workers} = cell;
    const report = workers.renewLeases.bind(workers);
    workers.renewLeases = async () => {
      await cell.time.delay(1_000);
      return {kind: 'unanswered', detail: 'lost'};
    };
    await cell.time.advance(1_000);
    workers.renewLeases = report;
    await cell.time.advance(6_000);
    assert.equal(cell.startsOf('a1').length, 1);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'completed');
  });
});
