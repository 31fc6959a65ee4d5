import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomSeeds from '../support/random_seeds.js';

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 50_002);
const SEED_COUNT = Number(process.env['CELL_SEEDS'] ?? 2);

const SEEDS: ReadonlyArray<number> = Array.from(
  {length: SEED_COUNT},
  (_unused, index) => FIRST_SEED + index,
);

nodeTest.describe('a cell with services, limits and pauses', () => {
  // Guards against the faults that the independent review found and earlier
  // seeds did not: limits of processors that get lost, a service that fails for
  // ever, a store that refuses records or is silent while ends arrive, leaders
  // that resume after their term, and workers with more ends than a report lists.
  randomSeeds.testSeeds(
    SEEDS,
    randomCell.SHORT_RUNTIMES,
    false,
    false,
    randomCell.ALL_FAULTS,
  );
});
