import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomSeeds from '../support/random_seeds.js';

const FIRST_SEED = Number(process.env.CELL_FIRST_SEED ?? 1);
const SEEDS = Number(process.env.CELL_SEEDS ?? 2);

nodeTest.describe('a cell whose tasks are shorter than a lost answer', () => {
  // Guards against a second run of a task that was over before the scheduler
  // heard that it had started.
  randomSeeds.testSeeds(
    Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index),
    randomCell.SHORT_RUNTIMES,
  );
});
