import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as scheduling from '../support/scheduling.js';
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

function worldWith(workers: number): scheduling.SchedulingWorld {
  const world = new scheduling.SchedulingWorld();
  world.addWorkers(workers);
  world.addTeam(scheduling.teamOf('dispatch'));
  return world;
}

const EIGHTH = scheduling.size(2_000, 4_096);

nodeTest.describe('batch work', () => {
  nodeTest.test('fills a worker before it opens another one', () => {
    const world = worldWith(8);
    world.admit('dispatch', scheduling.workloadOf({size: EIGHTH}), 16, 0);
    const placed = world.scheduler.place(0);
    assert.deepEqual(
      countBy(placed, item => item.worker.name),
      [8, 8],
    );
  });
});

nodeTest.describe('services', () => {
  nodeTest.test('are spread evenly over racks', () => {
    const world = worldWith(32);
    const watch = scheduling.workloadOf({kind: 'service', size: EIGHTH});
    world.admit('dispatch', watch, 8, 0);
    const counts = countBy(world.scheduler.place(0), item => item.worker.rack);
    assert.deepEqual(counts, [2, 2, 2, 2]);
  });

  nodeTest.test(
    'never exceed the limit per rack, even when room is left',
    () => {
      const world = worldWith(16);
      const watch = scheduling.workloadOf({
        kind: 'service',
        size: EIGHTH,
        maximumPerRack: 1,
      });
      world.admit('dispatch', watch, 5, 0);
      assert.equal(world.scheduler.place(0).length, 2);
    },
  );
});

nodeTest.describe('constraints', () => {
  nodeTest.test('tasks stay in the zones that their workload allows', () => {
    const world = worldWith(4);
    world.addWorkers(1, scheduling.AUTHORITY_WORKER, 'huye-a');
    const bound = scheduling.workloadOf({size: EIGHTH, zones: ['huye-a']});
    world.admit('dispatch', bound, 10, 0);
    const placed = world.scheduler.place(0);
    assert.equal(placed.length, 8);
    assert.ok(placed.every(item => item.worker.description.zone === 'huye-a'));
  });
});

nodeTest.describe('gangs', () => {
  const GANG = scheduling.workloadOf({
    name: 'gang',
    kind: 'gang',
    size: EIGHTH,
    taskCount: 16,
  });

  nodeTest.test('hold nothing unless all of their tasks have room', () => {
    const world = worldWith(1);
    world.admit('dispatch', GANG, 1, 0);
    assert.equal(world.scheduler.place(0).length, 0);
    assert.equal(world.workers.all()[0].reservations().size, 0);
  });

  nodeTest.test('respect the limit per rack', () => {
    const world = worldWith(32);
    world.admit('dispatch', {...GANG, maximumPerRack: 4}, 1, 0);
    const counts = countBy(world.scheduler.place(0), item => item.worker.rack);
    assert.deepEqual(counts, [4, 4, 4, 4]);
  });

  nodeTest.test('are not starved by a stream of small work', () => {
    const world = worldWith(2);
    world.addTeam(scheduling.teamOf('other'));
    const small = scheduling.workloadOf({size: EIGHTH});
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
    const world = worldWith(2);
    const small = scheduling.workloadOf({name: 'small', size: EIGHTH});
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
