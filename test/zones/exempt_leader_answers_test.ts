import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as workingCell from '../support/working_cell.js';

const {describe, test} = nodeTest;

/** Time in which a leader notices that a member is silent. */
const SILENCE_MS = 10_000;

describe('a leader that acts without a member', () => {
  // Guards against callers that are told that a job is unknown, although the
  // member without which the leader acts has become leader and accepted it.
  test('does not say that nobody knows a job', async () => {
    const cell = await workingCell.startCell(5, 60_000);
    const leader = cell.leader();
    const [member] = cell.followers();
    cell.partition([member.self.address], {main: true, cutOff: true});
    await cell.time.advance(SILENCE_MS);
    const cutOff = cell.members
      .filter(other => other !== member)
      .map(({self}) => self.address);
    cell.partition(cutOff);
    await cell.time.advance(SILENCE_MS);
    assert.equal(cell.leader(), member, 'no successor');
    const {node} = leader;
    assert.ok(node.runsScheduler, 'the leader has stopped');
    assert.equal(node.readState(workingCell.QUEUE_NAME, 'unknown'), undefined);
    assert.equal(node.countPending(workingCell.QUEUE_NAME), undefined);
  });
});
