import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const LONG_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 10_000,
  outcome: 'done',
});

/** Cell of worker `one`, which runs a task, and worker `two`, which is idle. */
class ClaimedMachineCell extends jobCell.JobCell {
  async begin(): Promise<jobScheduler.JobScheduler> {
    this.addWorkers(LONG_RUNS, 'one');
    const scheduler = await this.startTerm(1);
    await this.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await this.time.advance(1_500);
    this.addWorkers(LONG_RUNS, 'two');
    scheduler.updateWorkers(this.entries);
    await this.time.advance(500);
    return scheduler;
  }

  /** Returns an entry that names the machine of worker `one`, and a later start. */
  claim(
    changes: Partial<remoteWorker.RegistryEntry> = {},
  ): remoteWorker.RegistryEntry {
    const [{machine}] = this.entries;
    return jobCell.registryEntry('backup', {machine, born: 2, ...changes});
  }
}

describe('a later entry on the machine of a worker', () => {
  // Guards against tasks that run twice: the entry, which another system had
  // written, ended the runs of the worker, and they were started elsewhere.
  for (const service of ['backup', 'dispatch']) {
    test(`ends no runs of a worker that answers (${service})`, async () => {
      const cell = new ClaimedMachineCell();
      const scheduler = await cell.begin();
      cell.entries = [...cell.entries, cell.claim({service})];
      scheduler.updateWorkers(cell.entries);
      await cell.time.advance(20_000);
      assert.equal(cell.startsOf('aa').length, 1);
      assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
      assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    });
  }

  // Guards against the same by a term that finds the entry as it takes over.
  test('ends no runs of a worker that answers the next term', async () => {
    const cell = new ClaimedMachineCell();
    const scheduler = await cell.begin();
    cell.entries = [...cell.entries, cell.claim()];
    scheduler.retire();
    const successor = await cell.startTerm(2);
    await cell.time.advance(20_000);
    assert.equal(cell.startsOf('aa').length, 1);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against tasks that wait for the lease of a worker whose machine runs
  // another one.
  test('ends the runs of a worker that does not answer', async () => {
    const cell = new ClaimedMachineCell();
    const scheduler = await cell.begin();
    cell.workers.byAddress.get('one:1')?.crash();
    cell.entries = [...cell.entries, cell.claim()];
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(2_000);
    assert.equal(cell.startsOf('aa').length, 2);
  });
});

describe('an entry of a service that no queue uses', () => {
  // Guards against calls to a program that is no worker of the cell.
  test('names no worker until a queue uses the service', async () => {
    const cell = new ClaimedMachineCell();
    const scheduler = await cell.begin();
    const entry = jobCell.registryEntry('three', {service: 'annex'});
    const renewals: string[] = [];
    const renew = cell.workers.renewLeases.bind(cell.workers);
    cell.workers.renewLeases = (worker, command) => {
      renewals.push(worker.id);
      return renew(worker, command);
    };
    cell.addWorker(entry, LONG_RUNS);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(1_000);
    assert.ok(!renewals.includes('three'));
    scheduler.configure({
      version: 2,
      queues: [{...jobCell.QUEUE, service: 'annex'}],
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    });
    await cell.time.advance(1_000);
    assert.ok(renewals.includes('three'));
  });
});
