import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as callNumberAllocator from '../../src/links/call_number_allocator.js';
import * as peerLink from '../../src/links/peer_link.js';
import * as peerServer from '../../src/links/peer_server.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as faultRelay from '../../stand_ins/fault_relay.js';
import * as responseTimerSupport from '../support/response_timer.js';
import * as wait from '../support/wait.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as peerFailure from '../../src/links/peer_failure.js';
import type * as event from '../../src/contracts/event.js';

const STATUS: event.PeerStatus = {
  from: 'kigali-a.entry-1.aa',
  zone: 'kigali-a',
  address: '127.0.0.1:9',
  documents: [{name: 'fleet', version: 7}],
  leavingWorkers: ['worker-3'],
  summaries: [
    {
      zone: 'huye-a',
      freeProcessors: 1,
      freeMemory: 2,
      freeAccelerators: 3,
      expectedWaitMs: 4,
      workerCount: 5,
    },
  ],
  leaving: true,
};

const SUBMISSION = {
  team: 'dispatch',
  workload: 'polish',
  payload: 'stone é',
  size: {processors: 1, memory: 2, accelerators: 0, slots: 1},
  startDeadlineMs: 50,
};

type Respond = (posted: event.Event, pair: Pair) => void;

/** The peer server of one process and the peer link of another. */
class Pair {
  readonly served: event.Event[] = [];
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  readonly server: peerServer.PeerServer;
  readonly link: peerLink.PeerLink;
  forwarded: event.CallEvent | undefined;
  address = '';

  constructor(respond: Respond) {
    this.server = new peerServer.PeerServer(
      'peer-2',
      new callNumberAllocator.CallNumberAllocator(),
      posted => {
        this.served.push(posted);
        respond(posted, this);
      },
    );
    this.link = new peerLink.PeerLink({
      timer: responseTimerSupport.createResponseTimer(),
      processName: 'peer-1',
      openCalls: {findOpenCall: () => this.forwarded},
      post: posted => void this.posted.push(posted),
      now: () => 5,
      metrics: this.metrics,
    });
  }

  async listen(): Promise<void> {
    this.address = `127.0.0.1:${await this.server.listen('127.0.0.1', 0)}`;
  }

  close(): void {
    this.link.close();
    this.server.close();
  }
}

function peerEffects(
  address: string,
): ReadonlyArray<peerFailure.PeerCallEffect> {
  const peer = 'peer-2';
  return [
    {kind: 'confirmPeer', peer, address, zonePosition: 12, status: STATUS},
    {
      kind: 'offerRequest',
      peer,
      address,
      identity: 'i',
      attempt: 2,
      client: 'c',
      submission: SUBMISSION,
      remainingMs: Infinity,
    },
    {kind: 'withdrawOffer', peer, address, identity: 'i', attempt: 2},
    {kind: 'forwardCall', peer, address, relayed: false, call: 3},
    {kind: 'fetchDocuments', peer, address, have: [{name: 'a', version: 1}]},
    {kind: 'sendWitness', peer, address, batch: 4, entries: ['one', 'two']},
    {kind: 'readWitness', peer, address, process: 'gone'},
  ];
}

function answerEffectFor(posted: event.Event): effect.PeerEffect | undefined {
  switch (posted.kind) {
    case 'confirmArrived':
      return {
        kind: 'answerConfirm',
        call: posted.call,
        confirmed: true,
        zoneRecords: [{offset: 3, data: 'r'}],
        status: {...STATUS, from: 'peer-2'},
      };
    case 'offerArrived':
      return {kind: 'answerOffer', call: posted.call, code: 0, answer: 'é'};
    case 'withdrawArrived':
      return {kind: 'answerWithdraw', call: posted.call, code: 2006};
    case 'fetchDocumentsArrived':
      return {
        kind: 'answerDocuments',
        call: posted.call,
        documents: [{name: 'a', version: 2, content: 'text'}],
      };
    case 'witnessArrived':
      return {kind: 'answerWitness', call: posted.call, stored: true};
    case 'readWitnessArrived':
      return {
        kind: 'answerReadWitness',
        call: posted.call,
        complete: true,
        entries: ['one'],
      };
    default:
      return undefined;
  }
}

function answerEveryCall(posted: event.Event, pair: Pair): void {
  const answer = answerEffectFor(posted);
  if (answer !== undefined && !('peer' in answer)) pair.server.answer(answer);
  if (posted.kind === 'fetchArrived') {
    pair.server.answerForwarded(posted.call, {code: 0, answer: 'whole'});
  }
}

nodeTest.describe('calls between entry processes', () => {
  // Guards against a field that is lost or altered between two processes.
  nodeTest.test('calls and answers become events with all fields', async () => {
    const pair = new Pair(answerEveryCall);
    await pair.listen();
    pair.forwarded = {
      kind: 'fetchArrived',
      call: 3,
      client: 'c',
      identity: 'i',
      waitMs: 10,
    };
    for (const call of peerEffects(pair.address)) await pair.link.perform(call);
    const withoutCalls = pair.served.map(item => ({...item, call: 0}));
    const from = 'peer-1';
    const to = 'peer-2';
    assert.deepEqual(withoutCalls, [
      {kind: 'confirmArrived', call: 0, to, zonePosition: 12, status: STATUS},
      {
        kind: 'offerArrived',
        call: 0,
        from,
        to,
        identity: 'i',
        attempt: 2,
        client: 'c',
        submission: SUBMISSION,
        remainingMs: Infinity,
      },
      {kind: 'withdrawArrived', call: 0, from, to, identity: 'i', attempt: 2},
      {kind: 'fetchArrived', call: 0, client: 'c', identity: 'i', waitMs: 10},
      {
        kind: 'fetchDocumentsArrived',
        call: 0,
        have: [{name: 'a', version: 1}],
      },
      {kind: 'witnessArrived', call: 0, from, to, entries: ['one', 'two']},
      {kind: 'readWitnessArrived', call: 0, process: 'gone'},
    ]);
    assert.deepEqual(pair.posted, [
      {
        kind: 'confirmAnswered',
        peer: to,
        sentAt: 5,
        confirmed: true,
        zoneRecords: [{offset: 3, data: 'r'}],
        status: {...STATUS, from: to},
      },
      {kind: 'offerAnswered', peer: to, identity: 'i', code: 0, answer: 'é'},
      {kind: 'withdrawAnswered', peer: to, identity: 'i', code: 2006},
      {
        kind: 'forwardAnswered',
        call: 3,
        code: 0,
        body: '{"code":0,"answer":"whole"}',
      },
      {
        kind: 'documentsArrived',
        documents: [{name: 'a', version: 2, content: 'text'}],
      },
      {kind: 'witnessAnswered', peer: to, batch: 4, stored: true},
      {
        kind: 'readWitnessAnswered',
        peer: to,
        process: 'gone',
        complete: true,
        entries: ['one'],
      },
    ]);
    pair.close();
  });

  // Guards against a decision that waits forever for an unreachable peer.
  nodeTest.test(
    'a call without an answer becomes a failure event',
    async () => {
      const pair = new Pair(() => {});
      const nobody = '127.0.0.1:1';
      for (const call of peerEffects(nobody)) await pair.link.perform(call);
      assert.deepEqual(
        pair.posted.map(item => item.kind),
        [
          'confirmFailed',
          'offerLost',
          'withdrawAnswered',
          'forwardFailed',
          'documentsArrived',
          'witnessAnswered',
          'readWitnessAnswered',
        ],
      );
      const [, , withdrawn, , , witness, entries] = pair.posted;
      assert.equal(
        withdrawn.kind === 'withdrawAnswered' && withdrawn.code,
        4001,
      );
      assert.equal(witness.kind === 'witnessAnswered' && witness.stored, false);
      assert.equal(
        entries.kind === 'readWitnessAnswered' && entries.complete,
        false,
      );
      pair.close();
    },
  );

  // Guards against a permit that is based on the confirmation of a restarted
  // process at the same address.
  nodeTest.test(
    'an answer of another incarnation does not confirm a peer',
    async () => {
      const pair = new Pair((posted, self) => {
        if (posted.kind !== 'confirmArrived') return;
        const answer = answerEffectFor(posted);
        if (answer?.kind !== 'answerConfirm') return;
        self.server.answer({...answer, status: {...STATUS, from: 'peer-3'}});
      });
      await pair.listen();
      await pair.link.perform(peerEffects(pair.address)[0]);
      assert.deepEqual(pair.posted, [{kind: 'confirmFailed', peer: 'peer-2'}]);
      pair.close();
    },
  );

  // Guards against open calls that pile up when a peer disconnects.
  nodeTest.test('a call ends when its sender disconnects', async () => {
    const pair = new Pair(() => {});
    await pair.listen();
    const offer = pair.link.perform(peerEffects(pair.address)[1]);
    await wait.until('the offer', async () => pair.served[0]);
    pair.link.close();
    await offer;
    assert.equal(pair.posted[0].kind, 'offerLost');
    await wait.until('the end', async () =>
      pair.served.some(item => item.kind === 'callEnded') ? true : undefined,
    );
    pair.close();
  });
});

nodeTest.describe('silent connections between entry processes', () => {
  // Guards against a peer that counts as dead because only the connection to it
  // is silent.
  nodeTest.test('a probe replaces them after a timeout', async () => {
    const pair = new Pair(answerEveryCall);
    await pair.listen();
    const relay = new faultRelay.FaultRelay(pair.address);
    const address = await relay.listen();
    const confirm = peerEffects(address)[0];
    await pair.link.perform(confirm);
    relay.silenceConnections();
    await pair.link.perform(confirm);
    await wait.until('the replacement', async () =>
      pair.metrics.total('silent_connection peer deadline') > 0
        ? true
        : undefined,
    );
    await pair.link.perform(confirm);
    assert.deepEqual(
      pair.posted.map(item => item.kind),
      ['confirmAnswered', 'confirmFailed', 'confirmAnswered'],
    );
    pair.close();
    relay.close();
  });

  // Guards against replacing connections to a peer that answers on none.
  nodeTest.test(
    'a dead peer is not counted as a silent connection',
    async () => {
      const silent = net.createServer(() => {});
      await new Promise<void>(resolve =>
        silent.listen(0, '127.0.0.1', resolve),
      );
      const address = silent.address() as net.AddressInfo;
      const pair = new Pair(() => {});
      const [confirm] = peerEffects(`127.0.0.1:${address.port}`);
      await pair.link.perform(confirm);
      await pair.link.perform(confirm);
      assert.equal(pair.metrics.total('silent_connection peer deadline'), 0);
      pair.close();
      silent.close();
    },
  );
});
