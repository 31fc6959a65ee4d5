import * as nodeTest from 'node:test';
import * as assert from 'node:assert/strict';
import * as randomMovingCuts from '../support/random_moving_cuts.js';

const {describe, test} = nodeTest;

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CUTS_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['CUTS_SEEDS'] ?? 3);

describe('a cell whose cuts move while members join and leave', () => {
  for (let index = 0; index < SEED_COUNT; index += 1) {
    const seed = FIRST_SEED + index;
    // Guards against two leaders that start the same task after several cuts and
    // successions, and against accepted jobs that nobody finishes.
    test(`violates no invariant with seed ${seed}`, async t => {
      const outcome = await new randomMovingCuts.RandomMovingCuts(seed).run();
      t.diagnostic(`${outcome.claimCount} claims`);
      assert.deepEqual(outcome.violations, []);
      assert.ok(outcome.acceptedCount > 0, 'no job was accepted');
    });
  }
});
