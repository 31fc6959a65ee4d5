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

function oneWorker(): worker.Worker {
  return new schedulingHarness.SchedulingHarness().addWorkers(1)[0];
}

nodeTest.describe('workers that fail every task', () => {
  nodeTest.test('early failures of three workloads suspend a worker', () => {
    const health = new workerHealth.WorkerHealth();
    const machine = oneWorker();
    assert.ok(recordFailures(health, machine, ['a', 'b', 'c']));
    assert.equal(machine.ready, false);
  });

  nodeTest.test('one workload that always fails suspends no worker', () => {
    const health = new workerHealth.WorkerHealth();
    const machine = oneWorker();
    assert.equal(recordFailures(health, machine, ['a', 'a', 'a', 'a']), false);
    assert.equal(recordFailures(health, machine, ['b', 'c'], 60_000), false);
    assert.ok(machine.ready);
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

  nodeTest.test(
    'a workload that starts to fail everywhere suspends no further worker',
    () => {
      const health = new workerHealth.WorkerHealth();
      const machines = new schedulingHarness.SchedulingHarness().addWorkers(3);
      const [first, second, third] = machines;
      const end = {worker: first, workload: 'a', failed: false, runTimeMs: 200};
      health.recordEnd(end, 0);
      const many = new Array<string>(20).fill('a');
      recordFailures(health, first, ['a']);
      assert.equal(recordFailures(health, second, many), false);
      assert.equal(recordFailures(health, third, many), false);
    },
  );

  nodeTest.test(
    'readmission takes one probe, and each failed probe doubles the wait',
    () => {
      const health = new workerHealth.WorkerHealth();
      const machine = oneWorker();
      recordFailures(health, machine, ['a', 'b', 'c']);
      health.readmit(29_999);
      assert.equal(machine.ready, false);
      health.readmit(30_000);
      assert.ok(health.isOnProbation(machine));
      health.recordPlacement(machine);
      assert.equal(machine.ready, false);
      const probe = {worker: machine, workload: 'a', runTimeMs: 10};
      health.recordEnd({...probe, failed: true}, 31_000);
      assert.equal(health.nextDeadline(), 91_000);
      health.readmit(91_000);
      health.recordPlacement(machine);
      health.recordEnd({...probe, failed: false}, 92_000);
      assert.ok(machine.ready);
      assert.equal(health.isOnProbation(machine), false);
    },
  );

  nodeTest.test('a worker that fails every task gets few tasks', () => {
    const world = new schedulingHarness.SchedulingHarness();
    const [faulty] = world.addWorkers(2);
    world.addTeam(schedulingHarness.buildTeam('dispatch'));
    const kinds = ['a', 'b', 'c', 'd'].map(name =>
      schedulingHarness.buildWorkload({
        name,
        size: schedulingHarness.buildResources(2_000, 4_096),
      }),
    );
    let failed = 0;
    for (let now = 0; now < 5_000; now += 100) {
      for (const kind of kinds) world.admit('dispatch', kind, 1, now);
      for (const placed of world.scheduler.place(now)) {
        if (placed.worker === faulty) failed += 1;
        world.end(placed, placed.worker === faulty, now);
      }
    }
    assert.ok(failed >= 3 && failed <= 8, `${failed} tasks failed`);
  });
});
