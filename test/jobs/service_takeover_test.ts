import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as pausableProcess from '../support/pausable_process.js';
import * as runAudit from '../support/run_audit.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const LASTING_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 1_000_000,
  outcome: 'done',
  lasts: true,
});

/** Process whose event loop turns take some time. */
class SlowProcess extends pausableProcess.PausableProcess {
  constructor(
    private readonly cell: jobCell.JobCell,
    private readonly turnMs: number,
  ) {
    super(cell.time);
  }

  override runSoon(callback: () => void): void {
    this.cell.time.runAt(this.cell.time.now() + this.turnMs, callback);
  }
}

describe('a takeover of many jobs', () => {
  // Guards against two runs at once: the report of an end opens the step of a job
  // whose tasks are not held back yet.
  for (const jobCount of [0, 2_500]) {
    test(`starts no task that another worker runs (${jobCount})`, async () => {
      const cell = new jobCell.JobCell();
      for (let index = 0; index < jobCount; index += 1) {
        const size = {...jobCell.STEP.size, processors: 9_000};
        const definition = jobCell.jobOf(`filler${index}`, {size});
        cell.journal.definitions.set(definition.id, definition);
      }
      let oneRuns = 0;
      cell.addWorkers(command => {
        oneRuns += 1;
        if (oneRuns > 1) return LASTING_RUNS(command);
        return {runTimeMs: 1_000, outcome: 'failed', lasts: true};
      }, 'one');
      cell.addWorkers(LASTING_RUNS, 'two');
      const scheduler = await cell.startTerm(1);
      await cell.time.advance(500);
      const step = {longRunning: true, count: 2, maximumPerWorker: 1};
      jobCell.submit(scheduler, jobCell.jobOf('aa', step));
      await cell.time.advance(200);
      assert.equal(cell.startsOf('aa').length, 2);
      cell.addWorkers(LASTING_RUNS, 'three');
      scheduler.updateWorkers(cell.entries);
      await cell.time.advance(400);
      scheduler.retire();
      await cell.time.advance(600);
      const two = cell.workers.byAddress.get('two:1');
      assert.ok(two);
      two.partitioned = true;
      await cell.startTerm(2, undefined, undefined, new SlowProcess(cell, 5));
      for (let elapsedMs = 0; elapsedMs < 9_000; elapsedMs += 10) {
        await cell.time.advance(10);
        two.endDueRuns();
      }
      assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    });
  }
});

describe('starts that wait for the store', () => {
  // Guards against commands that are not repeated while the store is away: tasks
  // that wait for it used up the repeats of each turn.
  for (const count of [50, 150]) {
    test(`keep no other command from being repeated (${count})`, async () => {
      const cell = new jobCell.JobCell();
      const capacity = {
        ...jobCell.registryEntry('one').capacity,
        processors: 1_000_000,
        memory: 10_000_000,
      };
      cell.addWorker(jobCell.registryEntry('one', {capacity}), LASTING_RUNS);
      const scheduler = await cell.startTerm(1);
      await cell.time.advance(200);
      jobCell.submit(scheduler, jobCell.jobOf('bb', {}));
      await cell.time.advance(1_000);
      assert.equal(cell.startsOf('bb').length, 1);
      const step = {longRunning: true, count};
      jobCell.submit(scheduler, jobCell.jobOf('aa', step));
      while (!cell.journal.definitions.has('aa')) await cell.time.advance(1);
      cell.journal.down = true;
      await cell.time.advance(300);
      assert.equal(cell.startsOf('aa').length, 0);
      cell.workers.commandDelayMs = () => 1_000_000;
      scheduler.cancel(jobCell.QUEUE.name, 'bb', () => {});
      await cell.time.advance(10);
      cell.workers.commandDelayMs = () => 0;
      await cell.time.advance(10_000);
      const ended = cell.workers.events.filter(
        ({kind, task}) => kind === 'ended' && task.startsWith('bb'),
      );
      assert.equal(ended.length, 1, 'the stop was not repeated');
    });
  }
});

describe('a task that waits for a late start and for an earlier run', () => {
  // Guards against two runs at once: the task is started again in place on the
  // worker of the late start, while the journal names another worker for it.
  test('is not started in place before the earlier run is known', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(LASTING_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 1_000_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {longRunning: true}));
    await cell.time.advance(50);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(1_000);
    cell.addWorkers(LASTING_RUNS, 'two');
    cell.workers.byAddress.get('one:1')?.crash();
    const [, second] = cell.entries;
    cell.entries = [second];
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(9_000);
    const [start] = cell.startsOf('aa').slice(-1);
    assert.equal(start?.worker, 'two');
    const next = jobCell.registryEntry('one', {born: 2});
    cell.workers.add(next, LASTING_RUNS, cell.time.now());
    cell.entries = [next, second];
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(200);
    scheduler.retire();
    const two = cell.workers.byAddress.get('two:1');
    assert.ok(two);
    two.partitioned = true;
    await cell.startTerm(2);
    for (let elapsedMs = 0; elapsedMs < 9_000; elapsedMs += 10) {
      await cell.time.advance(10);
      two.endDueRuns();
    }
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});

describe('a worker of an earlier term that the registry does not list', () => {
  // Guards against a worker that counts as gone at the first list that is read,
  // because it has been missing since the takeover: the store was away, and the
  // entry of its next incarnation is not back yet.
  test('is not gone at the first list that is read', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(LASTING_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 9_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {longRunning: true}));
    await cell.time.advance(50);
    cell.workers.commandDelayMs = () => 0;
    const [one] = cell.entries;
    cell.workers.byAddress.get('one:1')?.crash();
    await cell.time.advance(700);
    scheduler.retire();
    cell.entries = [];
    const successor = await cell.startTerm(2);
    successor.setRegistryAvailable(false);
    await cell.time.advance(7_000);
    const next = {...one, born: 2};
    const model = cell.workers.add(next, LASTING_RUNS, cell.time.now());
    model.partitioned = true;
    cell.addWorkers(LASTING_RUNS, 'two');
    successor.updateWorkers(cell.entries);
    successor.setRegistryAvailable(true);
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 10) {
      await cell.time.advance(10);
      if (elapsedMs === 1_800) {
        cell.entries = [...cell.entries, next];
        successor.updateWorkers(cell.entries);
      }
      model.endDueRuns();
    }
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});

describe('a takeover of many workers', () => {
  // Guards against two runs at once: a report opens the step of a job while the
  // sessions with other workers, which run its tasks, are not opened yet.
  for (const workerCount of [10, 100, 400]) {
    test(`starts no task that another one runs (${workerCount})`, async () => {
      const cell = new jobCell.JobCell();
      let oneRuns = 0;
      cell.addWorkers(command => {
        oneRuns += 1;
        if (oneRuns > 1) return LASTING_RUNS(command);
        return {runTimeMs: 1_000, outcome: 'failed', lasts: true};
      }, 'one');
      cell.addWorkers(LASTING_RUNS, 'two');
      const scheduler = await cell.startTerm(1);
      await cell.time.advance(500);
      const step = {longRunning: true, count: 2, maximumPerWorker: 1};
      jobCell.submit(scheduler, jobCell.jobOf('aa', step));
      await cell.time.advance(200);
      assert.equal(cell.startsOf('aa').length, 2);
      for (let index = 0; index < workerCount; index += 1) {
        cell.addWorkers(LASTING_RUNS, `idle${index}`);
      }
      scheduler.updateWorkers(cell.entries);
      await cell.time.advance(400);
      scheduler.retire();
      await cell.time.advance(600);
      const [one, two, ...others] = cell.entries;
      cell.entries = [one, ...others, two];
      await cell.startTerm(2, undefined, undefined, new SlowProcess(cell, 5));
      await cell.time.advance(2_000);
      assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    });
  }
});
