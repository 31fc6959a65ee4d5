import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as region from '../../src/zones/region.js';
import * as zoneRouter from '../../src/zones/zone_router.js';

const WORK: zoneRouter.RoutableWork = {
  size: {processors: 1_000, memory: 100, accelerators: 0, slots: 1},
  worth: 10,
  zones: [],
  expectedWaitMs: 1_000,
  fitsOwnZone: false,
};

function createRouter(
  waits: Readonly<Record<string, number>>,
  receivedAt = 0,
): zoneRouter.ZoneRouter {
  const regions = new region.RegionMap('a1', 'a');
  regions.configure([
    {name: 'a2', region: 'a'},
    {name: 'b1', region: 'b'},
  ]);
  for (const [zone, expectedWaitMs] of Object.entries(waits)) {
    const free = {freeProcessors: 2_000, freeMemory: 200, freeAccelerators: 0};
    const summary = {zone, ...free, expectedWaitMs, workerCount: 1};
    regions.update(summary, receivedAt);
  }
  return new zoneRouter.ZoneRouter(regions, 5);
}

nodeTest.describe('routing between zones', () => {
  nodeTest.test(
    'the nearest zone with capacity gets the work: guards against needless ' +
      'traffic between regions',
    () => {
      const router = createRouter({a2: 500, b1: 0});
      assert.equal(router.route({...WORK, fitsOwnZone: true}, 0).zone, 'a1');
      assert.equal(router.route(WORK, 0).zone, 'a2');
    },
  );

  nodeTest.test(
    'another region is used only if the benefit exceeds cost and round trip, ' +
      'and the reason is counted: guards against crossings without benefit',
    () => {
      const router = createRouter({b1: 0});
      const far = router.route(WORK, 0);
      assert.equal(far.zone, 'b1');
      assert.deepEqual(router.countCrossing(far)[0], {
        kind: 'count',
        metric: 'route_crossing',
        labels: {distance: 'otherRegion', reason: 'shorterWaitElsewhere'},
        value: 1,
      });
      const reason = 'noBetterZone';
      const cheap = router.route({...WORK, worth: 5}, 0);
      assert.equal(cheap.reason, reason);
      const near = router.route({...WORK, expectedWaitMs: 40}, 0);
      assert.equal(near.reason, reason);
      const stale = createRouter({b1: 0}).route(WORK, 60_000);
      assert.equal(stale.reason, reason);
    },
  );
});
