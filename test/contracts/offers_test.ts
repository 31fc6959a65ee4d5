import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as deskBench from '../support/desk_bench.js';

const IDENTITY = `home_1_${'a'.repeat(24)}`;

/** Hands an offer of `home` to a process; returns the call. */
function offer(
  peer: deskBench.DeskBench,
  attempt: number,
  workload = 'order',
): number {
  const call = peer.call();
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

/** A process of the home's zone with room for the request. */
function buildPeer(): deskBench.DeskBench {
  const peer = new deskBench.DeskBench('peer');
  peer.peers = {live: ['home'], succeeded: []};
  return peer;
}

function withdraw(peer: deskBench.DeskBench, attempt: number): number {
  const call = peer.call();
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
  peer: deskBench.DeskBench,
  call: number,
): number | undefined {
  const all = [...peer.all('answerOffer'), ...peer.all('answerWithdraw')];
  return all.find(answer => answer.call === call)?.code;
}

/** A home without workers whose request has been offered to `peer-1`. */
function offeringHome(): {
  readonly home: deskBench.DeskBench;
  readonly call: number;
} {
  const home = new deskBench.DeskBench('home', false);
  home.peers = {live: ['peer-1', 'peer-2'], succeeded: []};
  const call = home.submit(home.reserve());
  home.pass(300);
  return {home, call};
}

nodeTest.describe('offer at the process that gets it', () => {
  nodeTest.test('runs at once, is recorded and joined by repeats', () => {
    const peer = buildPeer();
    const call = offer(peer, 1);
    const repeated = offer(peer, 1);
    assert.equal(peer.all('append').length, 1);
    const [{start}] = peer.all('startTask');
    peer.answerStart(start.task, 'started');
    peer.endTask(start.task);
    assert.equal(offerCode(peer, call), 0);
    assert.equal(offerCode(peer, repeated), 0);
    assert.equal(peer.all('startTask').length, 1);
  });

  nodeTest.test(
    'that was refused never runs when its repetition arrives late, but a ' +
      'further offer may run',
    () => {
      const peer = buildPeer();
      peer.permitEnd = 0;
      assert.equal(offerCode(peer, offer(peer, 1)), 2002);
      peer.permitEnd = 4_000;
      assert.equal(offerCode(peer, offer(peer, 1)), 2006);
      assert.deepEqual(peer.all('startTask'), []);
      offer(peer, 2);
      assert.equal(peer.all('startTask').length, 1);
    },
  );

  nodeTest.test('that was withdrawn before it arrived never runs', () => {
    const peer = buildPeer();
    assert.equal(offerCode(peer, withdraw(peer, 1)), 2006);
    assert.equal(offerCode(peer, offer(peer, 1)), 2006);
    assert.deepEqual(peer.all('startTask'), []);
  });

  nodeTest.test(
    'is not started once its home has ended, because a successor may have ' +
      'told the client that the request was not run',
    () => {
      const peer = buildPeer();
      peer.logAnswers = false;
      const call = offer(peer, 1);
      peer.peers = {live: [], succeeded: ['home']};
      const [{stream, append}] = peer.all('append');
      peer.handle({kind: 'appendAnswered', stream, append, answer: 'appended'});
      assert.deepEqual(peer.all('startTask'), []);
      assert.equal(offerCode(peer, call), 3002);
    },
  );

  nodeTest.test(
    'that ended as not run is answered to its home only, because the home ' +
      'may still run the request elsewhere',
    () => {
      const peer = buildPeer();
      const call = offer(peer, 1);
      peer.answerStart(peer.all('startTask')[0].start.task, 'refused');
      assert.equal(offerCode(peer, call), 2007);
      const asked = peer.ask('fetchArrived', IDENTITY);
      assert.equal(peer.replyTo(asked), undefined);
      assert.equal(peer.all('forwardCall')[0].peer, 'home');
    },
  );
});

nodeTest.describe('offer at the home', () => {
  nodeTest.test('is recorded before it is sent', () => {
    const home = new deskBench.DeskBench('home', false);
    home.peers = {live: ['peer-1'], succeeded: []};
    home.submit(home.reserve());
    home.logAnswers = false;
    home.pass(300);
    assert.deepEqual(home.all('offerRequest'), []);
    const [{stream, append}] = home.all('append');
    home.handle({kind: 'appendAnswered', stream, append, answer: 'appended'});
    assert.equal(home.all('offerRequest').length, 1);
  });

  nodeTest.test(
    'goes to the same process again while its answer is missing, and to ' +
      'another one only after a refusal',
    () => {
      const {home} = offeringHome();
      const [{peer, identity}] = home.all('offerRequest');
      home.handle({kind: 'offerLost', peer, identity});
      home.pass(1_000);
      home.pass(1_000);
      const peers = home.all('offerRequest').map(sent => sent.peer);
      assert.deepEqual(peers, [peer, peer]);
      const refusal = {code: 2002, answer: ''};
      home.handle({kind: 'offerAnswered', peer, identity, ...refusal});
      home.pass(500);
      const last = home.all('offerRequest').at(-1);
      assert.notEqual(last?.peer, peer);
      assert.equal(last?.attempt, 2);
    },
  );

  nodeTest.test('brings the answer of the other process to the client', () => {
    const {home, call} = offeringHome();
    const [{peer, identity}] = home.all('offerRequest');
    const ended = {code: 0, answer: 'polished'};
    const other = peer === 'peer-1' ? 'peer-2' : 'peer-1';
    home.handle({kind: 'offerAnswered', peer: other, identity, ...ended});
    assert.equal(home.replyTo(call), undefined, 'from the wrong process');
    home.handle({kind: 'offerAnswered', peer, identity, ...ended});
    assert.equal(home.replyTo(call)?.answer, 'polished');
  });
});
