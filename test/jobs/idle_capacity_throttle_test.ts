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

function place(
  index: assignmentIndex.AssignmentIndex,
  worker: remoteWorker.RemoteWorker,
  id: string,
  step: Partial<job.Step>,
): jobTask.Assignment {
  const record = new jobRecord.JobRecord(jobCell.jobOf(id, step), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.phase = 'running';
  index.add(run);
  return run;
}

describe('tasks that use idle capacity', () => {
  function scene(): {
    serving: jobTask.Assignment;
    filler: jobTask.Assignment;
    review: (now: number) => void;
  } {
    const index = new assignmentIndex.AssignmentIndex();
    const worker = new remoteWorker.RemoteWorker(jobCell.workerEntry('one'), 0);
    const serving = place(index, worker, 'aa', {
      longRunning: true,
      targetMs: 100,
    });
    const filler = place(index, worker, 'bb', {usesIdleCapacity: true});
    const orders = {
      throttle: (run: jobTask.Assignment, percent: number) => {
        run.processorPercent = percent;
      },
    } as unknown as dispatcher.Dispatcher;
    const rules = new idleCapacityThrottle.IdleCapacityThrottle(index, orders);
    return {serving, filler, review: now => rules.review(worker, now)};
  }

  // Guards against users of a service that wait because of work beside it.
  test('stand still as soon as a service comes near its target', () => {
    const {serving, filler, review} = scene();
    serving.reportedUsage = 85;
    review(0);
    assert.equal(filler.processorPercent, 0);
  });

  // Guards against work that stands still for good, and against a return that
  // harms the service at once again.
  test('come back in steps while the service is calm', () => {
    const {serving, filler, review} = scene();
    serving.reportedUsage = 85;
    review(0);
    serving.reportedUsage = 30;
    review(500);
    assert.equal(filler.processorPercent, 0);
    review(2_600);
    assert.equal(filler.processorPercent, 25);
    serving.reportedUsage = 60;
    review(9_000);
    assert.equal(filler.processorPercent, 25);
  });
});
