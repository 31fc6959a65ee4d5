import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

describe('a job from hand-in to its end', () => {
  // Guards against a job that is accepted and then forgotten.
  test('runs every task once and completes', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    const handed = jobCell.submit(
      scheduler,
      jobCell.jobOf('aa', {count: 6}, {count: 2, after: [0]}),
    );
    await cell.time.advance(500);
    assert.deepEqual(handed.outcome, {kind: 'accepted'});
    assert.equal(scheduler.stateOf('orders', 'aa'), 'running');
    await cell.time.advance(4_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 8);
    assert.equal(cell.journal.progress.get('aa')?.outcome, 'completed');
  });

  // Guards against two jobs where a caller asked for one.
  test('is the same job when it is handed in again', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    const again = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(3_000);
    assert.deepEqual(again.outcome, {kind: 'accepted'});
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against workers that carry more than they hold.
  test('waits while no worker has room', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 9}));
    await cell.time.advance(500);
    assert.equal(cell.startsOf('aa').length, 4);
    await cell.time.advance(3_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a step that starts before what it builds on is done.
  test('starts a step only after the steps before it', async () => {
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

  // Guards against more attempts than the queue allows.
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

  // Guards against a cancelled job whose tasks run on.
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

describe('a store that gives no answers', () => {
  // Guards against an answer that the next scheduler knows nothing of.
  test('accepts no job before it is stored', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.down = true;
    const handed = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(900);
    assert.equal(handed.outcome, undefined);
    assert.equal(cell.startsOf('aa').length, 0);
    cell.journal.down = false;
    await cell.time.advance(500);
    assert.deepEqual(handed.outcome, {kind: 'accepted'});
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

  // Guards against a caller that is kept until its deadline although nothing
  // can be said about its job any more.
  test('says after a second that the fate of a job is open', async () => {
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

  // Guards against callers that can't come back because they are told that the
  // fate of their job is open, though the store has surely not taken it.
  test('refuses a job that the store turned away, and never runs it', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    cell.journal.refusing = true;
    const turnedAway = jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(1_500);
    assert.equal(turnedAway.outcome?.kind, 'refused');
    cell.journal.refusing = false;
    await cell.time.advance(3_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), undefined);
    assert.equal(cell.startsOf('aa').length, 0);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(2_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against work that is thrown away because the store is silent.
  test('lets running work go on and ends it once it answers', async () => {
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

/** A first term has ended; its worker, on which job `aa` runs, is cut off. */
async function afterLostWorker(): Promise<{
  cell: jobCell.JobCell;
  cut: workerModel.WorkerModel;
}> {
  const cell = new jobCell.JobCell();
  cell.addWorkers(() => ({runTimeMs: 30_000, outcome: 'done'}), 'one');
  const first = await cell.startTerm(1);
  jobCell.submit(first, jobCell.jobOf('aa', {}));
  await cell.time.advance(300);
  first.retire();
  const cut = cell.workers.byAddress.get('one:1');
  assert.ok(cut);
  cut.partitioned = true;
  cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
  return {cell, cut};
}

describe('a successor', () => {
  // Guards against work done twice because the scheduler changed.
  test('takes over what runs and starts nothing twice', async () => {
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

  // Guards against a second run of a task on a worker that is cut off.
  test('waits for leases on a worker that it cannot reach', async () => {
    const {cell, cut} = await afterLostWorker();
    await cell.startTerm(2);
    await cell.time.advance(3_000);
    assert.equal(cell.startsOf('aa').length, 1);
    await cell.time.advance(9_000);
    assert.equal(cell.startsOf('aa').length, 2);
    assert.equal(cut.runningCount, 0);
  });

  // Guards against a standstill after each succession: a worker that had left
  // before it stayed on the list of those that a successor has to find.
  test('does not look for workers that had left before', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const first = await cell.startTerm(1);
    await cell.time.advance(300);
    const left = cell.workers.byAddress.get('two:1');
    assert.ok(left);
    left.partitioned = true;
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

  // Guards against a standstill of all jobs because one worker that was about
  // to leave can't be found: only what ran there has to wait.
  test('holds back only the jobs that ran on a worker which left', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 30_000, outcome: 'done'}), 'one');
    const first = await cell.startTerm(1);
    jobCell.submit(first, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    cell.entries = [jobCell.workerEntry('one', {state: 'draining'})];
    first.updateWorkers(cell.entries);
    await cell.time.advance(300);
    jobCell.submit(first, jobCell.jobOf('bb', {}));
    await cell.time.advance(50);
    first.retire();
    const left = cell.workers.byAddress.get('one:1');
    assert.ok(left);
    left.partitioned = true;
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
  // worker stored that nothing runs there, and the one after it believed that.
  test('passes on what it could not find out itself', async () => {
    const {cell} = await afterLostWorker();
    const second = await cell.startTerm(2);
    await cell.time.advance(2_500);
    second.retire();
    await cell.startTerm(3);
    await cell.time.advance(500);
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against writes of a scheduler that has been replaced.
  test('closes the journal to the term before it', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const first = await cell.startTerm(1);
    await cell.startTerm(2);
    const handed = jobCell.submit(first, jobCell.jobOf('aa', {}));
    await cell.time.advance(500);
    assert.equal(handed.outcome, undefined);
    assert.equal(cell.journal.definitions.has('aa'), false);
    assert.ok(cell.superseded.length > 0);
  });
});

describe('a worker that gives no answers', () => {
  // Guards against tasks that wait for ever for a worker that is gone: every
  // renewal that was tried in vain put the end of its lease off.
  test('loses its tasks to another once its lease is over', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 20_000, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    const gone = cell.workers.byAddress.get('one:1');
    assert.ok(gone);
    gone.partitioned = true;
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(4_000);
    assert.equal(cell.startsOf('aa').length, 1);
    await cell.time.advance(6_000);
    assert.equal(cell.startsOf('aa').length, 2);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a worker over its capacity: an order without an answer may
  // be carried out late.
  test('keeps the room of a start until its fate is certain', async () => {
    const cell = new jobCell.JobCell();
    const entry = jobCell.workerEntry('one');
    const worker = cell.addWorker(entry);
    const scheduler = await cell.startTerm(1);
    cell.workers.delayOrder = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 4}));
    await cell.time.advance(100);
    cell.workers.delayOrder = () => 0;
    jobCell.submit(scheduler, jobCell.jobOf('bb', {count: 4}));
    for (let step = 0; step < 80; step += 1) {
      await cell.time.advance(100);
      assert.ok(worker.runningCount <= 4, `${worker.runningCount} tasks run`);
    }
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
  });

  // Guards against two runs of a task: the first copy of a start is carried
  // out late, after the worker turned the second one away.
  test('is not believed to have refused what it may still carry out', async () => {
    const cell = new jobCell.JobCell();
    const first = cell.addWorker(jobCell.workerEntry('one'));
    const scheduler = await cell.startTerm(1);
    cell.workers.delayOrder = () => 2_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.delayOrder = () => 0;
    first.rejectReason = 'unhealthy';
    cell.addWorker(jobCell.workerEntry('two'));
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(1_000);
    first.rejectReason = undefined;
    await cell.time.advance(8_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(cell.startsOf('aa').length, 1);
  });

  // Guards against a lease that a replaced scheduler grants with a repeated
  // start after its proof of leading has run out.
  test('is sent no start again without proof of leading', async () => {
    const cell = new jobCell.JobCell();
    const worker = cell.addWorker(jobCell.workerEntry('one'));
    const scheduler = await cell.startTerm(1);
    cell.workers.delayOrder = () => 60_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.hasLeadershipProof = false;
    cell.workers.delayOrder = () => 0;
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('aa').length, 0);
    assert.ok(worker.leaseEndMs <= 5_200, `${worker.leaseEndMs}`);
  });
});

describe('a start whose first answer was lost', () => {
  // Guards against a second run of a task that was over before the repeated
  // order came: the worker rejects it as stale, because the first one ran.
  test('is not taken for one that never ran when its copy is stale', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 100, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    const [worker] = cell.workers.byAddress.values();
    worker.losesAnswers = true;
    jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(500);
    worker.losesAnswers = false;
    // Orders are answered again; reports get lost for a second more.
    const {workers} = cell;
    const report = workers.renewLeases.bind(workers);
    workers.renewLeases = async () => {
      await cell.time.pause(1_000);
      return {kind: 'unanswered', detail: 'lost'};
    };
    await cell.time.advance(1_000);
    workers.renewLeases = report;
    await cell.time.advance(6_000);
    assert.equal(cell.startsOf('a1').length, 1);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'completed');
  });
});
