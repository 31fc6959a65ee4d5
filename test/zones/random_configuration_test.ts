import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomConfiguration from '../support/random_configuration.js';

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['CELL_SEEDS'] ?? 3);

const MEMBER_COUNT = 9;

nodeTest.describe(
  'a cell whose configuration changes under random faults',
  () => {
    // Guards against requests that are decided by an older version than one that
    // was confirmed to the operator longer ago than the bound.
    for (let index = 0; index < SEED_COUNT; index += 1) {
      const seed = FIRST_SEED + index;
      nodeTest.test(
        `decides by versions in force with seed ${seed}`,
        async () => {
          const {violations, versionCount, standings} =
            await randomConfiguration.RandomConfiguration.runSeed(
              seed,
              MEMBER_COUNT,
            );
          assert.deepEqual(violations, []);
          assert.ok(versionCount > 20, `${versionCount} versions`);
          assert.ok((standings.get('confirmed') ?? 0) > 1_000);
        },
      );
    }
  },
);
