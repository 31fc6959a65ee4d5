import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as freeCapacityIndex from '../../src/machines/free_capacity_index.js';
import * as nodeTest from 'node:test';
import * as randomSource from '../../src/machines/random_source.js';
import * as resources from '../../src/machines/resources.js';
import * as schedulingHarness from '../support/scheduling_harness.js';

const SEED = 20_260_402;

const LABEL = {
  identity: 'a',
  client: 'c',
  team: 'dispatch',
  workload: 'inspection',
  idempotent: true,
  worth: 1,
};

nodeTest.describe('search for free capacity', () => {
  nodeTest.test('finds only workers that have it, in either order', () => {
    const sizes = fastCheck.record({
      processors: fastCheck.integer({min: 0, max: 16_000}),
      memory: fastCheck.integer({min: 0, max: 32_768}),
      accelerators: fastCheck.integer({min: 0, max: 4}),
      slots: fastCheck.integer({min: 0, max: 8}),
    });
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(sizes, {minLength: 1, maxLength: 60}),
        sizes,
        fastCheck.constantFrom('tightest' as const, 'loosest' as const),
        (held, wanted, order) => {
          const world = new schedulingHarness.SchedulingHarness();
          const whole = schedulingHarness.buildResources(16_000, 32_768, 4, 8);
          const workers = world.addWorkers(held.length, whole);
          workers.forEach((target, index) => {
            const task = `task-${index}`;
            target.reserve({task, label: LABEL, size: held[index]});
          });
          world.fleet.refresh(() => true);
          const found = world.fleet.sample(wanted, order, () => true);
          assert.ok(found.length <= freeCapacityIndex.SAMPLE_LIMIT);
          for (const target of found) {
            assert.ok(resources.fits(wanted, target.available));
          }
          const fitting = workers.filter(target =>
            resources.fits(wanted, target.available),
          );
          // With at most 8 workers the sample covers all of them and must
          // contain every worker that fits.
          if (workers.length <= 8) assert.equal(found.length, fitting.length);
        },
      ),
      {seed: SEED, numRuns: 200},
    );
  });

  nodeTest.test('tasks without accelerators avoid accelerated workers', () => {
    const world = new schedulingHarness.SchedulingHarness();
    world.addWorkers(4, schedulingHarness.buildResources(16_000, 32_768, 4, 8));
    const [plain] = world.addWorkers(1);
    world.fleet.refresh(() => true);
    const wanted = schedulingHarness.buildResources(1_000, 1_024);
    const [first] = world.fleet.sample(wanted, 'tightest', () => true);
    assert.equal(first, plain);
  });
});

nodeTest.describe('totals of the fleet', () => {
  nodeTest.test('equal the sums over the workers after any changes', () => {
    const random = new randomSource.SeededRandom(SEED);
    const world = new schedulingHarness.SchedulingHarness();
    const workers = world.addWorkers(10);
    for (let step = 0; step < 2_000; step += 1) {
      const target = workers[random.below(10)];
      const task = `task-${random.below(40)}`;
      const amount = schedulingHarness.buildResources(
        random.below(4_000),
        random.below(9_000),
      );
      if (random.below(3) === 0) target.release(task);
      else if (random.below(4) === 0) target.resize(task, amount);
      else target.reserve({task, label: LABEL, size: amount});
    }
    let held = resources.NONE;
    for (const target of workers) {
      held = resources.add(
        held,
        resources.subtract(target.capacity, target.free),
      );
    }
    assert.deepEqual(world.fleet.reservedTotal, held);
    assert.deepEqual(world.fleet.reservedByTeam('dispatch'), held);
    for (const target of workers) world.fleet.remove(target.name);
    assert.deepEqual(world.fleet.reservedTotal, resources.NONE);
    assert.deepEqual(world.fleet.capacity, resources.NONE);
  });
});

nodeTest.describe('removed workers', () => {
  nodeTest.test('a release after the removal leaves the totals alone', () => {
    const world = new schedulingHarness.SchedulingHarness();
    const [gone, stays] = world.addWorkers(2);
    const size = schedulingHarness.buildResources(1_000, 1_024);
    gone.reserve({task: 'one', label: LABEL, size});
    stays.reserve({task: 'two', label: LABEL, size});
    world.fleet.remove(gone.name);
    assert.ok(gone.reservations().has('one'));
    gone.release('one');
    assert.deepEqual(world.fleet.reservedTotal, size);
  });
});

nodeTest.describe('capacity invariant', () => {
  nodeTest.test('a violation is reported once with cause and dimension', () => {
    const world = new schedulingHarness.SchedulingHarness();
    const [machine] = world.addWorkers(1);
    const size = schedulingHarness.buildResources(12_000, 1_024);
    assert.ok(machine.reserve({task: 'one', label: LABEL, size}));
    assert.equal(machine.reserve({task: 'two', label: LABEL, size}), false);
    assert.deepEqual(world.fleet.takeViolations(), []);
    machine.adopt({task: 'two', label: LABEL, size});
    machine.adopt({task: 'three', label: LABEL, size});
    const [violation, ...more] = world.fleet.takeViolations();
    assert.equal(violation.cause, 'adopt');
    assert.equal(violation.dimension, 'processors');
    assert.equal(more.length, 0);
  });
});
