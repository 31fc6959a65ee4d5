import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

/** Time between two long turns of a loop, in which it reads its sockets. */
const TURN_GAP_MS = 4;

/** Seeds that give the ticks and messages of the members other phases. */
const SEEDS_BY_SIZE: ReadonlyArray<readonly [number, ReadonlyArray<number>]> = [
  [9, [1, 2, 3, 4, 5]],
  [44, [1, 2]],
];

for (const [size, seeds] of SEEDS_BY_SIZE) {
  describe(`leader of ${size} members that makes progress`, () => {
    // Guards against the incident of issue 17: members replaced a leader that
    // was too busy to answer their pings, and each successor was busier.
    test('is not replaced while it answers no ping for 3 s', async () => {
      const cell = await simulatedCell.SimulatedCell.start(size);
      const claimCount = cell.wonClaims.length;
      const leader = cell.leader();
      leader.repliesToPings = false;
      await cell.time.advance(3_000);
      leader.repliesToPings = true;
      await cell.time.advance(3_000);
      assert.equal(cell.wonClaims.length, claimCount);
      assert.equal(cell.hasConverged(), true);
    });

    for (const turnMs of [400, 550]) {
      // Guards against members that take long turns of the leader's loop for
      // its death.
      test(`is not replaced while its loop has turns of ${turnMs} ms`, async () => {
        for (const seed of seeds) {
          const cell = await simulatedCell.SimulatedCell.start(size, seed);
          const claimCount = cell.wonClaims.length;
          const leader = cell.leader();
          await cell.time.advance(37 * seed);
          for (let turn = 0; turn < 16; turn += 1) {
            leader.block(turnMs);
            await cell.time.advance(turnMs + TURN_GAP_MS);
          }
          await cell.time.advance(2_000);
          assert.equal(cell.wonClaims.length, claimCount, `seed ${seed}`);
        }
      });
    }

    // Guards against the series of terms of issue 17: a new leader is busy from
    // its first moment on, while all members open connections to it.
    test('is not replaced while it takes over in turns of 400 ms', async () => {
      for (const seed of seeds) {
        const cell = await simulatedCell.SimulatedCell.start(size, seed);
        const claimCount = cell.wonClaims.length;
        cell.leader().block(60_000);
        while (cell.wonClaims.length === claimCount) await cell.time.advance(2);
        const leader = cell.leader();
        for (let turn = 0; turn < 16; turn += 1) {
          leader.block(400);
          await cell.time.advance(400 + TURN_GAP_MS);
        }
        assert.equal(cell.wonClaims.length, claimCount + 1, `seed ${seed}`);
      }
    });

    // Guards against members that replace a leader which some of them cannot
    // reach, while it serves the others.
    test('is not replaced by a minority that cannot reach it', async () => {
      const cell = await simulatedCell.SimulatedCell.start(size);
      const claimCount = cell.wonClaims.length;
      const cutOff = cell.followers().slice(0, Math.floor(size / 3));
      for (const member of cutOff) member.reachesPeers = false;
      await cell.time.advance(10_000);
      assert.equal(cell.wonClaims.length, claimCount);
    });
  });
}
