import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as runHealth from '../../src/jobs/run_health.js';
import * as jobTask from '../../src/jobs/job_task.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

function buildRun(step: Partial<job.Step>): {
  run: jobTask.Assignment;
  record: jobRecord.JobRecord;
  worker: remoteWorker.RemoteWorker;
} {
  const record = new jobRecord.JobRecord(jobCell.jobOf('aa', step), 0);
  const worker = new remoteWorker.RemoteWorker(jobCell.registryEntry('one'), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.phase = 'running';
  run.reported = true;
  return {run, record, worker};
}

describe('fault detection of runs', () => {
  // Guards against a job that waits for a task without progress.
  test('reports a stall if the worker reports no progress', () => {
    const {run, worker} = buildRun({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run, 1_000), undefined);
    worker.recordClockReading(1_600, 1_600);
    assert.equal(runHealth.detectFault(run, 1_600), 'stalled');
  });

  // Guards against losing the work of a run because its worker is unreachable.
  test('does not count the silence of a worker as a stall', () => {
    const {run, worker} = buildRun({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run, 60_000), undefined);
  });

  // Guards against restarts of services, which run until they are cancelled and
  // report no progress.
  test('ignores long-running tasks', () => {
    const {run, worker} = buildRun({longRunning: true});
    worker.recordClockReading(9_000, 9_000);
    assert.equal(runHealth.detectFault(run, 9_000), undefined);
  });

  // Guards against a job that waits for one task on a slow worker.
  test('reports a slow run if the others of its step took far less time', () => {
    const {run, record, worker} = buildRun({count: 4});
    for (let index = 0; index < 3; index += 1) {
      record.steps[0].recordDuration(1_000);
    }
    run.progressPercent = 40;
    run.progressedAt = 2_500;
    worker.recordClockReading(2_500, 2_500);
    assert.equal(runHealth.detectFault(run, 2_300), undefined);
    assert.equal(runHealth.detectFault(run, 2_500), 'slow');
    run.progressPercent = 90;
    assert.equal(runHealth.detectFault(run, 2_500), undefined);
  });

  // Guards against endless restarts of a task that inherently takes longer than
  // the others of its step.
  test('reports a task as slow only once, and doubles its stall limit', () => {
    const {run, record, worker} = buildRun({count: 4});
    for (let index = 0; index < 3; index += 1) {
      record.steps[0].recordDuration(300);
    }
    run.progressPercent = 30;
    run.progressedAt = 2_500;
    worker.recordClockReading(2_500, 2_500);
    assert.equal(runHealth.detectFault(run, 2_500), 'slow');
    run.jobTask.replacementCount = 1;
    assert.equal(runHealth.detectFault(run, 2_500), undefined);
    worker.recordClockReading(5_400, 5_400);
    assert.equal(runHealth.detectFault(run, 5_400), undefined);
    worker.recordClockReading(5_600, 5_600);
    assert.equal(runHealth.detectFault(run, 5_600), 'stalled');
  });
});
