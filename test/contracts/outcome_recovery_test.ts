import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as coordinatorHarness from '../support/coordinator_harness.js';
import * as journalBackend from '../../src/contracts/journal_backend.js';
import * as contractSamples from '../support/contract_samples.js';

const IDENTITY = `dead_1_${'a'.repeat(24)}`;
const TASK = `${IDENTITY}/0.1`;

const STARTING: journalBackend.JournalEntry = {
  kind: 'starting',
  identity: IDENTITY,
  client: 'alice',
  task: TASK,
  taskCount: 1,
  attempt: 1,
  worker: 'worker-1',
  leaseBound: 55_000,
};

const FINISHED: journalBackend.JournalEntry = {
  kind: 'finished',
  identity: IDENTITY,
  client: 'alice',
  result: 'ok',
  detail: '',
  answer: 'polished',
  answerKept: true,
};

/** Returns a process of the zone in which `dead` has a successor. */
function buildRecoveringProcess(): coordinatorHarness.CoordinatorHarness {
  const harness = new coordinatorHarness.CoordinatorHarness();
  harness.permitEnd = Infinity;
  harness.peers = {live: [], replaced: ['dead']};
  return harness;
}

function answerJournalRead(
  harness: coordinatorHarness.CoordinatorHarness,
  entries: ReadonlyArray<journalBackend.JournalEntry>,
  first = 0,
): void {
  harness.handle({
    kind: 'recordsRead',
    stream: journalBackend.journalStream('dead'),
    sentAt: harness.now,
    first,
    next: first + entries.length,
    records: entries.map((entry, index) => ({
      offset: first + index,
      data: journalBackend.encodeRecord({number: index + 1, entry}),
    })),
  });
}

nodeTest.describe('identity of another home', () => {
  nodeTest.test('is forwarded to its home while the home is live', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    harness.peers = {live: ['other'], replaced: []};
    const identity = `other_1_${'b'.repeat(24)}`;
    const call = harness.submit(identity);
    assert.equal(harness.effectsOfKind('forwardCall')[0].peer, 'other');
    const foreign = JSON.stringify({identity: IDENTITY, answer: 'secret'});
    harness.handle({kind: 'forwardAnswered', call, code: 0, body: foreign});
    assert.equal(
      harness.replyTo(call)?.code,
      4001,
      'an answer for another identity is dropped',
    );
    assert.equal(harness.replyTo(call)?.answer, undefined);
  });

  nodeTest.test('has an unknown outcome while its home may be alive', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    assert.equal(harness.replyTo(harness.submit(IDENTITY))?.code, 4001);
  });
});

nodeTest.describe('identity of a dead home', () => {
  nodeTest.test('is answered from the journal, to its own client only', () => {
    const harness = buildRecoveringProcess();
    const own = harness.submit(IDENTITY);
    const foreign = harness.submit(IDENTITY, 'order', 'bob');
    answerJournalRead(harness, [STARTING, FINISHED]);
    assert.equal(harness.replyTo(own)?.answer, 'polished');
    assert.equal(harness.replyTo(foreign)?.code, 1008);
    const later = harness.submit(IDENTITY, 'order', 'bob');
    assert.equal(harness.replyTo(later)?.code, 1008);
  });

  nodeTest.test('is "not run" without records once all have been read', () => {
    const harness = buildRecoveringProcess();
    const call = harness.submit(IDENTITY);
    answerJournalRead(harness, []);
    assert.equal(harness.replyTo(call)?.code, 3005);
  });

  nodeTest.test(
    'has a lost outcome without records if the log has trimmed the journal',
    () => {
      const harness = buildRecoveringProcess();
      const call = harness.submit(IDENTITY);
      answerJournalRead(harness, [], 7);
      assert.equal(harness.replyTo(call)?.code, 4002);
    },
  );

  nodeTest.test(
    'is never "not run" if its request may be idempotent, because idempotent ' +
      'requests leave no records',
    () => {
      const harness = buildRecoveringProcess();
      const fetched = harness.callAbout('fetchArrived', IDENTITY);
      const sent = harness.submit(IDENTITY, 'inspection');
      answerJournalRead(harness, []);
      assert.equal(harness.replyTo(fetched)?.code, 4001);
      assert.equal(harness.replyTo(sent)?.code, 4002);
    },
  );

  nodeTest.test('is answered by the worker on which its task ended', () => {
    const harness = buildRecoveringProcess();
    const call = harness.submit(IDENTITY);
    answerJournalRead(harness, [STARTING]);
    assert.equal(harness.replyTo(call), undefined);
    harness.now = 500;
    const state = 'finished';
    harness.report([contractSamples.buildTaskReport(TASK, IDENTITY, {state})]);
    assert.equal(harness.effectsOfKind('fetchTaskAnswer').length, 1);
    harness.now = 3_000;
    harness.report([contractSamples.buildTaskReport(TASK, IDENTITY, {state})]);
    assert.equal(
      harness.effectsOfKind('fetchTaskAnswer').length,
      2,
      'resent after 2 s',
    );
    harness.endTask(TASK);
    assert.equal(harness.replyTo(call)?.answer, 'done 0');
  });

  nodeTest.test(
    'is "not run" after a recorded start only once the lease bound has passed',
    () => {
      const harness = buildRecoveringProcess();
      const early = harness.submit(IDENTITY);
      answerJournalRead(harness, [STARTING]);
      harness.now = 4_000;
      harness.report();
      assert.equal(harness.replyTo(early)?.code, 4001);
      harness.now = 9_000;
      const late = harness.submit(IDENTITY);
      harness.report();
      assert.equal(harness.replyTo(late)?.code, 3005);
      assert.deepEqual(harness.effectsOfKind('startTask'), []);
    },
  );
});
