import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jsonDocument from '../../src/links/json_document.js';
import * as partitionedCell from '../support/partitioned_cell.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

/** Time in which a leader notices that a member is gone for good. */
const GONE_MS = 10_000;

/** Longer than a leader may act on the word of a majority alone. */
const OUTAGE_MS = 39_000;

/** Lets a member register and read as a version without exemptions does. */
function downgrade(
  cell: simulatedCell.SimulatedCell,
  {node, self}: simulatedMember.SimulatedMember,
): void {
  const value = jsonDocument.encode(self);
  cell.store.append([{key: `member/${self.address}`, value}], {});
  const apply = node.applyLogContent.bind(node);
  node.applyLogContent = (content, ...rest): void => {
    const {leaderRecord: last} = content;
    const leaderRecord =
      last === undefined
        ? undefined
        : {offset: last.offset, grantorEnd: last.offset, exempt: []};
    apply({...content, leaderRecord}, ...rest);
  };
}

describe('a member of the version before in a rolling upgrade', () => {
  // Guards against a leader that exempts a member which doesn't read that: the
  // member takes itself for a grantor, and starts what the leader still runs.
  test('starts nothing that the leader still runs', async () => {
    const cell = await workingCell.startCell(5, 60_000);
    await workingCell.submitJobs(cell, 600);
    const leader = cell.leader();
    const [member] = cell.followers();
    downgrade(cell, member);
    cell.partition([member.self.address], {main: true, cutOff: true});
    await cell.time.advance(GONE_MS);
    assert.equal(cell.leader(), leader, 'replaced too early');
    const cutOff = cell.members
      .filter(other => other !== member)
      .map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    await cell.time.advance(OUTAGE_MS);
    assert.equal(cell.leader(), member, 'no successor');
    await partitionedCell.expectNoRepeatedRun(cell);
  });
});
