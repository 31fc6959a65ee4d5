import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomSeeds from '../support/random_seeds.js';

const FIRST_SEED = Number(process.env.CELL_FIRST_SEED ?? 130_001);
const SEED_COUNT = Number(process.env.CELL_SEEDS ?? 2);

const FAULTS: randomCell.AdditionalFaults = {quotas: true, leaderPauses: true};

nodeTest.describe(
  'a cell with an organisation that may have little running',
  () => {
    // Guards against a quota that is exceeded around a succession, by a leader that
    // was paused, or by starts that are carried out late.
    randomSeeds.testSeeds(
      Array.from({length: SEED_COUNT}, (_, index) => FIRST_SEED + index),
      // Long tasks would outlast the calm phase, as only a few may run at once.
      randomCell.SHORT_RUNTIMES,
      false,
      true,
      FAULTS,
    );
  },
);
