import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as upstream from '../../src/machines/upstream.js';

function answerAll(
  called: upstream.Upstream,
  latencyMs: number,
  now: number,
): void {
  const calls = called.limit;
  for (let call = 0; call < calls; call += 1) called.onSend();
  for (let call = 0; call < calls; call += 1) called.onAnswer(latencyMs, now);
}

nodeTest.describe('adaptive limit', () => {
  // Guards against a limit that stays low although the upstream answers fast.
  nodeTest.test('grows to the connection limit while answers are fast', () => {
    const called = new upstream.Upstream();
    for (let round = 0; round < 200; round += 1) answerAll(called, 5, round);
    assert.equal(called.limit, 60);
  });

  // Guards against a limit that rises although no load has shown that the
  // upstream can handle it.
  nodeTest.test('does not grow while few calls are in flight', () => {
    const called = new upstream.Upstream();
    const before = called.limit;
    for (let round = 0; round < 200; round += 1) {
      called.onSend();
      called.onAnswer(5, round);
    }
    assert.equal(called.limit, before);
  });

  // Guards against a limit that collapses because many answers are lost at
  // once, and against a limit of 0, under which it could never recover.
  nodeTest.test('shrinks once a second on lost answers, not below 1', () => {
    const called = new upstream.Upstream();
    const before = called.limit;
    for (let call = 0; call < 10; call += 1) called.onLoss(0);
    assert.equal(called.limit, Math.floor(before * 0.7));
    for (let round = 1; round < 50; round += 1) called.onLoss(round * 1_000);
    assert.equal(called.limit, 1);
    assert.ok(called.acceptsCalls);
  });

  // Guards against an overload that is noticed only when calls time out.
  nodeTest.test('shrinks on slow answers before calls are lost', () => {
    const called = new upstream.Upstream();
    answerAll(called, 10, 0);
    const before = called.limit;
    called.onSend();
    called.onAnswer(500, 5_000);
    assert.ok(called.limit < before);
  });

  // Guards against an upstream that counts as silent because of single losses.
  nodeTest.test('consecutive losses without an answer count as silence', () => {
    const called = new upstream.Upstream();
    called.onLoss(0);
    called.onLoss(1);
    called.onSend();
    called.onAnswer(5, 2);
    called.onLoss(3);
    assert.equal(called.isSilent, false);
    called.onLoss(4);
    called.onLoss(5);
    assert.equal(called.isSilent, true);
  });
});
