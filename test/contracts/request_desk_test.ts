import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as deskBench from '../support/desk_bench.js';
import * as journal from '../../src/contracts/journal.js';

function recordedKinds(bench: deskBench.DeskBench): ReadonlyArray<string> {
  return bench
    .all('append')
    .flatMap(append => append.records)
    .map(text => journal.decodeRecord(text)?.entry.kind ?? 'none');
}

function startedTasks(bench: deskBench.DeskBench): ReadonlyArray<string> {
  return bench.all('startTask').map(sent => sent.start.task);
}

nodeTest.describe('start of a non-idempotent request', () => {
  nodeTest.test(
    'is not sent before its record is acknowledged, so that a successor ' +
      'always knows of it',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      bench.logAnswers = false;
      bench.submit(identity);
      assert.deepEqual(recordedKinds(bench), ['starting']);
      assert.deepEqual(startedTasks(bench), []);
      const [{stream, append}] = bench.all('append');
      const answer = 'appended';
      bench.handle({kind: 'appendAnswered', stream, append, answer});
      assert.equal(startedTasks(bench).length, 1);
    },
  );

  nodeTest.test(
    'is placed again when the permit ended before the acknowledgement',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      bench.logAnswers = false;
      bench.submit(identity);
      bench.now = 4_500;
      const [{stream, append}] = bench.all('append');
      const answer = 'appended';
      bench.handle({kind: 'appendAnswered', stream, append, answer});
      assert.deepEqual(startedTasks(bench), []);
      bench.permitEnd = 9_000;
      bench.logAnswers = true;
      bench.report();
      bench.pass(100);
      assert.equal(startedTasks(bench).length, 1);
      assert.deepEqual(recordedKinds(bench), ['starting', 'starting']);
    },
  );

  nodeTest.test(
    'is refused with 3003 when neither the log nor a witness records it',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      bench.logAnswers = false;
      const call = bench.submit(identity);
      const [{stream, append}] = bench.all('append');
      bench.handle({kind: 'appendAnswered', stream, append, answer: 'lost'});
      bench.handle({kind: 'readFailed', stream});
      bench.pass(10);
      assert.equal(bench.replyTo(call)?.code, 3003);
      assert.deepEqual(startedTasks(bench), []);
      const next = bench.submit(bench.reserve());
      assert.equal(bench.replyTo(next)?.code, 3003);
    },
  );
});

nodeTest.describe('whole answer to its own client', () => {
  nodeTest.test(
    'goes to every call of the owner and to nobody else, also on repeats',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const first = bench.submit(identity);
      const second = bench.submit(identity);
      const foreign = bench.submit(identity, 'order', 'bob');
      assert.equal(bench.replyTo(foreign)?.code, 1008);
      const [name] = startedTasks(bench);
      bench.answerStart(name, 'started');
      bench.endTask(name);
      assert.equal(bench.replyTo(first)?.answer, 'done 0');
      assert.equal(bench.replyTo(second)?.answer, 'done 0');
      assert.equal(startedTasks(bench).length, 1);
      const late = bench.ask('fetchArrived', identity, 'bob');
      assert.equal(bench.replyTo(late)?.code, 1008);
    },
  );

  nodeTest.test('needs a home that somebody succeeds to', () => {
    const bench = new deskBench.DeskBench();
    bench.joined = false;
    assert.equal(bench.reserve(), '');
    assert.equal(
      bench.replyTo(bench.submit(undefined, 'inspection'))?.code,
      3002,
    );
  });

  nodeTest.test('needs the client that the identity was issued to', () => {
    const bench = new deskBench.DeskBench();
    const call = bench.submit(bench.reserve('bob'), 'order', 'alice');
    assert.equal(bench.replyTo(call)?.code, 1008);
    assert.deepEqual(startedTasks(bench), []);
  });

  nodeTest.test('joins the answers of several tasks in their order', () => {
    const bench = new deskBench.DeskBench();
    const call = bench.submit(bench.reserve(), 'pair');
    const [first, second] = startedTasks(bench);
    for (const name of [first, second]) bench.answerStart(name, 'started');
    bench.endTask(second);
    assert.equal(bench.replyTo(call), undefined);
    bench.endTask(first);
    assert.equal(bench.replyTo(call)?.answer, '["done 0","done 1"]');
  });
});

nodeTest.describe('request with several tasks', () => {
  nodeTest.test(
    'stops the others when one did not start, and does not count as not run',
    () => {
      const bench = new deskBench.DeskBench();
      const call = bench.submit(bench.reserve(), 'pair');
      const [first, second] = startedTasks(bench);
      bench.answerStart(first, 'started');
      bench.answerStart(second, 'refused');
      assert.deepEqual(
        bench.all('stopTask').map(stop => stop.task),
        [first],
      );
      bench.endTask(first, 'stopped');
      assert.equal(bench.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test('is placed again as a whole when no task ran', () => {
    const bench = new deskBench.DeskBench();
    bench.submit(bench.reserve(), 'pair');
    for (const name of startedTasks(bench)) bench.answerStart(name, 'refused');
    bench.pass(10);
    assert.equal(startedTasks(bench).length, 4);
  });
});

nodeTest.describe('cancellation', () => {
  nodeTest.test(
    'that meets a start in flight never ends as not run if the task ran',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const call = bench.submit(identity);
      bench.ask('cancelArrived', identity);
      assert.equal(bench.replyTo(call), undefined);
      const [name] = startedTasks(bench);
      bench.answerStart(name, 'started');
      assert.equal(bench.all('stopTask').length, 1);
      bench.endTask(name, 'stopped');
      assert.equal(bench.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test(
    'of a start that is proved not run ends the request and starts nothing',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const call = bench.submit(identity);
      bench.ask('cancelArrived', identity);
      bench.answerStart(startedTasks(bench)[0], 'refused');
      assert.equal(bench.replyTo(call)?.code, 2006);
      bench.pass(100);
      assert.equal(startedTasks(bench).length, 1);
    },
  );

  nodeTest.test(
    'of a running idempotent request does not place it again',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const call = bench.submit(identity, 'inspection');
      const [name] = startedTasks(bench);
      bench.answerStart(name, 'started');
      bench.ask('cancelArrived', identity);
      bench.endTask(name, 'stopped');
      assert.equal(bench.replyTo(call)?.code, 5002);
      assert.equal(startedTasks(bench).length, 1);
    },
  );

  nodeTest.test('before the record is acknowledged sends no start', () => {
    const bench = new deskBench.DeskBench();
    const identity = bench.reserve();
    bench.logAnswers = false;
    const call = bench.submit(identity);
    bench.ask('cancelArrived', identity);
    assert.equal(bench.replyTo(call)?.code, 2006);
    const [{stream, append}] = bench.all('append');
    bench.handle({kind: 'appendAnswered', stream, append, answer: 'appended'});
    assert.deepEqual(startedTasks(bench), []);
  });
});

nodeTest.describe('retry', () => {
  nodeTest.test(
    'of an idempotent request that ran before never ends as not run',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const call = bench.submit(identity, 'inspection');
      const [name] = startedTasks(bench);
      bench.answerStart(name, 'started');
      bench.permitEnd = 0;
      bench.endTask(name, 'lapsed');
      bench.ask('cancelArrived', identity);
      assert.equal(bench.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test('of a failing request stops after three placements', () => {
    const bench = new deskBench.DeskBench();
    const call = bench.submit(undefined, 'inspection');
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const name = startedTasks(bench)[attempt];
      bench.answerStart(name, 'started');
      bench.endTask(name, 'failed');
    }
    assert.equal(bench.replyTo(call)?.code, 5001);
    assert.equal(startedTasks(bench).length, 3);
  });
});

nodeTest.describe('refusal', () => {
  nodeTest.test(
    'is final for its identity, so that an earlier submission that arrives ' +
      'later does not run what its client was told was not run',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      assert.equal(bench.replyTo(bench.submit(identity, 'none'))?.code, 1006);
      assert.equal(bench.replyTo(bench.submit(identity))?.code, 1012);
      assert.equal(startedTasks(bench).length, 0);
    },
  );

  nodeTest.test('of a submission that a cancellation overtook is final', () => {
    const bench = new deskBench.DeskBench();
    const identity = bench.reserve();
    const cancelled = bench.ask('cancelArrived', identity);
    assert.equal(bench.replyTo(cancelled)?.code, 2006);
    assert.equal(bench.replyTo(bench.submit(identity))?.code, 1012);
    assert.equal(startedTasks(bench).length, 0);
  });

  nodeTest.test(
    'is never told of an identity whose use may be on its way',
    () => {
      const bench = new deskBench.DeskBench();
      const identity = bench.reserve();
      const fetched = bench.ask('fetchArrived', identity);
      assert.equal(bench.replyTo(fetched)?.code, 4001);
      bench.submit(identity);
      assert.equal(startedTasks(bench).length, 1);
    },
  );
});

nodeTest.describe('shutdown', () => {
  nodeTest.test('refuses new requests and finishes what runs', () => {
    const bench = new deskBench.DeskBench();
    const identity = bench.reserve();
    const running = bench.submit(identity);
    const unused = bench.reserve();
    bench.handle({kind: 'drainArrived', call: bench.call()});
    assert.equal(bench.replyTo(bench.submit(unused))?.code, 3004);
    const [name] = startedTasks(bench);
    bench.answerStart(name, 'started');
    bench.endTask(name);
    assert.equal(bench.replyTo(running)?.code, 0);
    const again = bench.submit(identity);
    assert.equal(bench.replyTo(again)?.answer, 'done 0');
  });
});

nodeTest.describe('drain of a worker', () => {
  nodeTest.test(
    'is answered, so that the operator does not wait in vain',
    () => {
      const bench = new deskBench.DeskBench();
      const [known, unknown] = ['worker-1', 'worker-9'].map(worker => {
        const call = bench.call();
        bench.handle({kind: 'drainArrived', call, worker});
        return bench.replyTo(call);
      });
      assert.equal(known?.code, 0);
      assert.equal(unknown?.code, 1004);
    },
  );
});

nodeTest.describe('explanation', () => {
  nodeTest.test('says where a request is and why', () => {
    const bench = new deskBench.DeskBench('home', false);
    const identity = bench.reserve();
    bench.submit(identity);
    const call = bench.ask('explainArrived', identity);
    const content = bench.replyTo(call)?.content as Record<string, unknown>;
    assert.equal(content['state'], 'queued');
    assert.equal(content['reason'], '1 requests wait for room');
  });
});
