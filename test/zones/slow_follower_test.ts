import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

/** Seeds that give the ticks and messages of the members other phases. */
const SEEDS_BY_SIZE: ReadonlyArray<readonly [number, ReadonlyArray<number>]> = [
  [9, [1, 2, 3, 4, 5]],
  [44, [1, 2]],
];

for (const [size, seeds] of SEEDS_BY_SIZE) {
  describe(`follower of ${size} members`, () => {
    for (const blockedMs of [400, 3_000]) {
      // Guards against a process that takes the lag of its own loop for
      // silence of the leader.
      test(`claims nothing after its loop stood for ${blockedMs} ms`, async () => {
        for (const seed of seeds) {
          const cell = await simulatedCell.SimulatedCell.start(size, seed);
          const claimCount = cell.wonClaims.length;
          for (let turn = 0; turn < 5; turn += 1) {
            for (const member of cell.followers()) member.block(blockedMs);
            await cell.time.advance(blockedMs + 130);
          }
          await cell.time.advance(3_000);
          assert.equal(cell.wonClaims.length, claimCount, `seed ${seed}`);
        }
      });
    }

    // Guards against a cell without a leader because all its processes are
    // slow and none of them trusts its own judgement.
    test('replaces a lost leader although all loops are slow', async () => {
      const cell = await simulatedCell.SimulatedCell.start(size);
      const claimCount = cell.wonClaims.length;
      const followers = cell.followers();
      cell.leader().block(60_000);
      for (let turn = 0; turn < 12; turn += 1) {
        for (const member of followers) member.block(400);
        await cell.time.advance(420);
      }
      await cell.time.advance(1_000);
      assert.equal(cell.wonClaims.length, claimCount + 1);
    });
  });
}
