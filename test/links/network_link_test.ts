import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as networkLink from '../../src/links/network_link.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as simulatedClock from '../support/simulated_clock.js';

const {describe, test} = nodeTest;

const BYTES_PER_SECOND = 250_000;

describe('network link', () => {
  // Guards against starts that are sent faster than the link carries them.
  test('knows when it will have carried what was sent', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const link = new networkLink.NetworkLink(
      clock,
      BYTES_PER_SECOND,
      {event: () => {}},
      new recordedCounters.RecordedCounters(),
    );
    assert.equal(link.sendDelayMs, 0);
    link.recordSent('start', 50_000);
    assert.equal(link.sendDelayMs, 200);
    link.recordSent('start', 25_000);
    assert.equal(link.sendDelayMs, 300);
    await clock.advance(250);
    assert.equal(link.sendDelayMs, 50);
    await clock.advance(1_000);
    link.recordSent('start', 25_000);
    assert.equal(link.sendDelayMs, 100);
  });

  // Guards against a full link that an operator can't tell from slow peers.
  test('logs its use once a second while it is busy', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const lines: unknown[] = [];
    const counters = new recordedCounters.RecordedCounters();
    const link = new networkLink.NetworkLink(
      clock,
      BYTES_PER_SECOND,
      {event: (_level, name, fields) => lines.push([name, fields])},
      counters,
    );
    link.recordSent('start', 225_000);
    link.recordReceived('renewal', 50_000);
    for (let tick = 0; tick < 20; tick += 1) {
      await clock.advance(100);
      link.tick();
    }
    const fields = {sentShare: 0.9, receivedShare: 0.2, sendDelayMs: 0};
    assert.deepEqual(lines, [['linkBusy', fields]]);
    assert.deepEqual(counters.reasons('bytes_sent'), ['start']);
    assert.deepEqual(counters.reasons('bytes_received'), ['renewal']);
  });
});
