import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellGateway from '../../src/zones/cell_gateway.js';
import * as jobCell from '../support/job_cell.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';

const {describe, test} = nodeTest;

type Answer = cellPeers.LeaderCallOutcome<jobAdmission.SubmitOutcome>;

/** A member that leads nothing and passes calls on to one that does. */
function gatewayWith(
  time: simulatedClock.SimulatedClock,
  submit: (address: string) => Promise<Answer>,
  leader = 'leader:1',
): cellGateway.CellGateway {
  const cell = {
    leader: {term: 1, node: 'one', incarnation: 'one-1', address: leader},
    runsScheduler: false,
    submit: () => undefined,
  } as unknown as cellGateway.LocalMember;
  const peers = {
    submit: (address: string) => submit(address),
  } as unknown as cellPeers.CellPeers;
  const counters = {count: () => {}, observe: () => {}};
  return new cellGateway.CellGateway(cell, peers, time, time, counters);
}

interface Result {
  kind: string;
  value: jobAdmission.SubmitOutcome | undefined;
  at: number;
}

async function resultOf(
  time: simulatedClock.SimulatedClock,
  gateway: cellGateway.CellGateway,
): Promise<Result> {
  const result: Result = {kind: 'none', value: undefined, at: 0};
  void gateway.submit(jobCell.jobOf('aa', {}), 1, 3_000).then(outcome => {
    result.kind = outcome.kind;
    if (outcome.kind === 'answered') result.value = outcome.value;
    result.at = time.now();
  });
  await time.advance(5_000);
  return result;
}

describe('a call that only the scheduler can answer', () => {
  // Guards against refusals during a succession that is over in a second.
  test('waits for the next scheduler', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () =>
      time.now() < 1_200
        ? {kind: 'notLeading'}
        : {kind: 'answered', value: {kind: 'accepted'}},
    );
    const outcome = await resultOf(time, gateway);
    assert.equal(outcome.kind, 'answered');
    assert.ok(outcome.at < 1_400);
  });

  // Guards against callers that are held until their deadline in vain.
  test('is refused after two seconds when it reached nobody', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () => ({kind: 'refused'}));
    const outcome = await resultOf(time, gateway);
    assert.equal(outcome.kind, 'noScheduler');
    assert.ok(outcome.at <= 2_200, `${outcome.at}`);
  });

  // Guards against "not accepted" for a job that may be accepted.
  test('is never refused once it may have arrived', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () => {
      await time.pause(300);
      return time.now() < 500
        ? {kind: 'unanswered', detail: 'lost'}
        : {kind: 'notLeading'};
    });
    const outcome = await resultOf(time, gateway);
    assert.equal(outcome.kind, 'unknown');
    assert.ok(outcome.at < 3_000, `${outcome.at}`);
  });

  const SILENT: jobAdmission.SubmitOutcome = {
    kind: 'refused',
    reason: 'storeSilent',
    retryAfterSeconds: 1,
  };

  // The load pattern: the store is silent for a second and callers have three.
  // Guards against refusals that use up their tries before it is back.
  test('waits out a short silence of the store', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () => ({
      kind: 'answered',
      value: time.now() < 1_000 ? SILENT : {kind: 'accepted'},
    }));
    const result = await resultOf(time, gateway);
    assert.deepEqual(result.value, {kind: 'accepted'});
    assert.ok(result.at < 1_300, `${result.at}`);
  });

  // Guards against callers that are held until they have no time left.
  test('is refused with half of its time left while the store is silent', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () => ({
      kind: 'answered',
      value: SILENT,
    }));
    const result = await resultOf(time, gateway);
    assert.deepEqual(result.value, SILENT);
    assert.ok(result.at > 1_000 && result.at < 1_500, `${result.at}`);
  });

  // Guards against calls that are held for a store which is gone for long.
  test('is refused at once when the store has been silent for long', async () => {
    const time = new simulatedClock.SimulatedClock();
    const gateway = gatewayWith(time, async () => ({
      kind: 'answered',
      value: {...SILENT, reason: 'storeLost'},
    }));
    const result = await resultOf(time, gateway);
    assert.equal(result.at, 0);
  });
});
