import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellNode from '../../src/zones/cell_node.js';
import * as fakeJournal from '../support/fake_journal.js';
import * as fakeWorkers from '../support/fake_workers.js';
import * as timeline from '../support/timeline.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';

const {describe, test} = nodeTest;

function memberOf(node: string): cellMember.CellMember {
  return {
    node,
    incarnation: `${node}-1`,
    address: `${node}:1`,
    zone: 'zone-a',
    processors: 1,
  };
}

/** A member whose claims win; notes which claim it shows to whom. */
function nodeThatWins(
  time: timeline.Timeline,
  shown: Map<string, number | undefined>,
): cellNode.CellNode {
  const peers = {
    ping: async (address: string, greeting: cellPeers.Greeting) => {
      shown.set(address, greeting.newest?.term);
      return {kind: 'unanswered', detail: 'silent'};
    },
  } as unknown as cellPeers.CellPeers;
  return new cellNode.CellNode({
    self: memberOf('one'),
    clock: time,
    wallClock: () => time.now(),
    bounds: {stateKeptMs: 120_000},
    cellLog: {
      join: async () => true,
      probe: async () => true,
      claim: async () => ({kind: 'won', term: 7}),
    },
    journal: new fakeJournal.FakeJournal(time),
    registry: {follow: () => ({close: () => {}})},
    workers: new fakeWorkers.FakeWorkers(time),
    advice: {ask: async () => ({kind: 'busy'})},
    peers,
    pauses: time,
    log: {event: () => {}},
    counters: {count: () => {}, observe: () => {}},
    defer: pass => time.at(time.now(), pass),
  });
}

describe('a member that has won the claim', () => {
  // Guards against members whose reads of the log hang in a store that has just
  // come back: they would pass calls on to the old scheduler for seconds.
  test('tells all others at once', async () => {
    const time = new timeline.Timeline();
    const shown = new Map<string, number | undefined>();
    const node = nodeThatWins(time, shown);
    const members = ['one', 'two', 'three', 'four'].map(memberOf);
    node.logRead(members, undefined, 6);
    await time.advance(10);
    node.tick();
    await time.advance(1_000);
    node.tick();
    await time.advance(50);
    assert.deepEqual([...shown.values()], [7, 7, 7]);
    assert.deepEqual([...shown.keys()].sort(), ['four:1', 'three:1', 'two:1']);
  });
});
