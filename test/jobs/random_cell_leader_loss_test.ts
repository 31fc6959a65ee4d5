import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomSeeds from '../support/random_seeds.js';

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 140_001);
const SEED_COUNT = Number(process.env['CELL_SEEDS'] ?? 2);

nodeTest.describe('a cell that loses its leader while a start is sent', () => {
  // Guards against two runs at once, or a start after a success, by a copy that
  // no record names: its leader was lost before the call's timeout.
  const indexes = Array.from({length: SEED_COUNT}, (_unused, index) => index);
  const seeds = indexes.map(index => FIRST_SEED + index);
  randomSeeds.testSeeds(seeds, randomCell.SHORT_RUNTIMES, false, true, {
    lateCopies: 'leaderLoss',
  });
});
