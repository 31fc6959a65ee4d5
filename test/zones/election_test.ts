import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as election from '../../src/zones/election.js';
import type * as cellMember from '../../src/zones/cell_member.js';

const {describe, test} = nodeTest;

function member(name: string, processors = 1): cellMember.CellMember {
  return {
    node: name,
    incarnation: `${name}-1`,
    address: `${name}:1`,
    zone: 'a',
    processors,
  };
}

function claimOf(name: string, term: number): cellMember.Claim {
  const {node, incarnation, address} = member(name);
  return {term, node, incarnation, address};
}

const ALIVE: election.LeadershipStatus = {
  incarnation: 'one-1',
  leading: true,
  resigning: false,
  storeSilentMs: 0,
};

/** The view of a member of three, in a cell that the first one leads. */
function viewOf(name: string): election.Election {
  const view = new election.Election(member(name), 0);
  for (const other of ['one', 'two', 'three']) view.addMember(member(other));
  view.recordClaim(claimOf('one', 5), 0);
  return view;
}

/** When a member that hears nothing claims. */
function claimTime(view: election.Election): number {
  let now = 0;
  while (!view.tryBeginClaim(now)) now += 10;
  return now;
}

describe('the choice of a scheduler', () => {
  // Guards against a cell without a scheduler after its first start.
  test('claims when there is none', () => {
    const view = new election.Election(member('one'), 0);
    view.addMember(member('one'));
    assert.equal(view.tryBeginClaim(0), true);
    assert.equal(view.tryBeginClaim(100), false, 'one claim at a time');
  });

  // Guards against successions without need.
  test('leaves one alone that answers', () => {
    const view = viewOf('two');
    for (let now = 0; now < 5_000; now += 200) {
      view.recordStatus(ALIVE, now);
      assert.equal(view.tryBeginClaim(now), false);
    }
  });

  // Guards against work that waits for a scheduler that is lost.
  test('claims after 0.9 s of silence, by rank', () => {
    const second = viewOf('two');
    const third = viewOf('three');
    const times = [claimTime(second), claimTime(third)].sort((a, b) => a - b);
    assert.equal(times[0], 900);
    assert.equal(times[1], 1_100);
  });

  // Guards against a cell that is led by a VM too slow to take over, while
  // stronger ones would have claimed a moment later.
  test('is left to the strong by a weak member for a second', () => {
    const weak = new election.Election(member('weak', 0.4), 0);
    for (const other of ['one', 'two']) weak.addMember(member(other));
    weak.addMember(member('weak', 0.4));
    weak.recordClaim(claimOf('one', 5), 0);
    assert.equal(claimTime(weak), 900 + 200 + 1_000);
  });

  // Guards against schedulers of a large cell that are replaced again and again
  // because each is too busy at first to answer at once.
  test('is left alone for longer in a larger cell', () => {
    const view = new election.Election(member('m10'), 0);
    for (let index = 10; index < 46; index += 1) {
      view.addMember(member(`m${index}`));
    }
    view.recordClaim(claimOf('m11', 5), 0);
    assert.equal(claimTime(view), 1_800);
  });

  // Guards against waiting for a process that was started again.
  test('claims at once from another incarnation or a closed port', () => {
    const restarted = viewOf('three');
    restarted.recordStatus({...ALIVE, incarnation: 'one-2'}, 100);
    assert.equal(restarted.tryBeginClaim(100), true);
    const closed = viewOf('three');
    closed.markRefused(100);
    assert.equal(closed.tryBeginClaim(100), true);
  });

  // Guards against a scheduler that can store nothing while others can.
  test('replaces one that the store has not answered for a second', () => {
    const view = viewOf('three');
    view.recordStatus({...ALIVE, storeSilentMs: 900}, 100);
    assert.equal(view.tryBeginClaim(400), false);
    view.recordStatus({...ALIVE, storeSilentMs: 1_100}, 500);
    assert.equal(view.tryBeginClaim(700), true);
  });

  // Guards against a storm of claims by a process whose view of the log is old.
  test('waits for news of the log after a claim that came second', () => {
    const view = viewOf('three');
    view.markRefused(100);
    assert.equal(view.tryBeginClaim(100), true);
    view.recordLostClaim(12);
    view.recordLogEnd(12);
    assert.equal(view.tryBeginClaim(150), false);
    view.recordLogEnd(13);
    assert.equal(view.tryBeginClaim(160), true);
  });

  // Guards against a succession when the store comes back: the scheduler will
  // reach it too.
  test('knows a doubt that only concerns the store', () => {
    const view = viewOf('three');
    view.recordStatus({...ALIVE, storeSilentMs: 1_100}, 500);
    assert.equal(view.suspectsStoreOnly(700), true);
    view.recordStatus({...ALIVE, resigning: true}, 900);
    assert.equal(view.suspectsStoreOnly(900), false);
  });

  // Guards against old news that undoes a succession.
  test('keeps the newest claim', () => {
    const view = viewOf('two');
    assert.equal(view.recordClaim(claimOf('three', 9), 10), true);
    assert.equal(view.recordClaim(claimOf('one', 7), 20), false);
    assert.equal(view.newestClaim?.node, 'three');
  });

  // Guards against a process that takes its own old claim for a present one.
  test('claims for a process that led before it was started again', () => {
    const self = {...member('one'), incarnation: 'one-2'};
    const view = new election.Election(self, 0);
    view.addMember(self);
    view.recordClaim(claimOf('one', 5), 0);
    assert.equal(view.isLeader, false);
    assert.equal(view.tryBeginClaim(0), true);
  });
});
