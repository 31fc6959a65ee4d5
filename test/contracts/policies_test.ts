import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as placement from '../../src/contracts/placement.js';

function countBy(
  placements: ReadonlyArray<placement.Placement>,
  keyOf: (placement: placement.Placement) => string,
): ReadonlyArray<number> {
  const counts = new Map<string, number>();
  for (const placement of placements) {
    const key = keyOf(placement);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts.values()];
}

function harnessWith(workers: number): schedulingHarness.SchedulingHarness {
  const harness = new schedulingHarness.SchedulingHarness();
  harness.addWorkers(workers);
  harness.addTeam(schedulingHarness.buildTeam('dispatch'));
  return harness;
}

const EIGHTH_OF_WORKER = schedulingHarness.buildResources(2_000, 4_096);

nodeTest.describe('batch policy', () => {
  nodeTest.test('a worker is filled before the next one is used', () => {
    const harness = harnessWith(8);
    harness.admit(
      'dispatch',
      schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER}),
      16,
      0,
    );
    const placed = harness.scheduler.place(0);
    assert.deepEqual(
      countBy(placed, item => item.worker.name),
      [8, 8],
    );
  });
});

nodeTest.describe('service policy', () => {
  nodeTest.test('the tasks of a service are spread evenly over racks', () => {
    const harness = harnessWith(32);
    const watch = schedulingHarness.buildWorkload({
      kind: 'service',
      size: EIGHTH_OF_WORKER,
    });
    harness.admit('dispatch', watch, 8, 0);
    const counts = countBy(
      harness.scheduler.place(0),
      item => item.worker.rack,
    );
    assert.deepEqual(counts, [2, 2, 2, 2]);
  });

  nodeTest.test(
    'the rack limit holds even when workers have free capacity',
    () => {
      const harness = harnessWith(16);
      const watch = schedulingHarness.buildWorkload({
        kind: 'service',
        size: EIGHTH_OF_WORKER,
        maximumPerRack: 1,
      });
      harness.admit('dispatch', watch, 5, 0);
      assert.equal(harness.scheduler.place(0).length, 2);
    },
  );
});

nodeTest.describe('constraints', () => {
  nodeTest.test(
    'tasks are placed only in the zones that their workload allows',
    () => {
      const harness = harnessWith(4);
      harness.addWorkers(
        1,
        schedulingHarness.STANDARD_WORKER_CAPACITY,
        'huye-a',
      );
      const bound = schedulingHarness.buildWorkload({
        size: EIGHTH_OF_WORKER,
        zones: ['huye-a'],
      });
      harness.admit('dispatch', bound, 10, 0);
      const placed = harness.scheduler.place(0);
      assert.equal(placed.length, 8);
      assert.ok(
        placed.every(item => item.worker.description.zone === 'huye-a'),
      );
    },
  );
});

nodeTest.describe('gang policy', () => {
  const GANG = schedulingHarness.buildWorkload({
    name: 'gang',
    kind: 'gang',
    size: EIGHTH_OF_WORKER,
    taskCount: 16,
  });

  nodeTest.test('a gang reserves nothing unless all of its tasks fit', () => {
    const harness = harnessWith(1);
    harness.admit('dispatch', GANG, 1, 0);
    assert.equal(harness.scheduler.place(0).length, 0);
    assert.equal(harness.fleet.all()[0].reservations().size, 0);
  });

  nodeTest.test('the rack limit applies to the tasks of a gang', () => {
    const harness = harnessWith(32);
    harness.admit('dispatch', {...GANG, maximumPerRack: 4}, 1, 0);
    const counts = countBy(
      harness.scheduler.place(0),
      item => item.worker.rack,
    );
    assert.deepEqual(counts, [4, 4, 4, 4]);
  });

  nodeTest.test(
    'a gang is not starved by small tasks that take each freed slot',
    () => {
      const harness = harnessWith(2);
      harness.addTeam(schedulingHarness.buildTeam('other'));
      const small = schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER});
      harness.admit('other', small, 200, 0);
      const running = [...harness.scheduler.place(0)];
      harness.admit('dispatch', GANG, 1, 0);
      for (let now = 100; now <= 3_000; now += 100) {
        const oldest = running.shift();
        if (oldest !== undefined) harness.end(oldest, false, now);
        const placed = harness.scheduler.place(now);
        if (placed.some(item => item.request.workload.kind === 'gang')) {
          assert.equal(placed.length, 16);
          return;
        }
        running.push(...placed);
      }
      assert.fail('the gang did not start');
    },
  );

  nodeTest.test('cancelling a gang releases its capacity reservation', () => {
    const harness = harnessWith(2);
    const small = schedulingHarness.buildWorkload({
      name: 'small',
      size: EIGHTH_OF_WORKER,
    });
    harness.admit('dispatch', small, 1, 0);
    harness.scheduler.place(0);
    const [gang] = harness.admit('dispatch', GANG, 1, 1);
    harness.scheduler.place(1);
    harness.admit('dispatch', small, 15, 2);
    assert.equal(harness.scheduler.place(2).length, 0);
    assert.ok(harness.scheduler.remove(gang.identity));
    assert.equal(harness.scheduler.place(3).length, 15);
  });
});
