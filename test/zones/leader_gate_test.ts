import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as leaderUnderTest from '../support/leader_under_test.js';
import type * as cellGateway from '../../src/zones/cell_gateway.js';

const {describe, test} = nodeTest;

const CALL_TIME_MS = 2_000;
const CALLS_PER_SECOND = 30;
const INTERVAL_MS = 1_000 / CALLS_PER_SECOND;

describe('leader gate', () => {
  // Guards against calls that all leave without a probe, so that the front
  // never notices that the leader serves again.
  test('notices a leader that serves after many calls timed out', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () =>
      leader.clock.now() < 4_000
        ? {kind: 'notLeading'}
        : {kind: 'answered', value: {kind: 'accepted'}};
    const outcomes = await leader.submitMany(
      8 * CALLS_PER_SECOND,
      INTERVAL_MS,
      CALL_TIME_MS,
    );
    assert.equal(outcomes.length, 8 * CALLS_PER_SECOND);
    const answered = outcomes.filter(({kind}) => kind === 'answered');
    // All calls of the last four seconds, and most of the two before them.
    assert.ok(answered.length >= 160, `${answered.length} answered`);
    const early = leader.submittedAtMs.filter(atMs => atMs < 4_000);
    assert.ok(
      early.length >= 60 && early.length <= 68,
      `${early.length} probes in four seconds`,
    );
  });

  // Guards against calls that wait for a leader until their deadline.
  test('ends the wait of all calls after two seconds', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () => ({kind: 'notLeading'});
    const waitsMs: number[] = [];
    const count = async (index: number): Promise<void> => {
      const startedAt = leader.clock.now();
      const outcome = await leader.submit(`job-${index}`, 10_000);
      assert.equal(outcome.kind, 'noScheduler');
      waitsMs.push(leader.clock.now() - startedAt);
    };
    for (let index = 0; index < 100; index += 1) {
      void count(index);
      await leader.clock.advance(INTERVAL_MS);
    }
    await leader.clock.advance(12_000);
    assert.equal(waitsMs.length, 100);
    const longestMs = Math.max(...waitsMs);
    assert.ok(longestMs <= 2_100, `${longestMs} ms`);
  });

  // Guards against calls that wait for a leader although the scheduler of their
  // own process serves them.
  test('lets calls pass once the local scheduler serves', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () => ({kind: 'notLeading'});
    const outcomes: Array<cellGateway.GatewayOutcome<unknown>> = [];
    const submit = async (id: string): Promise<void> => {
      outcomes.push(await leader.submit(id, CALL_TIME_MS));
    };
    for (let index = 0; index < 20; index += 1) void submit(`job-${index}`);
    await leader.clock.advance(1_010);
    assert.equal(outcomes.length, 0);
    leader.servesLocally = true;
    void submit('late');
    await leader.clock.advance(0);
    assert.equal(outcomes.length, 21);
  });
});
