import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

/** Time from a fault of the leader until its successor serves. */
const MAXIMUM_REPLACEMENT_MS = 1_500;

/** Time between two long turns of a loop, in which it reads its sockets. */
const TURN_GAP_MS = 4;

/** Seeds that give the ticks and messages of the members other phases. */
const SEEDS_BY_SIZE: ReadonlyArray<readonly [number, ReadonlyArray<number>]> = [
  [9, [1, 2, 3, 4, 5]],
  [44, [1, 2]],
];

/** Faults after which the leader has to be replaced. */
const FATAL_FAULTS: ReadonlyArray<{
  readonly name: string;
  readonly inject: (leader: simulatedMember.SimulatedMember) => void;
}> = [
  {name: 'was killed', inject: leader => leader.kill()},
  {name: 'is frozen', inject: leader => leader.block(60_000)},
  {
    name: 'is cut off from members and store',
    inject: leader => {
      leader.reachesPeers = false;
      leader.reachesStore = false;
    },
  },
  {
    name: 'is cut off from members only',
    inject: leader => {
      leader.reachesPeers = false;
    },
  },
  {
    name: 'is cut off from the store only',
    inject: leader => {
      leader.reachesStore = false;
    },
  },
  {name: 'resigns', inject: leader => leader.node.resign()},
];

for (const [size, seeds] of SEEDS_BY_SIZE) {
  describe(`leader of ${size} members`, () => {
    for (const {name, inject} of FATAL_FAULTS) {
      // Guards against jobs that wait because a large cell is more patient.
      test(`that ${name} is replaced once, within 1.5 s`, async () => {
        for (const seed of seeds) {
          const cell = await simulatedCell.SimulatedCell.start(size, seed);
          const claimCount = cell.wonClaims.length;
          await cell.time.advance(37 * seed);
          const faultAt = cell.time.now();
          inject(cell.leader());
          await cell.time.advance(3_500);
          assert.equal(cell.wonClaims.length, claimCount + 1, `seed ${seed}`);
          const tookMs = (cell.begunTerms.at(-1)?.at ?? Infinity) - faultAt;
          assert.ok(
            tookMs <= MAXIMUM_REPLACEMENT_MS,
            `seed ${seed}: took ${tookMs} ms`,
          );
        }
      });
    }
  });

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

  describe(`cell of ${size} members`, () => {
    // Guards against a series of terms after a power failure of all VMs.
    test('elects one leader quickly after all processes ended', async () => {
      for (const seed of seeds) {
        const cell = await simulatedCell.SimulatedCell.start(size, seed);
        const claimCount = cell.wonClaims.length;
        for (const member of cell.members) member.kill();
        await cell.time.advance(2_000);
        const restartedAt = cell.time.now();
        for (let index = 0; index < size; index += 1) {
          const startsIn = cell.random.below(500);
          cell.time.runAt(restartedAt + startsIn, () => cell.addMember(index));
        }
        await cell.time.advance(6_000);
        assert.equal(cell.wonClaims.length, claimCount + 1, `seed ${seed}`);
        assert.equal(cell.hasConverged(), true);
        const tookMs = (cell.begunTerms.at(-1)?.at ?? Infinity) - restartedAt;
        assert.ok(tookMs <= 2_000, `seed ${seed}: took ${tookMs} ms`);
      }
    });
  });
}
