import * as nodeTest from 'node:test';
import * as randomSeeds from '../support/random_seeds.js';

nodeTest.describe('a cell under random successions', () => {
  // Seeds that once failed: a scheduler that never reached a worker stored that
  // no job had runs there, and its successor started those again.
  randomSeeds.testSeeds([53, 125, 163, 164]);
});
