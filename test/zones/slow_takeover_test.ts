import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

/** Parts of the journal, which take 0.3 s each: six seconds in all. */
const JOURNAL_PART_COUNT = 20;

const SEEDS = [1, 2, 3, 4, 5];

describe('a leader whose link is narrow', () => {
  // Guards against a cell without a scheduler: each successor was replaced
  // before it had read the journal, and the next one began anew.
  test('the journal took longer than a step of the takeover: is not replaced while parts arrive', async () => {
    for (const seed of SEEDS) {
      const cell = await simulatedCell.SimulatedCell.start(9, seed);
      const claimCount = cell.wonClaims.length;
      cell.journalPartCount = JOURNAL_PART_COUNT;
      cell.leader().kill();
      await cell.time.advance(9_000);
      assert.equal(cell.wonClaims.length, claimCount + 1, `seed ${seed}`);
      assert.equal(
        cell.begunTerms.at(-1)?.term,
        cell.wonClaims.at(-1)?.term,
        `seed ${seed}`,
      );
    }
  });

  // Guards against a cell that waits for a successor to which the store has
  // stopped sending.
  test('is replaced when the journal stops arriving', async () => {
    for (const seed of SEEDS) {
      const cell = await simulatedCell.SimulatedCell.start(9, seed);
      cell.journalPartCount = JOURNAL_PART_COUNT;
      cell.leader().kill();
      await cell.time.advance(2_500);
      const successor = cell.leader();
      successor.reachesStore = false;
      await cell.time.advance(4_000);
      assert.notEqual(cell.leader(), successor, `seed ${seed}`);
    }
  });
});
