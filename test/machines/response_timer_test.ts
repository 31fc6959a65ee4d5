import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as blockedLoop from '../support/blocked_loop.js';
import * as clock from '../../src/machines/clock.js';
import * as responseTimer from '../../src/machines/response_timer.js';

const {describe, test} = nodeTest;

/** Time by which a timeout may be late on a loaded machine. */
const MAXIMUM_DELAY_MS = 500;

const systemClock = new clock.SystemClock();

function createTimer(): responseTimer.LoopTimer {
  return new responseTimer.LoopTimer(systemClock);
}

/** Resolves with the time after which the timeout took effect. */
function timeoutAfter(
  timer: responseTimer.ResponseTimer,
  timeoutMs: number,
): Promise<number> {
  const startedAt = systemClock.now();
  return new Promise(resolve => {
    timer.start(timeoutMs, () => resolve(systemClock.now() - startedAt));
  });
}

describe('loop timer', () => {
  // Guards against silent peers that are found late by a process that is not
  // late itself.
  test('times out at the stated time on an idle loop', async () => {
    const timer = createTimer();
    const elapsedMs = await Promise.all(
      [0, 3, 40, 250].map(timeoutMs => timeoutAfter(timer, timeoutMs)),
    );
    [0, 3, 40, 250].forEach((timeoutMs, index) => {
      assert.ok(elapsedMs[index] >= timeoutMs - 1, `${elapsedMs[index]}`);
      const limitMs = timeoutMs + MAXIMUM_DELAY_MS;
      assert.ok(elapsedMs[index] < limitMs, `${elapsedMs[index]}`);
    });
  });

  // Guards against a call that is given up in the first turns after a long one,
  // before its connection was opened and its request was sent.
  test('counts only a part of a long turn', async () => {
    const timer = createTimer();
    const timedOut = timeoutAfter(timer, 200);
    blockedLoop.blockLoop(500);
    const elapsedMs = await timedOut;
    assert.ok(elapsedMs >= 500 + 95, `${elapsedMs}`);
  });

  // Guards against a call that is given up before its connection was opened, its
  // request sent and its response read, each in a long turn of its own.
  test('leaves a call more than three long turns', async () => {
    const timer = createTimer();
    let isTimedOut = false;
    timer.start(250, () => (isTimedOut = true));
    for (let turn = 0; turn < 3; turn += 1) {
      blockedLoop.blockLoop(400);
      await timers.setTimeout(1);
      assert.equal(isTimedOut, false, `turn ${turn}`);
    }
  });

  // Guards against a worker that stops getting leases for longer than they last,
  // because a single lost answer is noticed late by a slightly late loop.
  test('stretches no timeout beyond double the length of its turns', async () => {
    const timer = createTimer();
    let isTimedOut = false;
    const startedAt = systemClock.now();
    timer.start(1_150, () => (isTimedOut = true));
    let turnCount = 0;
    while (!isTimedOut) {
      blockedLoop.blockLoop(150);
      await timers.setTimeout(1);
      turnCount += 1;
    }
    const elapsedMs = systemClock.now() - startedAt;
    assert.ok(turnCount <= 15, `${turnCount} turns, ${elapsedMs} ms`);
  });

  // Guards against a call that is judged by time that passed before it began.
  test('counts no earlier part of the turn that started a call', async () => {
    const timer = createTimer();
    timer.start(1_000, () => {}).cancel();
    blockedLoop.blockLoop(300);
    const elapsedMs = await timeoutAfter(timer, 100);
    assert.ok(elapsedMs >= 99, `${elapsedMs}`);
  });

  test('does not time out after it was cancelled', async () => {
    const timer = createTimer();
    const timeout = timer.start(20, () => assert.fail('timed out'));
    // Another callback of the same check cancels the timeout.
    timer.start(20, () => last.cancel());
    const last = timer.start(20, () => assert.fail('timed out'));
    assert.ok(!timeout.isOverdue);
    timeout.cancel();
    await timers.setTimeout(100);
    assert.ok(timeout.isOverdue);
  });

  // Guards against a process that wakes up for no calls.
  test('schedules nothing while no call is in progress', async () => {
    const activeTimers = (): number =>
      process.getActiveResourcesInfo().filter(name => name === 'Timeout')
        .length;
    const before = activeTimers();
    const timer = createTimer();
    const timeout = timer.start(60_000, () => {});
    assert.equal(activeTimers(), before + 1);
    timeout.cancel();
    await timers.setTimeout(300);
    assert.equal(activeTimers(), before);
  });
});
