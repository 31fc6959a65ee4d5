import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as coordinatorHarness from '../support/coordinator_harness.js';
import * as journalBackend from '../../src/contracts/journal_backend.js';

function recordedKinds(
  harness: coordinatorHarness.CoordinatorHarness,
): ReadonlyArray<string> {
  return harness
    .effectsOfKind('append')
    .flatMap(append => append.records)
    .map(text => journalBackend.decodeRecord(text)?.entry.kind ?? 'none');
}

function startedTasks(
  harness: coordinatorHarness.CoordinatorHarness,
): ReadonlyArray<string> {
  return harness.effectsOfKind('startTask').map(sent => sent.start.task);
}

nodeTest.describe('start of a non-idempotent request', () => {
  nodeTest.test(
    'is not sent before its record is acknowledged; guards against a start ' +
      'that a successor does not know',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      harness.logAcknowledges = false;
      harness.submit(identity);
      assert.deepEqual(recordedKinds(harness), ['starting']);
      assert.deepEqual(startedTasks(harness), []);
      const [{stream, append}] = harness.effectsOfKind('append');
      const answer = 'appended';
      harness.handle({kind: 'appendAnswered', stream, append, answer});
      assert.equal(startedTasks(harness).length, 1);
    },
  );

  nodeTest.test(
    'is placed again if the permit ends before the acknowledgement',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      harness.logAcknowledges = false;
      harness.submit(identity);
      harness.now = 4_500;
      const [{stream, append}] = harness.effectsOfKind('append');
      const answer = 'appended';
      harness.handle({kind: 'appendAnswered', stream, append, answer});
      assert.deepEqual(startedTasks(harness), []);
      harness.permitEnd = 9_000;
      harness.logAcknowledges = true;
      harness.report();
      harness.advanceTime(100);
      assert.equal(startedTasks(harness).length, 1);
      assert.deepEqual(recordedKinds(harness), ['starting', 'starting']);
    },
  );

  nodeTest.test(
    'is refused with 3003 if neither the log nor a witness records it',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      harness.logAcknowledges = false;
      const call = harness.submit(identity);
      const [{stream, append}] = harness.effectsOfKind('append');
      harness.handle({kind: 'appendAnswered', stream, append, answer: 'lost'});
      harness.handle({kind: 'readFailed', stream});
      harness.advanceTime(10);
      assert.equal(harness.replyTo(call)?.code, 3003);
      assert.deepEqual(startedTasks(harness), []);
      const next = harness.submit(harness.reserve());
      assert.equal(harness.replyTo(next)?.code, 3003);
    },
  );
});

nodeTest.describe('answer to a client', () => {
  nodeTest.test(
    'goes to every call of the client that submitted, and to no other client',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      const first = harness.submit(identity);
      const second = harness.submit(identity);
      const foreign = harness.submit(identity, 'order', 'bob');
      assert.equal(harness.replyTo(foreign)?.code, 1008);
      const [name] = startedTasks(harness);
      harness.answerStart(name, 'started');
      harness.endTask(name);
      assert.equal(harness.replyTo(first)?.answer, 'done 0');
      assert.equal(harness.replyTo(second)?.answer, 'done 0');
      assert.equal(startedTasks(harness).length, 1);
      const late = harness.callAbout('fetchArrived', identity, 'bob');
      assert.equal(harness.replyTo(late)?.code, 1008);
    },
  );

  nodeTest.test(
    'is a refusal by a home that has not joined; guards against a request ' +
      'whose outcome no successor could recover',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      harness.hasJoined = false;
      assert.equal(harness.reserve(), '');
      assert.equal(
        harness.replyTo(harness.submit(undefined, 'inspection'))?.code,
        3002,
      );
    },
  );

  nodeTest.test('is refused if the identity belongs to another client', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const call = harness.submit(harness.reserve('bob'), 'order', 'alice');
    assert.equal(harness.replyTo(call)?.code, 1008);
    assert.deepEqual(startedTasks(harness), []);
  });

  nodeTest.test('joins the answers of several tasks in task order', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const call = harness.submit(harness.reserve(), 'pair');
    const [first, second] = startedTasks(harness);
    for (const name of [first, second]) harness.answerStart(name, 'started');
    harness.endTask(second);
    assert.equal(harness.replyTo(call), undefined);
    harness.endTask(first);
    assert.equal(harness.replyTo(call)?.answer, '["done 0","done 1"]');
  });
});

nodeTest.describe('request with several tasks', () => {
  nodeTest.test(
    'stops its other tasks if one does not start, and does not end as not run',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const call = harness.submit(harness.reserve(), 'pair');
      const [first, second] = startedTasks(harness);
      harness.answerStart(first, 'started');
      harness.answerStart(second, 'refused');
      assert.deepEqual(
        harness.effectsOfKind('stopTask').map(stop => stop.task),
        [first],
      );
      harness.endTask(first, 'stopped');
      assert.equal(harness.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test('is placed again as a whole when no task ran', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    harness.submit(harness.reserve(), 'pair');
    for (const name of startedTasks(harness)) {
      harness.answerStart(name, 'refused');
    }
    harness.advanceTime(10);
    assert.equal(startedTasks(harness).length, 4);
  });
});

nodeTest.describe('cancellation', () => {
  nodeTest.test(
    'during the start of a task does not end as not run if the task ran',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      const call = harness.submit(identity);
      harness.callAbout('cancelArrived', identity);
      assert.equal(harness.replyTo(call), undefined);
      const [name] = startedTasks(harness);
      harness.answerStart(name, 'started');
      assert.equal(harness.effectsOfKind('stopTask').length, 1);
      harness.endTask(name, 'stopped');
      assert.equal(harness.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test(
    'ends the request without another start if the first start did not run',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      const call = harness.submit(identity);
      harness.callAbout('cancelArrived', identity);
      harness.answerStart(startedTasks(harness)[0], 'refused');
      assert.equal(harness.replyTo(call)?.code, 2006);
      harness.advanceTime(100);
      assert.equal(startedTasks(harness).length, 1);
    },
  );

  nodeTest.test('of a running idempotent request prevents its retry', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const identity = harness.reserve();
    const call = harness.submit(identity, 'inspection');
    const [name] = startedTasks(harness);
    harness.answerStart(name, 'started');
    harness.callAbout('cancelArrived', identity);
    harness.endTask(name, 'stopped');
    assert.equal(harness.replyTo(call)?.code, 5002);
    assert.equal(startedTasks(harness).length, 1);
  });

  nodeTest.test('before the record is acknowledged sends no start', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const identity = harness.reserve();
    harness.logAcknowledges = false;
    const call = harness.submit(identity);
    harness.callAbout('cancelArrived', identity);
    assert.equal(harness.replyTo(call)?.code, 2006);
    const [{stream, append}] = harness.effectsOfKind('append');
    harness.handle({
      kind: 'appendAnswered',
      stream,
      append,
      answer: 'appended',
    });
    assert.deepEqual(startedTasks(harness), []);
  });
});

nodeTest.describe('retry', () => {
  nodeTest.test(
    'of an idempotent request that has run before does not end as not run',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      const call = harness.submit(identity, 'inspection');
      const [name] = startedTasks(harness);
      harness.answerStart(name, 'started');
      harness.permitEnd = 0;
      harness.endTask(name, 'lapsed');
      harness.callAbout('cancelArrived', identity);
      assert.equal(harness.replyTo(call)?.code, 5002);
    },
  );

  nodeTest.test('of a failing request ends after three placements', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const call = harness.submit(undefined, 'inspection');
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const name = startedTasks(harness)[attempt];
      harness.answerStart(name, 'started');
      harness.endTask(name, 'failed');
    }
    assert.equal(harness.replyTo(call)?.code, 5001);
    assert.equal(startedTasks(harness).length, 3);
  });
});

nodeTest.describe('refusal', () => {
  nodeTest.test(
    'is final for its identity: guards against a late submission that runs ' +
      'after the client was told "not run"',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      assert.equal(
        harness.replyTo(harness.submit(identity, 'none'))?.code,
        1006,
      );
      assert.equal(harness.replyTo(harness.submit(identity))?.code, 1012);
      assert.equal(startedTasks(harness).length, 0);
    },
  );

  nodeTest.test('applies to a submission that arrives after its cancel', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const identity = harness.reserve();
    const cancelled = harness.callAbout('cancelArrived', identity);
    assert.equal(harness.replyTo(cancelled)?.code, 2006);
    assert.equal(harness.replyTo(harness.submit(identity))?.code, 1012);
    assert.equal(startedTasks(harness).length, 0);
  });

  nodeTest.test(
    'is not reported for an unused identity: its submission may be in transit',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const identity = harness.reserve();
      const fetched = harness.callAbout('fetchArrived', identity);
      assert.equal(harness.replyTo(fetched)?.code, 4001);
      harness.submit(identity);
      assert.equal(startedTasks(harness).length, 1);
    },
  );
});

nodeTest.describe('shutdown', () => {
  nodeTest.test('refuses new requests and lets running ones finish', () => {
    const harness = new coordinatorHarness.CoordinatorHarness();
    const identity = harness.reserve();
    const running = harness.submit(identity);
    const unused = harness.reserve();
    harness.handle({kind: 'drainArrived', call: harness.nextCallNumber()});
    assert.equal(harness.replyTo(harness.submit(unused))?.code, 3004);
    const [name] = startedTasks(harness);
    harness.answerStart(name, 'started');
    harness.endTask(name);
    assert.equal(harness.replyTo(running)?.code, 0);
    const again = harness.submit(identity);
    assert.equal(harness.replyTo(again)?.answer, 'done 0');
  });
});

nodeTest.describe('drain of a worker', () => {
  nodeTest.test(
    'is answered, and an unknown worker is refused; guards against a time-out',
    () => {
      const harness = new coordinatorHarness.CoordinatorHarness();
      const [known, unknown] = ['worker-1', 'worker-9'].map(worker => {
        const call = harness.nextCallNumber();
        harness.handle({kind: 'drainArrived', call, worker});
        return harness.replyTo(call);
      });
      assert.equal(known?.code, 0);
      assert.equal(unknown?.code, 1004);
    },
  );
});

nodeTest.describe('explanation', () => {
  nodeTest.test('contains the state of a request and its reason', () => {
    const harness = new coordinatorHarness.CoordinatorHarness('home', false);
    const identity = harness.reserve();
    harness.submit(identity);
    const call = harness.callAbout('explainArrived', identity);
    const content = harness.replyTo(call)?.content as Record<string, unknown>;
    assert.equal(content['state'], 'queued');
    assert.equal(content['reason'], '1 requests wait for free capacity');
  });
});
