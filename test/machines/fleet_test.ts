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
  // Guards against a sample that contains a worker without enough capacity or
  // omits one that has it: a bucket gives only a lower bound of its workers'
  // capacity.
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
          const harness = new schedulingHarness.SchedulingHarness();
          const capacity = schedulingHarness.buildResources(
            16_000,
            32_768,
            4,
            8,
          );
          const workers = harness.addWorkers(held.length, capacity);
          workers.forEach((target, index) => {
            const task = `task-${index}`;
            target.reserve({task, label: LABEL, size: held[index]});
          });
          harness.fleet.refresh(() => true);
          const found = harness.fleet.sample(wanted, order, () => true);
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

  // Guards against tasks without accelerators that occupy accelerated workers
  // while other workers have free capacity.
  nodeTest.test('tasks without accelerators avoid accelerated workers', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    harness.addWorkers(
      4,
      schedulingHarness.buildResources(16_000, 32_768, 4, 8),
    );
    const [plain] = harness.addWorkers(1);
    harness.fleet.refresh(() => true);
    const wanted = schedulingHarness.buildResources(1_000, 1_024);
    const [first] = harness.fleet.sample(wanted, 'tightest', () => true);
    assert.equal(first, plain);
  });
});

nodeTest.describe('totals of the fleet', () => {
  // Guards against totals that drift from the workers, because every change
  // updates them incrementally.
  nodeTest.test('equal the sums over the workers after any changes', () => {
    const random = new randomSource.SeededRandom(SEED);
    const harness = new schedulingHarness.SchedulingHarness();
    const workers = harness.addWorkers(10);
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
    assert.deepEqual(harness.fleet.reservedTotal, held);
    assert.deepEqual(harness.fleet.reservedByTeam('dispatch'), held);
    for (const target of workers) harness.fleet.remove(target.name);
    assert.deepEqual(harness.fleet.reservedTotal, resources.NONE);
    assert.deepEqual(harness.fleet.capacity, resources.NONE);
  });
});

nodeTest.describe('removed workers', () => {
  // Guards against totals that become too small: the removal subtracts the
  // reservations, and a later release must not subtract them again.
  nodeTest.test('a release after the removal leaves the totals alone', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    const [removed, kept] = harness.addWorkers(2);
    const size = schedulingHarness.buildResources(1_000, 1_024);
    removed.reserve({task: 'one', label: LABEL, size});
    kept.reserve({task: 'two', label: LABEL, size});
    harness.fleet.remove(removed.name);
    assert.ok(removed.reservations().has('one'));
    removed.release('one');
    assert.deepEqual(harness.fleet.reservedTotal, size);
  });
});

nodeTest.describe('capacity invariant', () => {
  // Guards against overcommitment that is not reported, or is reported again
  // with each further task.
  nodeTest.test('a violation is reported once with cause and dimension', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    const [target] = harness.addWorkers(1);
    const size = schedulingHarness.buildResources(12_000, 1_024);
    assert.ok(target.reserve({task: 'one', label: LABEL, size}));
    assert.equal(target.reserve({task: 'two', label: LABEL, size}), false);
    assert.deepEqual(harness.fleet.takeViolations(), []);
    target.adopt({task: 'two', label: LABEL, size});
    target.adopt({task: 'three', label: LABEL, size});
    const [violation, ...more] = harness.fleet.takeViolations();
    assert.equal(violation.cause, 'adopt');
    assert.equal(violation.dimension, 'processors');
    assert.equal(more.length, 0);
  });
});
