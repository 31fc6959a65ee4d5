import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as platformSoak from '../../bench/platform_soak.js';

/** Seeds of the test suite; `npm run soak:platform` runs more. */
const SEEDS = [1, 2];

nodeTest.describe('scheduler processes under injected faults', () => {
  // Guards against accepted jobs that are lost, tasks that run twice, refused
  // jobs that run, and workers over their capacity while processes end or
  // pause and connections and the store fail.
  for (const seed of SEEDS) {
    nodeTest.test(`keep their guarantees with seed ${seed}`, async () => {
      const outcome = await platformSoak.PlatformSoak.runSeed(seed);
      assert.deepEqual(outcome.violations, []);
      assert.ok(
        outcome.acceptedCount > 20,
        `${outcome.acceptedCount} accepted`,
      );
    });
  }
});
