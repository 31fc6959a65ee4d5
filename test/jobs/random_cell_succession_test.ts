import * as nodeTest from 'node:test';
import * as randomSeeds from '../support/random_seeds.js';

nodeTest.describe('a cell under random failovers', () => {
  // These seeds failed when a scheduler that had never reached a worker stored
  // that no job had runs there, and the next scheduler started them again.
  randomSeeds.testSeeds([53, 125, 163, 164]);
});
