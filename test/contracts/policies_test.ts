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
  const world = new schedulingHarness.SchedulingHarness();
  world.addWorkers(workers);
  world.addTeam(schedulingHarness.buildTeam('dispatch'));
  return world;
}

const EIGHTH_OF_WORKER = schedulingHarness.buildResources(2_000, 4_096);

nodeTest.describe('batch work', () => {
  nodeTest.test('fills a worker before it opens another one', () => {
    const world = harnessWith(8);
    world.admit(
      'dispatch',
      schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER}),
      16,
      0,
    );
    const placed = world.scheduler.place(0);
    assert.deepEqual(
      countBy(placed, item => item.worker.name),
      [8, 8],
    );
  });
});

nodeTest.describe('services', () => {
  nodeTest.test('are spread evenly over racks', () => {
    const world = harnessWith(32);
    const watch = schedulingHarness.buildWorkload({
      kind: 'service',
      size: EIGHTH_OF_WORKER,
    });
    world.admit('dispatch', watch, 8, 0);
    const counts = countBy(world.scheduler.place(0), item => item.worker.rack);
    assert.deepEqual(counts, [2, 2, 2, 2]);
  });

  nodeTest.test(
    'never exceed the limit per rack, even when room is left',
    () => {
      const world = harnessWith(16);
      const watch = schedulingHarness.buildWorkload({
        kind: 'service',
        size: EIGHTH_OF_WORKER,
        maximumPerRack: 1,
      });
      world.admit('dispatch', watch, 5, 0);
      assert.equal(world.scheduler.place(0).length, 2);
    },
  );
});

nodeTest.describe('constraints', () => {
  nodeTest.test('tasks stay in the zones that their workload allows', () => {
    const world = harnessWith(4);
    world.addWorkers(1, schedulingHarness.STANDARD_WORKER_CAPACITY, 'huye-a');
    const bound = schedulingHarness.buildWorkload({
      size: EIGHTH_OF_WORKER,
      zones: ['huye-a'],
    });
    world.admit('dispatch', bound, 10, 0);
    const placed = world.scheduler.place(0);
    assert.equal(placed.length, 8);
    assert.ok(placed.every(item => item.worker.description.zone === 'huye-a'));
  });
});

nodeTest.describe('gangs', () => {
  const GANG = schedulingHarness.buildWorkload({
    name: 'gang',
    kind: 'gang',
    size: EIGHTH_OF_WORKER,
    taskCount: 16,
  });

  nodeTest.test('hold nothing unless all of their tasks have room', () => {
    const world = harnessWith(1);
    world.admit('dispatch', GANG, 1, 0);
    assert.equal(world.scheduler.place(0).length, 0);
    assert.equal(world.fleet.all()[0].reservations().size, 0);
  });

  nodeTest.test('respect the limit per rack', () => {
    const world = harnessWith(32);
    world.admit('dispatch', {...GANG, maximumPerRack: 4}, 1, 0);
    const counts = countBy(world.scheduler.place(0), item => item.worker.rack);
    assert.deepEqual(counts, [4, 4, 4, 4]);
  });

  nodeTest.test('are not starved by a stream of small work', () => {
    const world = harnessWith(2);
    world.addTeam(schedulingHarness.buildTeam('other'));
    const small = schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER});
    world.admit('other', small, 200, 0);
    const running = [...world.scheduler.place(0)];
    world.admit('dispatch', GANG, 1, 0);
    for (let now = 100; now <= 3_000; now += 100) {
      const oldest = running.shift();
      if (oldest !== undefined) world.end(oldest, false, now);
      const placed = world.scheduler.place(now);
      if (placed.some(item => item.request.workload.kind === 'gang')) {
        assert.equal(placed.length, 16);
        return;
      }
      running.push(...placed);
    }
    assert.fail('the gang did not start');
  });

  nodeTest.test('free earmarked room when they are cancelled', () => {
    const world = harnessWith(2);
    const small = schedulingHarness.buildWorkload({
      name: 'small',
      size: EIGHTH_OF_WORKER,
    });
    world.admit('dispatch', small, 1, 0);
    world.scheduler.place(0);
    const [gang] = world.admit('dispatch', GANG, 1, 1);
    world.scheduler.place(1);
    world.admit('dispatch', small, 15, 2);
    assert.equal(world.scheduler.place(2).length, 0);
    assert.ok(world.scheduler.remove(gang.identity));
    assert.equal(world.scheduler.place(3).length, 15);
  });
});
