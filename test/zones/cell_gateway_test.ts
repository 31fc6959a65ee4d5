import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as blockedLoop from '../support/blocked_loop.js';
import * as cellGateway from '../../src/zones/cell_gateway.js';
import * as clock from '../../src/machines/clock.js';
import * as httpClientSupport from '../support/http_client.js';
import * as jobCell from '../support/job_cell.js';
import * as leaderUnderTest from '../support/leader_under_test.js';
import * as responseTimer from '../../src/machines/response_timer.js';
import * as simulatedClock from '../support/simulated_clock.js';
import * as workerServers from '../support/worker_servers.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';

const {describe, test} = nodeTest;

type SubmitReply = cellPeers.LeaderCallOutcome<jobAdmission.SubmitOutcome>;

/** Creates the gateway of a member that is not the leader. */
function gatewayWith(
  clock: simulatedClock.SimulatedClock,
  submit: (address: string) => Promise<SubmitReply>,
  leaderAddress = 'leader:1',
): cellGateway.CellGateway {
  const localMember = {
    leader: {
      term: 1,
      node: 'one',
      incarnation: 'one-1',
      address: leaderAddress,
    },
    runsScheduler: false,
    leaderOverloaded: false,
    submit: () => undefined,
  } as unknown as cellGateway.LocalMember;
  const peers = {
    submit: (address: string) => submit(address),
  } as unknown as cellPeers.CellPeers;
  const counters = {count: () => {}, observe: () => {}};
  return new cellGateway.CellGateway(
    localMember,
    peers,
    clock,
    clock,
    clock,
    counters,
  );
}

interface Result {
  kind: string;
  value: jobAdmission.SubmitOutcome | undefined;
  settledAtMs: number;
}

async function submitAndWait(
  clock: simulatedClock.SimulatedClock,
  gateway: cellGateway.CellGateway,
): Promise<Result> {
  const result: Result = {kind: 'none', value: undefined, settledAtMs: 0};
  void gateway.submit(jobCell.jobOf('aa', {}), 1, 3_000).then(outcome => {
    result.kind = outcome.kind;
    if (outcome.kind === 'answered') result.value = outcome.value;
    result.settledAtMs = clock.now();
  });
  await clock.advance(5_000);
  return result;
}

describe('cell gateway', () => {
  // Guards against refusals during a failover, which takes about a second.
  test('waits for the next leader', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () =>
      clock.now() < 1_200
        ? {kind: 'notLeading'}
        : {kind: 'answered', value: {kind: 'accepted'}},
    );
    const outcome = await submitAndWait(clock, gateway);
    assert.equal(outcome.kind, 'answered');
    assert.ok(outcome.settledAtMs < 1_400);
  });

  // Guards against calls that are held until their deadline while no leader can
  // be reached.
  test('refuses after two seconds if no leader was reached', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () => ({kind: 'refused'}));
    const outcome = await submitAndWait(clock, gateway);
    assert.equal(outcome.kind, 'noScheduler');
    assert.ok(outcome.settledAtMs <= 2_200, `${outcome.settledAtMs}`);
  });

  // Guards against refusing a job that may have been accepted: an attempt that
  // got no answer can still take effect.
  test('does not refuse a call that may have arrived', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () => {
      await clock.delay(300);
      return clock.now() < 500
        ? {kind: 'unanswered', detail: 'lost'}
        : {kind: 'notLeading'};
    });
    const outcome = await submitAndWait(clock, gateway);
    assert.equal(outcome.kind, 'unknown');
    assert.ok(outcome.settledAtMs < 3_000, `${outcome.settledAtMs}`);
  });

  // Guards against telling the caller that a job never runs although its first
  // submission, which got no answer, may still be accepted.
  for (const reason of ['overloaded', 'storeSilent', 'unknownQueue'] as const) {
    test(`does not pass on a late refusal: ${reason}`, async () => {
      const clock = new simulatedClock.SimulatedClock();
      const gateway = gatewayWith(clock, async () =>
        clock.now() < 50
          ? {kind: 'unanswered', detail: 'lost'}
          : {
              kind: 'answered',
              value: {kind: 'refused', reason, retryAfterSeconds: 1},
            },
      );
      const result = await submitAndWait(clock, gateway);
      assert.equal(result.kind, 'unknown');
    });
  }

  // Guards against calls that are reported as unknown although the leader
  // confirmed them after an attempt that got no answer.
  test('passes on a late acceptance', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () =>
      clock.now() < 50
        ? {kind: 'unanswered', detail: 'lost'}
        : {kind: 'answered', value: {kind: 'accepted'}},
    );
    const result = await submitAndWait(clock, gateway);
    assert.deepEqual(result.value, {kind: 'accepted'});
  });

  const SILENT: jobAdmission.SubmitOutcome = {
    kind: 'refused',
    reason: 'storeSilent',
    retryAfterSeconds: 1,
  };

  // Guards against callers that use up their retries on refusals before the
  // store is back: it is silent for one second, and callers have three.
  test('retries a submission during a short silence of the store', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () => ({
      kind: 'answered',
      value: clock.now() < 1_000 ? SILENT : {kind: 'accepted'},
    }));
    const result = await submitAndWait(clock, gateway);
    assert.deepEqual(result.value, {kind: 'accepted'});
    assert.ok(result.settledAtMs < 1_300, `${result.settledAtMs}`);
  });

  // Guards against calls that are held during a silence of the store until the
  // caller has no time left for a retry.
  test('refuses with half the time left if the store is silent', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () => ({
      kind: 'answered',
      value: SILENT,
    }));
    const result = await submitAndWait(clock, gateway);
    assert.deepEqual(result.value, SILENT);
    assert.ok(
      result.settledAtMs > 1_000 && result.settledAtMs < 1_500,
      `${result.settledAtMs}`,
    );
  });

  // Guards against calls that are held although the store has been silent for
  // so long that waiting is useless.
  test('refuses at once if the store is lost', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(clock, async () => ({
      kind: 'answered',
      value: {...SILENT, reason: 'storeLost'},
    }));
    const result = await submitAndWait(clock, gateway);
    assert.equal(result.settledAtMs, 0);
  });

  // Guards against a leader that takes its own lag for silence of the store: the
  // submission is repeated, and its caller gets no answer in time.
  test('waits for an answer that its own late event loop left unread', async () => {
    const store = await workerServers.WorkerServers.start(1);
    const client = httpClientSupport.createHttpClient(1);
    const systemClock = new clock.SystemClock();
    const call = {
      purpose: 'test',
      method: 'POST',
      address: store.addresses[0],
      path: '/',
      body: {},
      timeoutMs: 3_000,
    } as const;
    let submissions = 0;
    const localMember = {
      submit: async () => {
        submissions += 1;
        await client.call(call);
        return {kind: 'accepted'};
      },
    } as unknown as cellGateway.LocalMember;
    const gateway = new cellGateway.CellGateway(
      localMember,
      {} as cellPeers.CellPeers,
      systemClock,
      {delay: milliseconds => timers.setTimeout(milliseconds)},
      new responseTimer.LoopTimer(systemClock),
      {count: () => {}, observe: () => {}},
    );
    await client.call(call);
    const submission = gateway.submit(
      jobCell.jobOf('aa', {}),
      1,
      systemClock.now() + 5_000,
    );
    blockedLoop.blockLoop(1_200);
    const outcome = await submission;
    client.close();
    await store.close();
    assert.deepEqual(outcome, {kind: 'answered', value: {kind: 'accepted'}});
    assert.equal(submissions, 1);
  });
});

describe('cell gateway with many callers', () => {
  // Guards against a new leader that gets the repeats of all waiting callers
  // while it reads the journal.
  test('sends few calls to a leader that does not serve yet', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () =>
      leader.clock.now() < 1_000
        ? {kind: 'notLeading'}
        : {kind: 'answered', value: {kind: 'accepted'}};
    const outcomes = await leader.submitMany(100, 5);
    assert.equal(outcomes.length, 100);
    assert.ok(outcomes.every(({kind}) => kind === 'answered'));
    const early = leader.submittedAtMs.filter(atMs => atMs < 1_000);
    assert.ok(early.length <= 20, `${early.length} calls in a second`);
    assert.ok(Math.max(...leader.submittedAtMs) < 1_250);
  });

  // Guards against a slow leader that becomes slower by the repeats of calls
  // that it is still working on.
  test('repeats few calls to a slow leader', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () => {
      await leader.clock.delay(1_500);
      return {kind: 'answered', value: {kind: 'accepted'}};
    };
    const outcomes = await leader.submitMany(100, 20);
    const answered = outcomes.filter(({kind}) => kind === 'answered');
    assert.ok(answered.length >= 95, `${answered.length} answered`);
    assert.ok(
      leader.submittedAtMs.length <= 110,
      `${leader.submittedAtMs.length} calls`,
    );
  });

  // Guards against timers that run until the callers' deadlines, long after the
  // calls were answered.
  test('starts no timer for calls that were answered', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.answer = async () => {
      await leader.clock.delay(400);
      return {kind: 'answered', value: {kind: 'accepted'}};
    };
    const submissions = [1, 2, 3].map(index =>
      leader.submit(`job-${index}`, 30_000),
    );
    await leader.clock.advance(400);
    const outcomes = await Promise.all(submissions);
    assert.ok(outcomes.every(({kind}) => kind === 'answered'));
    const {delayCount} = leader;
    assert.ok(delayCount > 0);
    await leader.clock.advance(30_000);
    assert.equal(leader.delayCount - delayCount, 0);
  });
});

describe('cell gateway of an overloaded leader', () => {
  const REFUSED: jobAdmission.SubmitRefused = {
    kind: 'refused',
    reason: 'overloaded',
    retryAfterSeconds: 4,
  };

  // Guards against refusals that cost the leader as much as submissions.
  test('asks for many jobs in few calls and submits the others', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.overloaded = true;
    leader.screen = id => ({
      refusal: id === 'job-7' ? undefined : REFUSED,
    });
    const outcomes = await leader.submitMany(100, 5);
    assert.equal(leader.submittedAtMs.length, 1);
    assert.ok(leader.screened.length <= 12, `${leader.screened.length} calls`);
    const refused = outcomes.filter(
      outcome => outcome.kind === 'answered' && outcome.value === REFUSED,
    );
    assert.equal(refused.length, 99);
  });

  // Guards against a refusal that nobody but the leader could know to be true.
  test('submits jobs when the leader does not answer', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.overloaded = true;
    leader.screen = () => {
      throw new Error('unused');
    };
    const silent = leader as unknown as {
      receiveScreening: () => cellPeers.LeaderCallOutcome<never>;
    };
    silent.receiveScreening = () => ({kind: 'unanswered', detail: 'lost'});
    const outcomes = await leader.submitMany(10, 5);
    assert.equal(leader.submittedAtMs.length, 10);
    assert.ok(outcomes.every(({kind}) => kind === 'answered'));
  });

  // Guards against fronts that refuse although the leader has recovered.
  test('submits at once when the leader is not overloaded', async () => {
    const leader = new leaderUnderTest.LeaderUnderTest();
    leader.screen = () => ({refusal: REFUSED});
    await leader.submitMany(10, 5);
    assert.equal(leader.screened.length, 0);
    assert.equal(leader.submittedAtMs.length, 10);
  });
});
