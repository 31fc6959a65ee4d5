import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as exemptMembers from '../../src/zones/exempt_members.js';

const {describe, test} = nodeTest;

const PEERS = ['b', 'c', 'd', 'e'];

/** Reviews members twice a second; those in `silent` give no word. */
function reviewFor(
  members: exemptMembers.ExemptMembers,
  fromMs: number,
  durationMs: number,
  silent: ReadonlyArray<string>,
): ReadonlyArray<string> {
  let nominated: ReadonlyArray<string> = [];
  for (let now = fromMs; now <= fromMs + durationMs; now += 500) {
    const provedAt = (address: string): number =>
      silent.includes(address) ? -Infinity : now;
    nominated = members.review(PEERS, provedAt, now);
  }
  return nominated;
}

describe('exempt members', () => {
  // Guards against a leader that acts without a member before its successors can
  // know that.
  test('are needed until the log names them', () => {
    const members = new exemptMembers.ExemptMembers();
    members.restart(0);
    assert.deepEqual(reviewFor(members, 0, 3_000, ['c']), []);
    assert.deepEqual(reviewFor(members, 3_500, 0, ['c']), ['c']);
    assert.equal(members.isExempt('c'), false);
    members.recordStored(['c']);
    assert.equal(members.isExempt('c'), true);
    assert.equal(members.isExempt('d'), false);
  });

  // Guards against a record that was stored without an answer and needs a member
  // again, while the leader goes by the record before it.
  test('are needed again before a record says so', () => {
    const members = new exemptMembers.ExemptMembers();
    members.restart(0);
    reviewFor(members, 0, 4_000, ['c']);
    members.recordStored(['c']);
    assert.deepEqual(reviewFor(members, 4_500, 59_000, []), ['c']);
    assert.deepEqual(reviewFor(members, 64_000, 500, []), []);
    assert.equal(members.isExempt('c'), false);
    assert.deepEqual(reviewFor(members, 65_000, 4_000, ['c']), ['c']);
    assert.equal(members.isExempt('c'), false, 'not by the old record');
  });

  // Guards against a leader that acts on the word of a few, with which it was
  // cut off.
  test('are never so many that the others are no majority', () => {
    const members = new exemptMembers.ExemptMembers();
    members.restart(0);
    assert.deepEqual(reviewFor(members, 0, 4_000, ['b', 'c']), ['b', 'c']);
    members.recordStored(['b', 'c']);
    assert.deepEqual(reviewFor(members, 4_500, 4_000, ['b', 'c', 'd']), []);
    assert.equal(members.isExempt('b'), false);
  });

  // Guards against members that seem late because this process stood still.
  test('are not those that this process could not hear', () => {
    const members = new exemptMembers.ExemptMembers();
    members.restart(0);
    reviewFor(members, 0, 1_000, []);
    const nominated = members.review(PEERS, () => 1_000, 9_000);
    assert.deepEqual(nominated, []);
  });
});
