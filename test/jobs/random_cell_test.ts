import * as nodeTest from 'node:test';
import * as randomSeeds from '../support/random_seeds.js';

/** First seed and number of seeds; more are run by hand. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 1);
const SEEDS = Number(process.env['CELL_SEEDS'] ?? 2);

nodeTest.describe('a cell under random faults', () => {
  // Guards against workers over their capacity, tasks that run twice, accepted
  // jobs that are lost, and ends that are forgotten.
  const indexes = Array.from({length: SEEDS}, (_unused, index) => index);
  randomSeeds.testSeeds(indexes.map(index => FIRST_SEED + index));
});
