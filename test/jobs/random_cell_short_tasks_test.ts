import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomSeeds from '../support/random_seeds.js';

const FIRST_SEED = Number(process.env.CELL_FIRST_SEED ?? 1);
const SEED_COUNT = Number(process.env.CELL_SEEDS ?? 2);

nodeTest.describe('a cell whose tasks end before calls time out', () => {
  // Guards against a second run of a task that ended before the scheduler
  // learned that it had started.
  randomSeeds.testSeeds(
    Array.from({length: SEED_COUNT}, (_, index) => FIRST_SEED + index),
    randomCell.SHORT_RUNTIMES,
  );
});
