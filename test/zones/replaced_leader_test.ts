import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

const MEMBER_COUNT = 5;

const OUTAGE_MS = 3_500;

/** Faults after which a leader doesn't know yet that it was replaced. */
const FAULTS: ReadonlyArray<{
  readonly name: string;
  readonly inject: (leader: simulatedMember.SimulatedMember) => void;
}> = [
  {name: 'paused', inject: leader => leader.block(OUTAGE_MS)},
  {
    name: 'cut off',
    inject: leader => {
      leader.reachesPeers = false;
      leader.reachesStore = false;
    },
  },
];

describe('a leader that was replaced and does not know it', () => {
  for (const {name, inject} of FAULTS) {
    // Guards against 410 for a job that the successor has accepted: reads and
    // cancellations asked for no proof of leadership.
    test(`says of no job that it is unknown (${name})`, async () => {
      const cell = await simulatedCell.SimulatedCell.start(MEMBER_COUNT, 1);
      const leader = cell.leader();
      const {name: queue} = jobCell.QUEUE;
      assert.deepEqual(leader.node.readState(queue, 'aa'), {state: undefined});
      inject(leader);
      await cell.time.advance(OUTAGE_MS - 100);
      assert.notEqual(cell.leader(), leader, 'not replaced');
      assert.equal(leader.node.readState(queue, 'aa'), undefined);
      assert.equal(leader.node.cancel(queue, 'aa'), undefined);
      assert.equal(leader.node.countPending(queue), undefined);
    });
  }
});
