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
  status = 200,
): Promise<workerClient.RenewalOutcome> {
  const body = Buffer.from(JSON.stringify(answer));
  const http = {
    call: async () => ({kind: 'answered', status, body}),
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

  // Guards against a running task that is started again elsewhere, and against
  // an end that is acknowledged unseen, because a part of a report was dropped.
  test('an unreadable row counted as a run that is gone', async () => {
    const run = ['job.0.0.1', 1, '', 100, 0];
    const end = [1, 'job.0.0.2', 1, 'done', ''];
    const whole = {clock_ms: 5, born: 7, running: [run], finished: [end]};
    const readable = await renewalAnsweredWith(whole);
    assert.equal(readable.kind, 'reported');
    const odd: ReadonlyArray<Readonly<Record<string, unknown>>> = [
      {running: 'none'},
      {running: {}},
      {running: [run, null]},
      {running: [run, ['job.0.0.3']]},
      {running: [run, ['job.0.0.3', '1', '', 100, 0]]},
      {running: [run, [7, 1, '', 100, 0]]},
      {finished: 7},
      {finished: [end, []]},
      {finished: [end, ['2', 'job.0.0.4', 1, 'done', '']]},
      {finished: [end, [2, 'job.0.0.4', -1, 'done', '']]},
    ];
    for (const part of odd) {
      const outcome = await renewalAnsweredWith({...whole, ...part});
      assert.equal(outcome.kind, 'unanswered', JSON.stringify(part));
    }
  });

  // Guards against a list without entries that is left out or null, and so
  // would make a worker silent.
  test('reads a report without lists as one of no runs', async () => {
    for (const part of [{}, {running: null, finished: null}]) {
      const outcome = await renewalAnsweredWith({clock_ms: 5, ...part});
      assert.ok(outcome.kind === 'reported');
      assert.deepEqual(outcome.report.running, []);
      assert.deepEqual(outcome.report.ended, []);
    }
  });

  // Guards against a reason that is no reason but a property of all objects.
  test('a rejection for an unknown reason had no valid reason', async () => {
    for (const reason of ['constructor', '__proto__', 'toString', '', 7]) {
      const outcome = await renewalAnsweredWith({reason}, 409);
      assert.deepEqual(outcome, {kind: 'rejected', reason: 'invalid'});
    }
  });
});
