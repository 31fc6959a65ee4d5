import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as faultGuard from '../../src/operations/fault_guard.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as simulatedClock from '../support/simulated_clock.js';

const {describe, test} = nodeTest;

class GuardedProcess {
  readonly clock = new simulatedClock.SimulatedClock();
  readonly counters = new recordedCounters.RecordedCounters();
  readonly events: string[] = [];
  readonly guard = new faultGuard.FaultGuard({
    clock: this.clock,
    counters: this.counters,
    log: {event: (level, name) => this.events.push(`${level} ${name}`)},
    recover: () => this.events.push('recovered'),
    exit: () => this.events.push('exited'),
  });
}

describe('fault guard', () => {
  // Guards against one unexpected error that ends a process with all the
  // requests that it serves.
  test('logs an error, counts it and goes on with fresh state', () => {
    const {guard, events, counters} = new GuardedProcess();
    guard.handle(new Error('unexpected'));
    assert.deepEqual(events, ['error turnFailed', 'recovered']);
    assert.equal(counters.get('turn_failed', 'unhandled'), 1);
  });

  // Guards against a process that fails at each turn and is never started anew.
  test('exits after many errors in a short time', async () => {
    const {guard, events, clock} = new GuardedProcess();
    for (let fault = 0; fault < 9; fault += 1) guard.handle('fault');
    assert.ok(!events.includes('exited'));
    guard.handle('fault');
    assert.equal(events.at(-1), 'exited');
    await clock.advance(10_000);
    guard.handle('fault');
    assert.equal(events.at(-1), 'recovered');
  });
});
