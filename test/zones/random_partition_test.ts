import * as nodeTest from 'node:test';
import * as assert from 'node:assert/strict';
import * as randomPartitions from '../support/random_partitions.js';

const {describe, test} = nodeTest;

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['PARTITION_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['PARTITION_SEEDS'] ?? 3);

describe('a cell with partitions of members and workers', () => {
  for (let index = 0; index < SEED_COUNT; index += 1) {
    const seed = FIRST_SEED + index;
    // Guards against two leaders, one on each side of a partition, that start
    // the same task, and against accepted jobs that nobody finishes.
    test(`violates no invariant with seed ${seed}`, async () => {
      const outcome = await new randomPartitions.RandomPartitions(seed).run();
      assert.deepEqual(outcome.violations, []);
      assert.ok(outcome.acceptedCount > 0, 'no job was accepted');
    });
  }
});
