import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as adviceBalancer from '../../src/jobs/advice_balancer.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';

const {describe, test} = nodeTest;

const SITES = ['a', 'b', 'c', 'd'].map(address => ({address}));
const LONG_MS = 700;
const SHORT_MS = 50;

function spreadOver(
  time: simulatedClock.SimulatedClock,
  asked: string[],
  answer: (address: string) => adviceCache.AdviceOutcome = () => ({
    kind: 'advised',
    tickets: [],
  }),
): adviceBalancer.AdviceBalancer {
  return new adviceBalancer.AdviceBalancer(
    () => SITES,
    async (address, step) => {
      asked.push(`${address}:${step}`);
      await time.pause(step === 'short' ? SHORT_MS : LONG_MS);
      return answer(String(address));
    },
    time,
  );
}

describe('calls for advice', () => {
  // The load pattern: more long calls than the service can take. Guards against
  // short calls that wait behind them.
  test('keep a site free for short ones', async () => {
    const time = new simulatedClock.SimulatedClock();
    const asked: string[] = [];
    const spread = spreadOver(time, asked);
    const outcomes: string[] = [];
    for (let index = 0; index < 12; index += 1) {
      void spread
        .ask('long', [], LONG_MS)
        .then(({kind}) => outcomes.push(kind));
    }
    void spread.ask('short', [], SHORT_MS);
    await time.advance(10);
    assert.equal(asked.filter(call => call.endsWith('long')).length, 3);
    assert.ok(asked.includes('a:short'));
    assert.equal(outcomes.filter(kind => kind === 'busy').length, 9);
  });

  // The load pattern: long calls without a pause. Guards against a service that
  // stands idle while an answer and the next call are on their way.
  test('follow each other without a gap', async () => {
    const time = new simulatedClock.SimulatedClock();
    const spread = spreadOver(time, []);
    for (let index = 0; index < 3; index += 1) {
      void spread.ask('long', [], LONG_MS);
    }
    await time.advance(LONG_MS - 200);
    assert.equal(spread.accepts(LONG_MS), false);
    await time.advance(150);
    assert.equal(spread.accepts(LONG_MS), true);
  });

  // Guards against a VM that can't reach the service taking all calls.
  test('leave out a site that gave no answer', async () => {
    const time = new simulatedClock.SimulatedClock();
    const asked: string[] = [];
    const spread = spreadOver(time, asked, address =>
      address === 'a'
        ? {kind: 'unanswered', detail: 'lost'}
        : {kind: 'advised', tickets: []},
    );
    for (let index = 0; index < 6; index += 1) {
      void spread.ask('short', [], SHORT_MS);
      await time.advance(100);
    }
    assert.equal(asked.filter(call => call.startsWith('a:')).length, 1);
  });
});
