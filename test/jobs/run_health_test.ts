import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as runHealth from '../../src/jobs/run_health.js';
import * as jobTask from '../../src/jobs/job_task.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

function runOf(step: Partial<job.Step>): {
  run: jobTask.Assignment;
  record: jobRecord.JobRecord;
  worker: remoteWorker.RemoteWorker;
} {
  const record = new jobRecord.JobRecord(jobCell.jobOf('aa', step), 0);
  const worker = new remoteWorker.RemoteWorker(jobCell.workerEntry('one'), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.phase = 'running';
  run.reported = true;
  return {run, record, worker};
}

describe('a run that is watched', () => {
  // Guards against a job that waits for a task which stands still.
  test('is stalled when its worker reports no progress', () => {
    const {run, worker} = runOf({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run, 1_000), undefined);
    worker.recordClockReading(1_600, 1_600);
    assert.equal(runHealth.detectFault(run, 1_600), 'stalled');
  });

  // Guards against work thrown away because a worker is out of reach.
  test('is not judged by the silence of its worker', () => {
    const {run, worker} = runOf({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run, 60_000), undefined);
  });

  // Guards against restarts of tasks that only last.
  test('is left alone when it runs until it is cancelled', () => {
    const {run, worker} = runOf({longRunning: true});
    worker.recordClockReading(9_000, 9_000);
    assert.equal(runHealth.detectFault(run, 9_000), undefined);
  });

  // Guards against a job that waits for its one task on a slow worker.
  test('is slow when the others of its step were done long before', () => {
    const {run, record, worker} = runOf({count: 4});
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

  // Guards against a task that is by nature longer than the others of its step
  // and is started over for ever.
  test('is called slow once at most, and stalled ever later', () => {
    const {run, record, worker} = runOf({count: 4});
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
