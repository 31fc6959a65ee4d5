import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as answerTimeout from '../../src/machines/answer_timeout.js';

const {describe, test} = nodeTest;

const USUAL_MS = answerTimeout.USUAL_ANSWER_TIMEOUT_MS;

describe('the timeout of an answer', () => {
  // Guards against a slow worker that no call waits long enough for.
  test('is longer for a few of the calls to a silent worker', () => {
    const timeout = new answerTimeout.AnswerTimeout();
    const longCalls = Array.from(
      {length: 25},
      (_unused, calls) => calls,
    ).filter(calls => timeout.next(calls) > USUAL_MS);
    assert.deepEqual(longCalls, [3, 10, 20]);
  });

  // Guards against a worker that is heard once and lost again at once.
  test('follows the time that answers take', () => {
    const timeout = new answerTimeout.AnswerTimeout();
    timeout.recordAnswer(500, 0);
    assert.ok(timeout.next(0) > 500);
    timeout.recordAnswer(900, 800);
    assert.ok(timeout.next(0) > 500, 'a wait says nothing');
    timeout.recordAnswer(100, 800);
    assert.equal(timeout.next(0), USUAL_MS);
  });
});
