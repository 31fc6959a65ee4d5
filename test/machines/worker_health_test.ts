import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import * as workerHealth from '../../src/machines/worker_health.js';
import type * as worker from '../../src/machines/worker.js';

function recordFailures(
  health: workerHealth.WorkerHealth,
  on: worker.Worker,
  workloads: ReadonlyArray<string>,
  runTimeMs = 10,
): boolean {
  return workloads
    .map(workload =>
      health.recordEnd({worker: on, workload, failed: true, runTimeMs}, 0),
    )
    .includes(true);
}

function buildWorker(): worker.Worker {
  return new schedulingHarness.SchedulingHarness().addWorkers(1)[0];
}

nodeTest.describe('workers that fail every task', () => {
  // Guards against a faulty worker that attracts all work because it appears
  // idle.
  nodeTest.test('early failures of three workloads suspend a worker', () => {
    const health = new workerHealth.WorkerHealth();
    const suspect = buildWorker();
    assert.ok(recordFailures(health, suspect, ['a', 'b', 'c']));
    assert.equal(suspect.ready, false);
  });

  // Guards against suspended workers because of a faulty workload, or of tasks
  // that fail after a long run.
  nodeTest.test('one workload that always fails suspends no worker', () => {
    const health = new workerHealth.WorkerHealth();
    const suspect = buildWorker();
    assert.equal(recordFailures(health, suspect, ['a', 'a', 'a', 'a']), false);
    assert.equal(recordFailures(health, suspect, ['b', 'c'], 60_000), false);
    assert.ok(suspect.ready);
  });

  nodeTest.test(
    'a worker that fails one or two workloads is suspended if they succeed ' +
      'elsewhere; guards against lost requests in zones with few workloads',
    () => {
      const health = new workerHealth.WorkerHealth();
      const [healthy, faulty] =
        new schedulingHarness.SchedulingHarness().addWorkers(2);
      const end = {
        worker: healthy,
        workload: 'a',
        failed: false,
        runTimeMs: 200,
      };
      health.recordEnd(end, 0);
      assert.equal(recordFailures(health, faulty, ['a', 'a', 'a', 'a']), false);
      assert.ok(recordFailures(health, faulty, ['a']));
      assert.equal(faulty.ready, false);
    },
  );

  // Guards against a zone that loses all of its workers when a workload that
  // used to succeed begins to fail.
  nodeTest.test(
    'a workload that starts to fail everywhere suspends no further worker',
    () => {
      const health = new workerHealth.WorkerHealth();
      const workers = new schedulingHarness.SchedulingHarness().addWorkers(3);
      const [first, second, third] = workers;
      const end = {worker: first, workload: 'a', failed: false, runTimeMs: 200};
      health.recordEnd(end, 0);
      const many = new Array<string>(20).fill('a');
      recordFailures(health, first, ['a']);
      assert.equal(recordFailures(health, second, many), false);
      assert.equal(recordFailures(health, third, many), false);
    },
  );

  // Guards against a faulty worker that fails many tasks each time it is
  // readmitted.
  nodeTest.test(
    'readmission takes one probe, and each failed probe doubles the wait',
    () => {
      const health = new workerHealth.WorkerHealth();
      const suspect = buildWorker();
      recordFailures(health, suspect, ['a', 'b', 'c']);
      health.readmit(29_999);
      assert.equal(suspect.ready, false);
      health.readmit(30_000);
      assert.ok(health.isOnProbation(suspect));
      health.recordPlacement(suspect);
      assert.equal(suspect.ready, false);
      const probe = {worker: suspect, workload: 'a', runTimeMs: 10};
      health.recordEnd({...probe, failed: true}, 31_000);
      assert.equal(health.nextDeadline(), 91_000);
      health.readmit(91_000);
      health.recordPlacement(suspect);
      health.recordEnd({...probe, failed: false}, 92_000);
      assert.ok(suspect.ready);
      assert.equal(health.isOnProbation(suspect), false);
    },
  );

  // Guards against placing task after task on a faulty worker, whose capacity
  // is free again at once.
  nodeTest.test('a worker that fails every task gets few tasks', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    const [faulty] = harness.addWorkers(2);
    harness.addTeam(schedulingHarness.buildTeam('dispatch'));
    const workloads = ['a', 'b', 'c', 'd'].map(name =>
      schedulingHarness.buildWorkload({
        name,
        size: schedulingHarness.buildResources(2_000, 4_096),
      }),
    );
    let failed = 0;
    for (let now = 0; now < 5_000; now += 100) {
      for (const workload of workloads) {
        harness.admit('dispatch', workload, 1, now);
      }
      for (const placed of harness.scheduler.place(now)) {
        if (placed.worker === faulty) failed += 1;
        harness.end(placed, placed.worker === faulty, now);
      }
    }
    assert.ok(failed >= 3 && failed <= 8, `${failed} tasks failed`);
  });
});
