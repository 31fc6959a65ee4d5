import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as runHealth from '../../src/jobs/run_health.js';
import * as jobTask from '../../src/jobs/job_task.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

function buildRun(
  step: Partial<job.Step>,
  confirmedAt = 0,
): {
  run: jobTask.Assignment;
  record: jobRecord.JobRecord;
  worker: remoteWorker.RemoteWorker;
} {
  const record = new jobRecord.JobRecord(jobCell.jobOf('aa', step), 0);
  const worker = new remoteWorker.RemoteWorker(jobCell.registryEntry('one'), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.confirm(confirmedAt);
  run.reported = true;
  return {run, record, worker};
}

describe('fault detection of runs', () => {
  // Guards against a job that waits for a task without progress.
  test('reports a stall if the worker reports no progress', () => {
    const {run, worker} = buildRun({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run), undefined);
    worker.recordClockReading(1_600, 1_600);
    assert.equal(runHealth.detectFault(run), 'stalled');
  });

  // Guards against losing the work of a run because its worker is unreachable.
  test('does not count the silence of a worker as a stall', () => {
    const {run, worker} = buildRun({});
    worker.recordClockReading(1_000, 1_000);
    assert.equal(runHealth.detectFault(run), undefined);
  });

  // Guards against work that is started again elsewhere because the reports
  // about it wait behind a full link: the progress is as old as the report.
  test('a late report was read as a slow run: compares progress with the time of its report', () => {
    const {run, record, worker} = buildRun({count: 4});
    for (let index = 0; index < 3; index += 1) {
      record.steps[0].recordDuration(1_000);
    }
    run.progressPercent = 44;
    run.progressedAt = 450;
    worker.recordClockReading(450, 450);
    assert.equal(runHealth.detectFault(run), undefined);
  });

  // Guards against work that is started again because its start order waited
  // behind a full link.
  test('a late start was read as a stall: counts from when the run was known to run', () => {
    const {run, worker} = buildRun({}, 1_400);
    worker.recordClockReading(1_700, 1_700);
    assert.equal(runHealth.detectFault(run), undefined);
    worker.recordClockReading(3_000, 3_000);
    assert.equal(runHealth.detectFault(run), 'stalled');
  });

  // Guards against restarts of services, which run until they are cancelled and
  // report no progress.
  test('ignores long-running tasks', () => {
    const {run, worker} = buildRun({longRunning: true});
    worker.recordClockReading(9_000, 9_000);
    assert.equal(runHealth.detectFault(run), undefined);
  });

  // Guards against a job that waits for one task on a slow worker.
  test('reports a slow run if the others of its step took far less time', () => {
    const {run, record, worker} = buildRun({count: 4});
    for (let index = 0; index < 3; index += 1) {
      record.steps[0].recordDuration(1_000);
    }
    run.progressPercent = 40;
    run.progressedAt = 2_500;
    worker.recordClockReading(2_300, 2_300);
    assert.equal(runHealth.detectFault(run), undefined);
    worker.recordClockReading(2_500, 2_500);
    assert.equal(runHealth.detectFault(run), 'slow');
    run.progressPercent = 90;
    assert.equal(runHealth.detectFault(run), undefined);
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
    assert.equal(runHealth.detectFault(run), 'slow');
    run.jobTask.replacementCount = 1;
    assert.equal(runHealth.detectFault(run), undefined);
    worker.recordClockReading(5_400, 5_400);
    assert.equal(runHealth.detectFault(run), undefined);
    worker.recordClockReading(5_600, 5_600);
    assert.equal(runHealth.detectFault(run), 'stalled');
  });
});
