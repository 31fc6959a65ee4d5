import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as adviceBalancer from '../../src/jobs/advice_balancer.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';

const {describe, test} = nodeTest;

const ENDPOINTS = ['a', 'b', 'c', 'd'].map(address => ({address}));
const LONG_MS = 700;
const SHORT_MS = 50;

function createBalancer(
  time: simulatedClock.SimulatedClock,
  asked: string[],
  answer: (address: string) => adviceCache.AdviceOutcome = () => ({
    kind: 'advised',
    tickets: [],
  }),
): adviceBalancer.AdviceBalancer {
  return new adviceBalancer.AdviceBalancer(
    () => ENDPOINTS,
    async (address, step) => {
      asked.push(`${address}:${step}`);
      await time.delay(step === 'short' ? SHORT_MS : LONG_MS);
      return answer(String(address));
    },
    time,
  );
}

describe('the advice balancer', () => {
  // Load: more long calls than the service can handle. Guards against short
  // calls that queue behind them.
  test('reserves an endpoint for short calls', async () => {
    const time = new simulatedClock.SimulatedClock();
    const asked: string[] = [];
    const balancer = createBalancer(time, asked);
    const outcomes: string[] = [];
    for (let index = 0; index < 12; index += 1) {
      void balancer
        .ask('long', [], LONG_MS)
        .then(({kind}) => outcomes.push(kind));
    }
    void balancer.ask('short', [], SHORT_MS);
    await time.advance(10);
    assert.equal(asked.filter(call => call.endsWith('long')).length, 3);
    assert.ok(asked.includes('a:short'));
    assert.equal(outcomes.filter(kind => kind === 'busy').length, 9);
  });

  // Load: back-to-back long calls. Guards against a service that is idle for a
  // round trip between an answer and the next call.
  test('sends the next call shortly before an endpoint is idle', async () => {
    const time = new simulatedClock.SimulatedClock();
    const balancer = createBalancer(time, []);
    for (let index = 0; index < 3; index += 1) {
      void balancer.ask('long', [], LONG_MS);
    }
    await time.advance(LONG_MS - 200);
    assert.equal(balancer.accepts(LONG_MS), false);
    await time.advance(150);
    assert.equal(balancer.accepts(LONG_MS), true);
  });

  // Guards against sending all calls to a VM that can't reach the service:
  // after its calls have failed it looks idle.
  test('skips an endpoint that did not answer', async () => {
    const time = new simulatedClock.SimulatedClock();
    const asked: string[] = [];
    const balancer = createBalancer(time, asked, address =>
      address === 'a'
        ? {kind: 'unanswered', detail: 'lost'}
        : {kind: 'advised', tickets: []},
    );
    for (let index = 0; index < 6; index += 1) {
      void balancer.ask('short', [], SHORT_MS);
      await time.advance(100);
    }
    assert.equal(asked.filter(call => call.startsWith('a:')).length, 1);
  });
});
