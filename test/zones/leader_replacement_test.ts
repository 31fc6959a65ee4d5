import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

/** Time from a fault of the leader until its successor serves. */
const MAXIMUM_REPLACEMENT_MS = 1_500;

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
