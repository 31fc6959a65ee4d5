import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as passPacer from '../../src/jobs/pass_pacer.js';
import * as simulatedClock from '../support/simulated_clock.js';

const {describe, test} = nodeTest;

const EVENT_INTERVAL_MS = 1;

/** Returns for how long passes run that events ask for all the time. */
async function passTimeMs(
  passMs: number,
  durationMs: number,
): Promise<{readonly totalMs: number; readonly longestWaitMs: number}> {
  const clock = new simulatedClock.SimulatedClock();
  const pacer = new passPacer.PassPacer(clock);
  let totalMs = 0;
  let longestWaitMs = 0;
  let lastPassAt = 0;
  while (clock.now() < durationMs) {
    if (pacer.pauseMs === 0) {
      longestWaitMs = Math.max(longestWaitMs, clock.now() - lastPassAt);
      await clock.advance(passMs);
      pacer.recordPass(passMs);
      totalMs += passMs;
      lastPassAt = clock.now();
    }
    await clock.advance(EVENT_INTERVAL_MS);
  }
  return {totalMs, longestWaitMs};
}

describe('pass pacer', () => {
  // Load: a report or a ticket in each millisecond of a large cell. Guards
  // against a loop that is busy with passes over steps for which little changed.
  test('each event caused a placement pass: leaves most of the loop to other work', async () => {
    const {totalMs, longestWaitMs} = await passTimeMs(2, 1_000);
    assert.ok(totalMs <= 110, `${totalMs} ms of passes in a second`);
    assert.ok(longestWaitMs <= 21, `waited ${longestWaitMs} ms`);
  });

  // Guards against a task that waits because a long pass came before it.
  test('bounds the pause after a long pass', async () => {
    const {longestWaitMs} = await passTimeMs(50, 1_000);
    assert.ok(longestWaitMs <= 21, `waited ${longestWaitMs} ms`);
  });

  // Guards against a delay of the first task after a quiet time.
  test('lets a pass begin at once when the last one is long over', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const pacer = new passPacer.PassPacer(clock);
    assert.equal(pacer.pauseMs, 0);
    pacer.recordPass(5);
    assert.equal(pacer.pauseMs, 20);
    await clock.advance(20);
    assert.equal(pacer.pauseMs, 0);
  });
});
