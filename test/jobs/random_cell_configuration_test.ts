import * as nodeTest from 'node:test';
import * as randomSeeds from '../support/random_seeds.js';

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['CELL_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['CELL_SEEDS'] ?? 2);

/** Seeds that failed once: 222 repeats submissions across versions. */
const REGRESSION_SEEDS = [222];

nodeTest.describe(
  'a cell whose queue is removed, added and moved under random faults',
  () => {
    // Guards against jobs that start on the service of an older version than the
    // one in force at their submission, and against accepted jobs that are
    // forgotten with their queue.
    const indexes = Array.from({length: SEED_COUNT}, (_unused, index) => index);
    const seeds = indexes.map(index => FIRST_SEED + index);
    randomSeeds.testSeeds([...seeds, ...REGRESSION_SEEDS], undefined, true);
  },
);
