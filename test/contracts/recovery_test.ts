import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as deskBench from '../support/desk_bench.js';
import * as journal from '../../src/contracts/journal.js';
import * as contractSamples from '../support/contract_samples.js';

const IDENTITY = `dead_1_${'a'.repeat(24)}`;
const TASK = `${IDENTITY}/0.1`;

const STARTING: journal.JournalEntry = {
  kind: 'starting',
  identity: IDENTITY,
  client: 'alice',
  task: TASK,
  taskCount: 1,
  attempt: 1,
  worker: 'worker-1',
  leaseBound: 55_000,
};

const FINISHED: journal.JournalEntry = {
  kind: 'finished',
  identity: IDENTITY,
  client: 'alice',
  result: 'ok',
  detail: '',
  answer: 'polished',
  answerKept: true,
};

/** A process in whose zone `dead` has been succeeded. */
function survivor(): deskBench.DeskBench {
  const bench = new deskBench.DeskBench();
  bench.permitEnd = Infinity;
  bench.peers = {live: [], succeeded: ['dead']};
  return bench;
}

function showJournal(
  bench: deskBench.DeskBench,
  entries: ReadonlyArray<journal.JournalEntry>,
  first = 0,
): void {
  bench.handle({
    kind: 'recordsRead',
    stream: journal.journalStream('dead'),
    sentAt: bench.now,
    first,
    next: first + entries.length,
    records: entries.map((entry, index) => ({
      offset: first + index,
      data: journal.encodeRecord({number: index + 1, entry}),
    })),
  });
}

nodeTest.describe('identity of another home', () => {
  nodeTest.test('is passed on while its home is live', () => {
    const bench = new deskBench.DeskBench();
    bench.peers = {live: ['other'], succeeded: []};
    const identity = `other_1_${'b'.repeat(24)}`;
    const call = bench.submit(identity);
    assert.equal(bench.all('forwardCall')[0].peer, 'other');
    const foreign = JSON.stringify({identity: IDENTITY, answer: 'secret'});
    bench.handle({kind: 'forwardAnswered', call, code: 0, body: foreign});
    assert.equal(
      bench.replyTo(call)?.code,
      4001,
      'answers of others go nowhere',
    );
    assert.equal(bench.replyTo(call)?.answer, undefined);
  });

  nodeTest.test('is unknown while its home may be alive', () => {
    const bench = new deskBench.DeskBench();
    assert.equal(bench.replyTo(bench.submit(IDENTITY))?.code, 4001);
  });
});

nodeTest.describe('identity of a dead home', () => {
  nodeTest.test('is answered from its record, to its client only', () => {
    const bench = survivor();
    const own = bench.submit(IDENTITY);
    const foreign = bench.submit(IDENTITY, 'order', 'bob');
    showJournal(bench, [STARTING, FINISHED]);
    assert.equal(bench.replyTo(own)?.answer, 'polished');
    assert.equal(bench.replyTo(foreign)?.code, 1008);
    const later = bench.submit(IDENTITY, 'order', 'bob');
    assert.equal(bench.replyTo(later)?.code, 1008);
  });

  nodeTest.test('without records was not run if every record was read', () => {
    const bench = survivor();
    const call = bench.submit(IDENTITY);
    showJournal(bench, []);
    assert.equal(bench.replyTo(call)?.code, 3005);
  });

  nodeTest.test(
    'without records has an unknown outcome after the log has dropped some',
    () => {
      const bench = survivor();
      const call = bench.submit(IDENTITY);
      showJournal(bench, [], 7);
      assert.equal(bench.replyTo(call)?.code, 4002);
    },
  );

  nodeTest.test(
    'that may be idempotent is never called not run, because idempotent ' +
      'requests leave no records',
    () => {
      const bench = survivor();
      const fetched = bench.ask('fetchArrived', IDENTITY);
      const sent = bench.submit(IDENTITY, 'inspection');
      showJournal(bench, []);
      assert.equal(bench.replyTo(fetched)?.code, 4001);
      assert.equal(bench.replyTo(sent)?.code, 4002);
    },
  );

  nodeTest.test(
    'whose task ended on the worker gets the answer from there',
    () => {
      const bench = survivor();
      const call = bench.submit(IDENTITY);
      showJournal(bench, [STARTING]);
      assert.equal(bench.replyTo(call), undefined);
      bench.now = 500;
      const state = 'finished';
      bench.report([contractSamples.buildTaskReport(TASK, IDENTITY, {state})]);
      assert.equal(bench.all('fetchTaskAnswer').length, 1);
      bench.now = 3_000;
      bench.report([contractSamples.buildTaskReport(TASK, IDENTITY, {state})]);
      assert.equal(bench.all('fetchTaskAnswer').length, 2, 'after a loss');
      bench.endTask(TASK);
      assert.equal(bench.replyTo(call)?.answer, 'done 0');
    },
  );

  nodeTest.test(
    'whose start was recorded was not run only after its lease bound',
    () => {
      const bench = survivor();
      const early = bench.submit(IDENTITY);
      showJournal(bench, [STARTING]);
      bench.now = 4_000;
      bench.report();
      assert.equal(bench.replyTo(early)?.code, 4001);
      bench.now = 9_000;
      const late = bench.submit(IDENTITY);
      bench.report();
      assert.equal(bench.replyTo(late)?.code, 3005);
      assert.deepEqual(bench.all('startTask'), []);
    },
  );
});
