import * as nodeTest from 'node:test';
import * as randomSeeds from '../support/random_seeds.js';

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['CELL_SEEDS'] ?? 2);

nodeTest.describe('a cell under random faults', () => {
  // Guards against workers over capacity, tasks that run twice, accepted jobs
  // that are lost, and tasks that start again after their end was stored.
  const indexes = Array.from({length: SEED_COUNT}, (_unused, index) => index);
  randomSeeds.testSeeds(indexes.map(index => FIRST_SEED + index));
});
