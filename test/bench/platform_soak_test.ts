import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as platformSoak from '../../bench/platform_soak.js';

/** Seeds of each test run; more are run by hand. */
const SEEDS = [1, 2];

nodeTest.describe('real processes under faults from outside', () => {
  // Guards against accepted jobs that are lost, tasks that run twice, refused
  // jobs that run, and workers over their capacity.
  for (const seed of SEEDS) {
    nodeTest.test(`keep their promises with seed ${seed}`, async () => {
      const outcome = await platformSoak.PlatformSoak.runSeed(seed);
      assert.deepEqual(outcome.breaches, []);
      assert.ok(
        outcome.acceptedCount > 20,
        `${outcome.acceptedCount} accepted`,
      );
    });
  }
});
