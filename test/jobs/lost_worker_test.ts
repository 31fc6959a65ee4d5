import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

/** Time after which the registry drops a worker that is silent. */
const REGISTRY_TIMEOUT_MS = 4_000;

/** Rule LOST: time after its last run within which a task that lasts runs. */
const RESTART_MS = 9_000;

/** Longest time for which a copy of a start may arrive, and run unseen. */
const COPIES_OVER_MS = 23_000;

/** Age of a worker whose clock is far ahead of its next incarnation's. */
const WORKER_AGE_MS = 100_000;

const LASTING_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 1_000_000,
  outcome: 'done',
  lasts: true,
});

/** Plan by which the first run fails after some time; the others last. */
function failFirstRunAfter(runTimeMs: number): workerModel.RunPlan {
  let runCount = 0;
  return command => {
    runCount += 1;
    if (runCount > 1) return LASTING_RUNS(command);
    return {runTimeMs, outcome: 'failed', lasts: true};
  };
}

/** Cell of worker `one`, which is lost, and worker `two`, which has room. */
class LostWorkerCell extends jobCell.JobCell {
  /** Starts the first term with worker `one` alone. */
  async begin(): Promise<jobScheduler.JobScheduler> {
    this.addWorkers(LASTING_RUNS, 'one');
    const scheduler = await this.startTerm(1);
    await this.time.advance(200);
    return scheduler;
  }

  /** Begins with a batch task whose starts are carried out after some time. */
  async beginUnanswered(
    delayMs: number,
  ): Promise<[remoteWorker.RegistryEntry, jobScheduler.JobScheduler]> {
    const entry = jobCell.registryEntry('one');
    this.entries = [entry];
    // The deadline of its start lies far ahead on the next incarnation's clock.
    this.workers.add(entry, LASTING_RUNS, -WORKER_AGE_MS);
    const scheduler = await this.startTerm(1);
    await this.time.advance(200);
    this.workers.commandDelayMs = () => delayMs;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await this.time.advance(50);
    this.workers.commandDelayMs = () => 0;
    return [entry, scheduler];
  }

  /** Adds a second worker, which is idle. */
  addIdleWorker(scheduler: jobScheduler.JobScheduler): void {
    this.addWorkers(LASTING_RUNS, 'two');
    scheduler.updateWorkers(this.entries);
  }

  /** Advances time; the workers' leases end in time. */
  async advanceWithLeases(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 10) {
      await this.time.advance(10);
      for (const worker of this.workers.byAddress.values()) worker.endDueRuns();
    }
  }

  /** Worker `one` loses power for good; its entry stays for a while. */
  loseFirst(): void {
    this.workers.byAddress.get('one:1')?.crash();
  }

  /** The registry drops worker `one`. */
  dropFirstEntry(scheduler: jobScheduler.JobScheduler): void {
    this.entries = this.entries.filter(({id}) => id !== 'one');
    scheduler.updateWorkers(this.entries);
  }

  startsOn(worker: string): number {
    return this.startsOf('aa').filter(start => start.worker === worker).length;
  }
}

function submitService(scheduler: jobScheduler.JobScheduler): void {
  jobCell.submit(scheduler, jobCell.jobOf('aa', {longRunning: true}));
}

describe('a start without an answer at a worker that is lost for good', () => {
  // Guards against a task that stands for 22 s although its worker has left the
  // registry, so that no next incarnation can carry the start out.
  test('holds its task up until the registry shows that it is gone', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await cell.begin();
    cell.loseFirst();
    submitService(scheduler);
    await cell.time.advance(50);
    cell.addIdleWorker(scheduler);
    await cell.time.advance(REGISTRY_TIMEOUT_MS);
    cell.dropFirstEntry(scheduler);
    await cell.time.advance(RESTART_MS - REGISTRY_TIMEOUT_MS - 100);
    assert.equal(cell.startsOn('two'), 1);
  });

  // Guards against a second run beside the one that a next incarnation, which
  // only the registry has shown, may have begun by the late start.
  test('holds its task up for longer if a next incarnation was listed', async () => {
    const cell = new LostWorkerCell();
    const entry = jobCell.registryEntry('one');
    cell.entries = [entry];
    // The deadline of its start lies far ahead on the next incarnation's clock.
    cell.workers.add(entry, LASTING_RUNS, -WORKER_AGE_MS);
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 3_000;
    submitService(scheduler);
    await cell.time.advance(50);
    cell.workers.commandDelayMs = () => 0;
    cell.loseFirst();
    const next = {...entry, born: 2};
    const model = cell.workers.add(next, LASTING_RUNS, cell.time.now());
    model.partitioned = true;
    cell.entries = [next];
    cell.addIdleWorker(scheduler);
    await cell.time.advance(REGISTRY_TIMEOUT_MS);
    cell.dropFirstEntry(scheduler);
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.equal(cell.startsOn('one'), 1, 'the start was not carried out');
    assert.equal(cell.startsOn('two'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against two runs at once: the worker counted as gone 2 s after its
  // entry, so that its task ran elsewhere as its next incarnation carried the
  // start out.
  test('holds a batch task up beside a start that may still arrive', async () => {
    const cell = new LostWorkerCell();
    const [entry, scheduler] = await cell.beginUnanswered(6_800);
    cell.addIdleWorker(scheduler);
    cell.loseFirst();
    await cell.time.advance(REGISTRY_TIMEOUT_MS);
    cell.dropFirstEntry(scheduler);
    await cell.time.advance(6_650 - REGISTRY_TIMEOUT_MS);
    assert.equal(cell.startsOn('two'), 0);
    const next = {...entry, born: 2};
    const model = cell.workers.add(next, LASTING_RUNS, cell.time.now());
    model.partitioned = true;
    await cell.time.advance(300);
    assert.equal(cell.startsOn('one'), 1, 'the start was not carried out');
    model.partitioned = false;
    cell.entries = [...cell.entries, next];
    scheduler.updateWorkers(cell.entries);
    await cell.advanceWithLeases(COPIES_OVER_MS);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a batch task that waits for a worker that does not come back,
  // for longer than callers accept at the end of their traffic.
  test('lets a batch task start elsewhere before callers take it for lost', async () => {
    const cell = new LostWorkerCell();
    const [, scheduler] = await cell.beginUnanswered(1_000_000);
    cell.addIdleWorker(scheduler);
    cell.loseFirst();
    await cell.time.advance(REGISTRY_TIMEOUT_MS);
    cell.dropFirstEntry(scheduler);
    await cell.time.advance(RESTART_MS - REGISTRY_TIMEOUT_MS - 100);
    assert.equal(cell.startsOn('two'), 1);
  });

  // Guards against a worker that counts as gone because its entry expired while
  // the registry did not answer: a live one writes it again.
  test('holds its task up while the registry does not answer', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await cell.begin();
    cell.loseFirst();
    submitService(scheduler);
    await cell.time.advance(50);
    cell.addIdleWorker(scheduler);
    await cell.time.advance(REGISTRY_TIMEOUT_MS);
    cell.dropFirstEntry(scheduler);
    scheduler.setRegistryAvailable(false);
    await cell.time.advance(RESTART_MS);
    assert.equal(cell.startsOn('two'), 0);
    scheduler.setRegistryAvailable(true);
    await cell.time.advance(1_500);
    assert.equal(cell.startsOn('two'), 0, 'its entry may still come back');
    await cell.time.advance(1_000);
    assert.equal(cell.startsOn('two'), 1);
  });
});

describe('a start without an answer that an earlier term has left', () => {
  // Guards against a task that stands for 24 s after a takeover, because any
  // worker was lost, although the one that its start went to is gone.
  test('holds its task up until the registry shows that it is gone', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await cell.begin();
    cell.loseFirst();
    submitService(scheduler);
    await cell.time.advance(1_000);
    scheduler.retire();
    const successor = await cell.startTerm(2);
    cell.addIdleWorker(successor);
    await cell.time.advance(REGISTRY_TIMEOUT_MS - 1_000);
    cell.dropFirstEntry(successor);
    await cell.time.advance(RESTART_MS - REGISTRY_TIMEOUT_MS);
    assert.equal(cell.startsOn('two'), 1);
  });

  // Guards against the same for the other tasks of the job, none of whose starts
  // went to a worker that is lost.
  test('holds up no other task of its job', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await cell.begin();
    cell.workers.commandDelayMs = () => 3_000;
    const step = {longRunning: true, count: 2, maximumPerWorker: 1};
    jobCell.submit(scheduler, jobCell.jobOf('aa', step));
    await cell.time.advance(20);
    cell.workers.commandDelayMs = () => 0;
    cell.addIdleWorker(scheduler);
    await cell.time.advance(1_500);
    assert.equal(cell.startsOn('two'), 1);
    cell.workers.byAddress.get('two:1')?.crash();
    cell.addWorkers(LASTING_RUNS, 'three');
    scheduler.updateWorkers(cell.entries);
    scheduler.retire();
    await cell.startTerm(2);
    await cell.time.advance(RESTART_MS);
    assert.equal(cell.startsOn('three'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});

describe('a worker that has come back under its id and is lost for good', () => {
  /**
   * Loses worker `one`, which has restarted some time before, and worker `two`
   * with the task of job `aa`, and starts the next term.
   */
  async function loseBoth(
    sinceRestartMs: number,
    step: Partial<job.Step>,
  ): Promise<LostWorkerCell> {
    const cell = new LostWorkerCell();
    cell.addWorkers(LASTING_RUNS, 'two');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', step));
    await cell.time.advance(200);
    cell.addWorkers(LASTING_RUNS, 'one');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(200);
    cell.workers.byAddress.get('one:1')?.crash();
    const next = jobCell.registryEntry('one', {born: cell.time.now()});
    cell.entries = cell.entries.filter(({id}) => id !== 'one');
    cell.addWorker(next, LASTING_RUNS);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(sinceRestartMs);
    cell.workers.byAddress.get('one:1')?.crash();
    cell.workers.byAddress.get('two:1')?.crash();
    scheduler.retire();
    const successor = await cell.startTerm(2);
    cell.addWorkers(LASTING_RUNS, 'three');
    successor.updateWorkers(cell.entries);
    return cell;
  }

  // Guards against jobs that wait 24 s after a takeover for a worker that has
  // restarted long before, and whose last foreign lease the earlier term outlived.
  test('holds jobs of earlier terms up no longer than any other', async () => {
    const cell = await loseBoth(12_000, {});
    await cell.time.advance(RESTART_MS);
    assert.equal(cell.startsOn('three'), 1);
  });

  // Guards against the same for one that the earlier term has just reached: it
  // rejects the calls that were meant for its last incarnation.
  test('holds jobs up for one foreign lease if it was reached', async () => {
    const cell = await loseBoth(2_000, {});
    await cell.time.advance(10_000);
    assert.equal(cell.startsOn('three'), 0, 'a foreign lease may last');
    await cell.time.advance(1_000);
    assert.equal(cell.startsOn('three'), 1);
  });
});

describe('a task that lasts, of an earlier term', () => {
  /** Starts a term with task `aa` on worker `two`, and worker `one` beside it. */
  async function beginWithIdleWorker(
    cell: LostWorkerCell,
    plan = LASTING_RUNS,
  ): Promise<jobScheduler.JobScheduler> {
    cell.addWorkers(plan, 'two');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    submitService(scheduler);
    await cell.time.advance(200);
    assert.equal(cell.startsOn('two'), 1);
    cell.addWorkers(LASTING_RUNS, 'one');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(200);
    return scheduler;
  }

  // Guards against a task that stands although its own worker has reported,
  // because another one that never had it is lost.
  test('waits for no worker that the journal does not name for it', async () => {
    const cell = new LostWorkerCell();
    const plan = failFirstRunAfter(1_000);
    const scheduler = await beginWithIdleWorker(cell, plan);
    cell.loseFirst();
    scheduler.retire();
    await cell.startTerm(2);
    await cell.time.advance(1_500);
    assert.equal(cell.startsOn('two'), 2);
  });

  // Guards against two runs at once: its worker is out of reach of the next term
  // and runs the task on.
  test('waits for the worker that the journal names for it', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await beginWithIdleWorker(cell);
    scheduler.retire();
    const two = cell.workers.byAddress.get('two:1');
    assert.ok(two);
    two.partitioned = true;
    await cell.startTerm(2);
    await cell.advanceWithLeases(RESTART_MS);
    assert.equal(cell.startsOn('one'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against two runs at once: the start was carried out although no record
  // named its worker, and the next term started the task elsewhere.
  test('is not started before the journal names its worker', async () => {
    const cell = new LostWorkerCell();
    const plan = failFirstRunAfter(600);
    const scheduler = await beginWithIdleWorker(cell, plan);
    cell.entries = cell.entries.map(entry =>
      entry.id === 'two' ? {...entry, state: 'draining'} : entry,
    );
    scheduler.updateWorkers(cell.entries);
    cell.journal.down = true;
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('aa').length, 1);
    cell.journal.down = false;
    await cell.time.advance(1_000);
    assert.equal(cell.startsOn('one'), 1);
  });

  // Guards against a service that loses tasks during an outage of the store: its
  // last worker is named already.
  test('is started again on its worker while the store is away', async () => {
    const cell = new LostWorkerCell();
    cell.addWorkers(failFirstRunAfter(300), 'two');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    submitService(scheduler);
    await cell.time.advance(100);
    cell.journal.down = true;
    await cell.time.advance(1_000);
    assert.equal(cell.startsOn('two'), 2);
  });

  // Guards against two runs at once after a rolling update: an earlier version
  // of the program starts tasks without naming their workers.
  test('waits for each worker of a term that named none', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await beginWithIdleWorker(cell);
    scheduler.retire();
    cell.journal.forgetPlacements();
    const two = cell.workers.byAddress.get('two:1');
    assert.ok(two);
    two.partitioned = true;
    await cell.startTerm(2);
    await cell.advanceWithLeases(RESTART_MS);
    assert.equal(cell.startsOn('one'), 1);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against a service on workers that have just come back under their ids:
  // if one is lost again, its tasks wait for leases of the earlier incarnation.
  test('is placed on a worker that has not restarted, if there is one', async () => {
    const cell = new LostWorkerCell();
    const scheduler = await cell.begin();
    cell.workers.byAddress.get('one:1')?.crash();
    const next = jobCell.registryEntry('one', {born: 2});
    cell.entries = [];
    cell.addWorker(next, LASTING_RUNS);
    cell.addIdleWorker(scheduler);
    await cell.time.advance(1_000);
    submitService(scheduler);
    await cell.time.advance(100);
    assert.equal(cell.startsOn('two'), 1);
  });
});
