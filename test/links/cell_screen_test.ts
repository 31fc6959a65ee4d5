import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellClientSupport from '../support/cell_client.js';
import * as cellServer from '../../src/links/cell_server.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import * as recordedCounters from '../support/recorded_counters.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';

const {describe, test} = nodeTest;

const CALL_TIMEOUT_MS = 2_000;

const SCREENED: ReadonlyArray<jobAdmission.ScreenedJob> = [
  {id: 'a1', queue: 'orders', score: 19.25, pathMs: 1_500.4},
  {id: 'a2', queue: 'orders', score: -3, pathMs: 0},
];

/** Calls a member that answers screening calls with `outcomes`. */
async function callMember(
  outcomes: ReadonlyArray<jobAdmission.ScreeningOutcome> | undefined,
  received: jobAdmission.ScreenedJob[],
): Promise<cellPeers.LeaderCallOutcome<unknown>> {
  const service = {
    configurationVersion: 1,
    screen: (jobs: ReadonlyArray<jobAdmission.ScreenedJob>) => {
      for (const {id, queue, score, pathMs} of jobs) {
        received.push({id, queue, score, pathMs});
      }
      return outcomes;
    },
  } as unknown as cellPeers.CellService;
  const server = new cellServer.CellServer(service);
  const port = await server.listen('127.0.0.1', 0);
  const client = cellClientSupport.createCellClient(
    new recordedCounters.RecordedCounters(),
  );
  const address = `127.0.0.1:${port}`;
  const outcome = await client.screen(address, SCREENED, CALL_TIMEOUT_MS);
  client.close();
  server.close();
  return outcome;
}

describe('screening call', () => {
  // Guards against refusals that lose their reason or their delay on the way.
  test('carries jobs to the leader and refusals back', async () => {
    const received: jobAdmission.ScreenedJob[] = [];
    const outcomes: ReadonlyArray<jobAdmission.ScreeningOutcome> = [
      {refusal: undefined},
      {
        refusal: {kind: 'refused', reason: 'overloaded', retryAfterSeconds: 4},
      },
    ];
    const outcome = await callMember(outcomes, received);
    assert.deepEqual(outcome, {kind: 'answered', value: outcomes});
    assert.deepEqual(received, [
      {...SCREENED[0], pathMs: 1_500},
      {...SCREENED[1]},
    ]);
  });

  // Guards against taking the answer of another member for the leader's.
  test('tells that the member does not lead', async () => {
    const outcome = await callMember(undefined, []);
    assert.deepEqual(outcome, {kind: 'notLeading'});
  });
});
