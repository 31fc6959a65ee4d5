import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomElection from '../support/random_election.js';

/** `ELECTION_SEEDS=FROM-TO` runs other seeds. */
function seeds(): ReadonlyArray<number> {
  const match = /^(\d+)-(\d+)$/.exec(process.env.ELECTION_SEEDS ?? '');
  if (match === null) return [1, 7, 8];
  const [from, to] = [Number(match[1]), Number(match[2])];
  return Array.from({length: to - from + 1}, (_, index) => from + index);
}

nodeTest.describe('elections of a large cell', () => {
  for (const seed of seeds()) {
    // Guards against two leaders in one term, and against claims that progress
    // records, joining members or lost messages cause or prevent.
    nodeTest.test(`violate no invariant with seed ${seed}`, async () => {
      const election = new randomElection.RandomElection(seed);
      assert.deepEqual(await election.run(), []);
    });
  }
});
