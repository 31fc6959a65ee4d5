import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

/** Age of the first worker when the test begins. */
const WORKER_AGE_MS = 100_000;

/** Time from the worker's return to the succession, and to the cut after it. */
const SUCCESSION_MS = 400;
const CUT_MS = 300;

/** Longest lease that a call for the last incarnation may have granted. */
const FOREIGN_LEASE_OVER_MS = 26_000;

const LONG_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 60_000,
  outcome: 'done',
});

/** Cell whose first worker comes back under its id while a task waits for it. */
class RestartedWorkerCell extends jobCell.JobCell {
  next: workerModel.WorkerModel | undefined;

  /** Starts the first term; its first worker restarts and takes a job. */
  async begin(): Promise<jobScheduler.JobScheduler> {
    const first = jobCell.registryEntry('one');
    this.entries = [first];
    this.workers.add(first, LONG_RUNS, -WORKER_AGE_MS);
    const scheduler = await this.startTerm(1);
    await this.advanceWithLeases(200);
    this.workers.byAddress.get(first.address)?.crash();
    const entry = {...first, born: this.time.now()};
    this.next = this.workers.add(entry, LONG_RUNS, this.time.now());
    // Its start is meant for the last incarnation and reaches this one.
    jobCell.submit(scheduler, jobCell.jobOf('first', {}));
    await this.advanceWithLeases(1_500);
    assert.ok(this.next.leaseEndMs > 9_000, 'no foreign lease was granted');
    this.entries = [entry];
    scheduler.updateWorkers(this.entries);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await this.advanceWithLeases(SUCCESSION_MS);
    assert.equal(this.startsOf('aa').length, 1);
    return scheduler;
  }

  addIdleWorker(scheduler: jobScheduler.JobScheduler): void {
    this.addWorker(jobCell.registryEntry('two'), LONG_RUNS);
    scheduler.updateWorkers(this.entries);
  }

  /** Advances time; the workers' leases end in time. */
  async advanceWithLeases(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 10) {
      await this.time.advance(10);
      for (const worker of this.workers.byAddress.values()) worker.endDueRuns();
    }
  }

  /** Cuts the restarted worker off, with a lease of the longest duration. */
  cutOff(): void {
    const {next} = this;
    assert.ok(next);
    next.partitioned = true;
  }

  expectOneRunAtATime(): void {
    assert.deepEqual(runAudit.findRepeatedRuns(this.workers), []);
    assert.equal(this.startsOf('aa').length, 2, 'the task still waits');
  }
}

describe('a worker that has come back under its id and is cut off', () => {
  // Guards against two runs at once: a start with a deadline on the clock of the
  // last incarnation gave the next one a lease of 10 s, and the successor of the
  // leader that had sent it counted on its own lease of 5 s alone.
  test('keeps its runs until foreign leases are over, after a succession', async () => {
    const cell = new RestartedWorkerCell();
    const scheduler = await cell.begin();
    scheduler.retire();
    const successor = await cell.startTerm(2);
    await cell.advanceWithLeases(CUT_MS);
    cell.cutOff();
    cell.addIdleWorker(successor);
    await cell.advanceWithLeases(FOREIGN_LEASE_OVER_MS);
    cell.expectOneRunAtATime();
  });

  // Guards against the same where the successor never reaches the worker.
  test('keeps its runs if it is cut off before the succession', async () => {
    const cell = new RestartedWorkerCell();
    const scheduler = await cell.begin();
    scheduler.retire();
    cell.cutOff();
    const successor = await cell.startTerm(2);
    cell.addIdleWorker(successor);
    await cell.advanceWithLeases(FOREIGN_LEASE_OVER_MS);
    cell.expectOneRunAtATime();
  });

  // Guards against a wait of 10 s for each worker that is lost after a succession,
  // also for those that have never restarted.
  test('holds a task up for its own lease alone if it has not restarted', async () => {
    const cell = new RestartedWorkerCell();
    cell.addWorkers(LONG_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.advanceWithLeases(SUCCESSION_MS);
    scheduler.retire();
    const successor = await cell.startTerm(2);
    await cell.advanceWithLeases(CUT_MS);
    const one = cell.workers.byAddress.get('one:1');
    assert.ok(one);
    one.partitioned = true;
    cell.addIdleWorker(successor);
    await cell.advanceWithLeases(7_000);
    cell.expectOneRunAtATime();
  });
});
