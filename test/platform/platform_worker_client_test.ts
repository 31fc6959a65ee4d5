import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as platformWorkerClient from '../../platform/platform_worker_client.js';
import type * as httpClient from '../../platform/http_client.js';
import type * as workerClient from '../../src/machines/worker_client.js';

const {describe, test} = nodeTest;

/** Returns the outcome of a renewal that a worker answers with a body. */
function renewalAnsweredWith(
  answer: Readonly<Record<string, unknown>>,
): Promise<workerClient.RenewalOutcome> {
  const body = Buffer.from(JSON.stringify(answer));
  const http = {
    call: async () => ({kind: 'answered', status: 200, body}),
  } as unknown as httpClient.HttpClient;
  return new platformWorkerClient.PlatformWorkerClient(http).renewLeases(
    jobCell.registryEntry('one'),
    {fencingToken: 1, storedEndNumber: 0, waitMs: 0},
  );
}

function endRows(count: number): ReadonlyArray<ReadonlyArray<unknown>> {
  return Array.from({length: count}, (_unused, index) => [
    index + 1,
    `job.0.0.${index}`,
    1,
    'done',
    '',
  ]);
}

describe('the report of a worker', () => {
  // Guards against a report that leaves ends out and counts as complete.
  test('has more ends once it lists as many as one answer may', async () => {
    for (const [count, hasMoreEnds] of [
      [499, false],
      [500, true],
    ] as const) {
      const outcome = await renewalAnsweredWith({
        clock_ms: 5,
        born: 7,
        running: [],
        finished: endRows(count),
      });
      assert.equal(outcome.kind, 'reported');
      assert.equal(outcome.report.ended.length, count);
      assert.equal(outcome.report.hasMoreEnds, hasMoreEnds);
    }
  });
});
