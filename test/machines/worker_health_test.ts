import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import * as workerHealth from '../../src/machines/worker_health.js';
import type * as worker from '../../src/machines/worker.js';

function failures(
  health: workerHealth.WorkerHealth,
  on: worker.Worker,
  workloads: ReadonlyArray<string>,
  ranMs = 10,
): boolean {
  return workloads
    .map(workload =>
      health.recordEnd({worker: on, workload, failed: true, ranMs}, 0),
    )
    .includes(true);
}

function oneWorker(): worker.Worker {
  return new schedulingHarness.SchedulingHarness().addWorkers(1)[0];
}

nodeTest.describe('black holes', () => {
  nodeTest.test('three early failures of different workloads suspend', () => {
    const health = new workerHealth.WorkerHealth();
    const machine = oneWorker();
    assert.ok(failures(health, machine, ['a', 'b', 'c']));
    assert.equal(machine.ready, false);
  });

  nodeTest.test('a workload that always fails does not suspend workers', () => {
    const health = new workerHealth.WorkerHealth();
    const machine = oneWorker();
    assert.equal(failures(health, machine, ['a', 'a', 'a', 'a']), false);
    assert.equal(failures(health, machine, ['b', 'c'], 60_000), false);
    assert.ok(machine.ready);
  });

  nodeTest.test(
    'a worker that fails only one or two workloads is suspended when they ' +
      'work elsewhere, so that a zone with few workloads loses few requests',
    () => {
      const health = new workerHealth.WorkerHealth();
      const [sound, hole] =
        new schedulingHarness.SchedulingHarness().addWorkers(2);
      const end = {worker: sound, workload: 'a', failed: false, ranMs: 200};
      health.recordEnd(end, 0);
      assert.equal(failures(health, hole, ['a', 'a', 'a', 'a']), false);
      assert.ok(failures(health, hole, ['a']));
      assert.equal(hole.ready, false);
    },
  );

  nodeTest.test(
    'a workload that begins to fail everywhere suspends no second worker',
    () => {
      const health = new workerHealth.WorkerHealth();
      const machines = new schedulingHarness.SchedulingHarness().addWorkers(3);
      const [first, second, third] = machines;
      const end = {worker: first, workload: 'a', failed: false, ranMs: 200};
      health.recordEnd(end, 0);
      const many = new Array<string>(20).fill('a');
      failures(health, first, ['a']);
      assert.equal(failures(health, second, many), false);
      assert.equal(failures(health, third, many), false);
    },
  );

  nodeTest.test(
    'one probe at a time readmits, and failed ones wait longer',
    () => {
      const health = new workerHealth.WorkerHealth();
      const machine = oneWorker();
      failures(health, machine, ['a', 'b', 'c']);
      health.readmit(29_999);
      assert.equal(machine.ready, false);
      health.readmit(30_000);
      assert.ok(health.isOnProbation(machine));
      health.recordPlacement(machine);
      assert.equal(machine.ready, false);
      const probe = {worker: machine, workload: 'a', ranMs: 10};
      health.recordEnd({...probe, failed: true}, 31_000);
      assert.equal(health.nextDeadline(), 91_000);
      health.readmit(91_000);
      health.recordPlacement(machine);
      health.recordEnd({...probe, failed: false}, 92_000);
      assert.ok(machine.ready);
      assert.equal(health.isOnProbation(machine), false);
    },
  );

  nodeTest.test('a black hole does not swallow a queue', () => {
    const world = new schedulingHarness.SchedulingHarness();
    const [hole] = world.addWorkers(2);
    world.addTeam(schedulingHarness.buildTeam('dispatch'));
    const kinds = ['a', 'b', 'c', 'd'].map(name =>
      schedulingHarness.buildWorkload({
        name,
        size: schedulingHarness.buildResources(2_000, 4_096),
      }),
    );
    let swallowed = 0;
    for (let now = 0; now < 5_000; now += 100) {
      for (const kind of kinds) world.admit('dispatch', kind, 1, now);
      for (const placed of world.scheduler.place(now)) {
        if (placed.worker === hole) swallowed += 1;
        world.end(placed, placed.worker === hole, now);
      }
    }
    assert.ok(swallowed >= 3 && swallowed <= 8, `${swallowed} were swallowed`);
  });
});
