import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as assignmentIndex from '../../src/jobs/assignment_index.js';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as idleCapacityThrottle from '../../src/jobs/idle_capacity_throttle.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as jobTask from '../../src/jobs/job_task.js';
import type * as dispatcher from '../../src/jobs/dispatcher.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

function placeRun(
  index: assignmentIndex.AssignmentIndex,
  worker: remoteWorker.RemoteWorker,
  id: string,
  step: Partial<job.Step>,
): jobTask.Assignment {
  const record = new jobRecord.JobRecord(jobCell.jobOf(id, step), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.confirm(0);
  index.add(run);
  return run;
}

describe('the idle capacity throttle', () => {
  function createFixture(): {
    serving: jobTask.Assignment;
    idleCapacityRun: jobTask.Assignment;
    review: (now: number) => void;
  } {
    const index = new assignmentIndex.AssignmentIndex();
    const worker = new remoteWorker.RemoteWorker(
      jobCell.registryEntry('one'),
      0,
    );
    const serving = placeRun(index, worker, 'aa', {
      longRunning: true,
      targetMs: 100,
    });
    const idleCapacityRun = placeRun(index, worker, 'bb', {
      usesIdleCapacity: true,
    });
    const fakeDispatcher = {
      throttle: (run: jobTask.Assignment, percent: number) => {
        run.processorPercent = percent;
      },
    } as unknown as dispatcher.Dispatcher;
    const throttle = new idleCapacityThrottle.IdleCapacityThrottle(
      index,
      fakeDispatcher,
    );
    return {
      serving,
      idleCapacityRun,
      review: now => throttle.review(worker, now),
    };
  }

  // Guards against a service that becomes slow because of idle-capacity runs on
  // its worker.
  test('pauses runs as soon as a service comes near its target', () => {
    const {serving, idleCapacityRun, review} = createFixture();
    serving.reportedUsage = 85;
    review(0);
    assert.equal(idleCapacityRun.processorPercent, 0);
  });

  // Guards against runs that stay paused for good, and against full-speed
  // resumption that makes the service slow again.
  test('raises limits in steps while the service is well below its target', () => {
    const {serving, idleCapacityRun, review} = createFixture();
    serving.reportedUsage = 85;
    review(0);
    serving.reportedUsage = 30;
    review(500);
    assert.equal(idleCapacityRun.processorPercent, 0);
    review(2_600);
    assert.equal(idleCapacityRun.processorPercent, 25);
    serving.reportedUsage = 60;
    review(9_000);
    assert.equal(idleCapacityRun.processorPercent, 25);
  });
});
