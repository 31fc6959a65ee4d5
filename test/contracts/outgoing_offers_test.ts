import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as coordinatorHarness from '../support/coordinator_harness.js';

const IDENTITY = `home_1_${'a'.repeat(24)}`;

/** Passes an offer from `home` to a process; returns the call number. */
function offer(
  peer: coordinatorHarness.CoordinatorHarness,
  attempt: number,
  workload = 'order',
): number {
  const call = peer.nextCallNumber();
  peer.handle({
    kind: 'offerArrived',
    call,
    from: 'home',
    to: peer.self,
    identity: IDENTITY,
    attempt,
    client: 'alice',
    submission: {team: 'dispatch', workload, payload: 'stone'},
    remainingMs: 2_000,
  });
  return call;
}

/** Returns a process of the home's zone with free capacity for the request. */
function buildPeer(): coordinatorHarness.CoordinatorHarness {
  const peer = new coordinatorHarness.CoordinatorHarness('peer');
  peer.peers = {live: ['home'], replaced: []};
  return peer;
}

function withdraw(
  peer: coordinatorHarness.CoordinatorHarness,
  attempt: number,
): number {
  const call = peer.nextCallNumber();
  peer.handle({
    kind: 'withdrawArrived',
    call,
    from: 'home',
    to: peer.self,
    identity: IDENTITY,
    attempt,
  });
  return call;
}

function offerCode(
  peer: coordinatorHarness.CoordinatorHarness,
  call: number,
): number | undefined {
  const all = [
    ...peer.effectsOfKind('answerOffer'),
    ...peer.effectsOfKind('answerWithdraw'),
  ];
  return all.find(answer => answer.call === call)?.code;
}

/** Returns a home without workers that has offered its request to a peer. */
function buildOfferingHome(): {
  readonly home: coordinatorHarness.CoordinatorHarness;
  readonly call: number;
} {
  const home = new coordinatorHarness.CoordinatorHarness('home', false);
  home.peers = {live: ['peer-1', 'peer-2'], replaced: []};
  const call = home.submit(home.reserve());
  home.advanceTime(300);
  return {home, call};
}

nodeTest.describe('incoming offer', () => {
  nodeTest.test('runs once, is recorded, and answers repeated offers', () => {
    const peer = buildPeer();
    const call = offer(peer, 1);
    const repeated = offer(peer, 1);
    assert.equal(peer.effectsOfKind('append').length, 1);
    const [{start}] = peer.effectsOfKind('startTask');
    peer.answerStart(start.task, 'started');
    peer.endTask(start.task);
    assert.equal(offerCode(peer, call), 0);
    assert.equal(offerCode(peer, repeated), 0);
    assert.equal(peer.effectsOfKind('startTask').length, 1);
  });

  nodeTest.test(
    'never runs after its refusal when it is repeated late, because its home ' +
      'may have placed it elsewhere; a later offer may run',
    () => {
      const peer = buildPeer();
      peer.permitEnd = 0;
      assert.equal(offerCode(peer, offer(peer, 1)), 2002);
      peer.permitEnd = 4_000;
      assert.equal(offerCode(peer, offer(peer, 1)), 2006);
      assert.deepEqual(peer.effectsOfKind('startTask'), []);
      offer(peer, 2);
      assert.equal(peer.effectsOfKind('startTask').length, 1);
    },
  );

  nodeTest.test('never runs if its withdrawal arrives before it', () => {
    const peer = buildPeer();
    assert.equal(offerCode(peer, withdraw(peer, 1)), 2006);
    assert.equal(offerCode(peer, offer(peer, 1)), 2006);
    assert.deepEqual(peer.effectsOfKind('startTask'), []);
  });

  nodeTest.test(
    'is not started once its home has ended, because a successor may have ' +
      'told the client that the request was not run',
    () => {
      const peer = buildPeer();
      peer.logAcknowledges = false;
      const call = offer(peer, 1);
      peer.peers = {live: [], replaced: ['home']};
      const [{stream, append}] = peer.effectsOfKind('append');
      peer.handle({kind: 'appendAnswered', stream, append, answer: 'appended'});
      assert.deepEqual(peer.effectsOfKind('startTask'), []);
      assert.equal(offerCode(peer, call), 3002);
    },
  );

  nodeTest.test(
    'reports "not run" to its home only, because the home may still run the ' +
      'request elsewhere; other callers are forwarded to the home',
    () => {
      const peer = buildPeer();
      const call = offer(peer, 1);
      peer.answerStart(
        peer.effectsOfKind('startTask')[0].start.task,
        'refused',
      );
      assert.equal(offerCode(peer, call), 2007);
      const asked = peer.callAbout('fetchArrived', IDENTITY);
      assert.equal(peer.replyTo(asked), undefined);
      assert.equal(peer.effectsOfKind('forwardCall')[0].peer, 'home');
    },
  );
});

nodeTest.describe('outgoing offer', () => {
  nodeTest.test('is recorded before it is sent', () => {
    const home = new coordinatorHarness.CoordinatorHarness('home', false);
    home.peers = {live: ['peer-1'], replaced: []};
    home.submit(home.reserve());
    home.logAcknowledges = false;
    home.advanceTime(300);
    assert.deepEqual(home.effectsOfKind('offerRequest'), []);
    const [{stream, append}] = home.effectsOfKind('append');
    home.handle({kind: 'appendAnswered', stream, append, answer: 'appended'});
    assert.equal(home.effectsOfKind('offerRequest').length, 1);
  });

  nodeTest.test(
    'is resent to the same process while its answer is missing, and goes to ' +
      'another one only after a refusal: guards against two runs',
    () => {
      const {home} = buildOfferingHome();
      const [{peer, identity}] = home.effectsOfKind('offerRequest');
      home.handle({kind: 'offerLost', peer, identity});
      home.advanceTime(1_000);
      home.advanceTime(1_000);
      const peers = home.effectsOfKind('offerRequest').map(sent => sent.peer);
      assert.deepEqual(peers, [peer, peer]);
      const refusal = {code: 2002, answer: ''};
      home.handle({kind: 'offerAnswered', peer, identity, ...refusal});
      home.advanceTime(500);
      const last = home.effectsOfKind('offerRequest').at(-1);
      assert.notEqual(last?.peer, peer);
      assert.equal(last?.attempt, 2);
    },
  );

  nodeTest.test('passes the answer of the right process to the client', () => {
    const {home, call} = buildOfferingHome();
    const [{peer, identity}] = home.effectsOfKind('offerRequest');
    const ended = {code: 0, answer: 'polished'};
    const other = peer === 'peer-1' ? 'peer-2' : 'peer-1';
    home.handle({kind: 'offerAnswered', peer: other, identity, ...ended});
    assert.equal(home.replyTo(call), undefined, 'from the wrong process');
    home.handle({kind: 'offerAnswered', peer, identity, ...ended});
    assert.equal(home.replyTo(call)?.answer, 'polished');
  });
});
