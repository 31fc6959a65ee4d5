import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellNode from '../../src/zones/cell_node.js';
import * as fakeJournalStore from '../support/fake_journal_store.js';
import * as fakeWorkers from '../support/fake_workers.js';
import * as simulatedClock from '../support/simulated_clock.js';
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

/** What a scheduler answers that leads under its claim. */
function pongOf(
  claim: cellMember.Claim,
  storeSilentMs: number,
): cellPeers.PeerCallOutcome<cellPeers.PingReply> {
  return {
    kind: 'answered',
    value: {
      newest: claim,
      incarnation: claim.incarnation,
      leading: true,
      resigning: false,
      storeSilentMs,
      configurationVersion: 0,
      configurationAgeMs: 0,
    },
  };
}

/** How the other members answer pings, and what the node did. */
interface Scene {
  readonly answer: (
    address: string,
    greeting: cellPeers.PingMessage,
  ) => cellPeers.PeerCallOutcome<cellPeers.PingReply>;
  /** Whether the store answers this member. */
  readonly storeAnswers: () => boolean;
  claims: number;
}

/** A member whose claims win. */
function nodeIn(
  scene: Scene,
  time: simulatedClock.SimulatedClock,
  name: string,
): cellNode.CellNode {
  const peers = {
    ping: async (address: string, greeting: cellPeers.PingMessage) =>
      scene.answer(address, greeting),
  } as unknown as cellPeers.CellPeers;
  return new cellNode.CellNode({
    self: memberOf(name),
    clock: time,
    wallClock: () => time.now(),
    bounds: {stateKeptMs: 120_000},
    cellLog: {
      join: async () => true,
      probe: async () => scene.storeAnswers(),
      claim: async () => {
        scene.claims += 1;
        return {kind: 'won', term: 7};
      },
    },
    journal: new fakeJournalStore.FakeJournalStore(time),
    registry: {follow: () => ({close: () => {}})},
    workers: new fakeWorkers.FakeWorkers(time),
    advice: {ask: async () => ({kind: 'busy'})},
    peers,
    pauses: time,
    log: {event: () => {}},
    counters: {count: () => {}, observe: () => {}},
    defer: pass => time.runAt(time.now(), pass),
  });
}

describe('a member that has won the claim', () => {
  // Guards against members whose reads of the log hang in a store that has just
  // come back: they would pass calls on to the old scheduler for seconds.
  test('tells all others at once', async () => {
    const time = new simulatedClock.SimulatedClock();
    const shown = new Map<string, number | undefined>();
    const scene: Scene = {
      answer: (address, greeting) => {
        shown.set(address, greeting.newest?.term);
        return {kind: 'unanswered', detail: 'silent'};
      },
      storeAnswers: () => true,
      claims: 0,
    };
    const node = nodeIn(scene, time, 'one');
    const members = ['one', 'two', 'three', 'four'].map(memberOf);
    node.applyCellLog(members, undefined, 6);
    await time.advance(10);
    node.tick();
    await time.advance(1_000);
    node.tick();
    await time.advance(50);
    assert.deepEqual([...shown.values()], [7, 7, 7]);
    assert.deepEqual([...shown.keys()].sort(), ['four:1', 'three:1', 'two:1']);
  });
});

describe('a member that knows of a store that was silent', () => {
  // Guards against a change of the scheduler just after an outage by a member
  // that pings rarely: what it heard last is from before the store was back.
  test('asks the scheduler once more before it claims', async () => {
    const time = new simulatedClock.SimulatedClock();
    const [leader] = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    const {node, incarnation, address} = leader;
    const claim = {term: 3, node, incarnation, address};
    const backAt = 3_350;
    const scene: Scene = {
      answer: () => pongOf(claim, time.now() < backAt ? time.now() : 0),
      storeAnswers: () => time.now() >= backAt,
      claims: 0,
    };
    const last = nodeIn(scene, time, 'zed');
    const members = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    last.applyCellLog(members, claim, 3);
    time.runEvery(100, () => {
      last.tick();
      // The store answers this member again, with nothing new.
      if (time.now() >= backAt) last.applyCellLog([], undefined, 3);
    });
    await time.advance(6_000);
    assert.equal(scene.claims, 0);
  });
});

describe('a member that pings the scheduler rarely', () => {
  // Guards against a change of the scheduler after one lost ping.
  test('asks it once more before it claims', async () => {
    const time = new simulatedClock.SimulatedClock();
    const members = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    const {node, incarnation, address} = members[0];
    const claim = {term: 3, node, incarnation, address};
    const scene: Scene = {
      answer: () =>
        time.now() > 800 && time.now() < 1_550
          ? {kind: 'unanswered', detail: 'lost'}
          : pongOf(claim, 0),
      storeAnswers: () => true,
      claims: 0,
    };
    const last = nodeIn(scene, time, 'zed');
    last.applyCellLog(members, claim, 3);
    time.runEvery(100, () => last.tick());
    await time.advance(4_000);
    assert.equal(scene.claims, 0);
  });
});
