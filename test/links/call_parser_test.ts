import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as callParser from '../../src/links/call_parser.js';
import type * as result from '../../src/result.js';

const SUBMISSION = {team: 'dispatch', workload: 'polish', payload: 'x'};

const SIZE = {processors: 1, memory: 2, accelerators: 0, slots: 1};

function call(
  method: string,
  target: string,
  body: unknown = '',
  more: Partial<callParser.RawCall> = {},
): callParser.RawCall {
  return {
    method,
    target,
    client: 'workshop-1',
    ifMatch: undefined,
    publication: undefined,
    body: typeof body === 'string' ? body : JSON.stringify(body),
    ...more,
  };
}

function refusal(incoming: callParser.RawCall): result.Failure {
  return callParser.parseCall(incoming, 1).swap().unsafeCoerce();
}

function accepted(incoming: callParser.RawCall): callParser.ParsedCall {
  return callParser.parseCall(incoming, 1).unsafeCoerce();
}

nodeTest.describe('good calls', () => {
  nodeTest.test('each path becomes its event', () => {
    const calls: ReadonlyArray<readonly [callParser.RawCall, string]> = [
      [call('POST', '/v1/identities', {count: 100}), 'identitiesArrived'],
      [call('POST', '/v1/identities'), 'identitiesArrived'],
      [call('POST', '/v1/requests?wait=300', SUBMISSION), 'requestArrived'],
      [call('PUT', '/v1/requests/a.b_1_c', SUBMISSION), 'requestArrived'],
      [call('GET', '/v1/requests/a?wait=0.5'), 'fetchArrived'],
      [call('GET', '/v1/requests/a/answer'), 'fetchArrived'],
      [call('GET', '/v1/requests/a/events'), 'fetchArrived'],
      [call('DELETE', '/v1/requests/a'), 'cancelArrived'],
      [call('GET', '/v1/explain/a'), 'explainArrived'],
      [call('GET', '/v1/status'), 'statusArrived'],
      [call('GET', '/v1/workloads'), 'workloadsArrived'],
      [call('GET', '/v1/configuration/team/a'), 'documentFetchArrived'],
      [call('POST', '/v1/drain', {worker: 'w'}), 'drainArrived'],
      [call('POST', '/v1/drain'), 'drainArrived'],
    ];
    for (const [incoming, kind] of calls) {
      assert.equal(accepted(incoming).event.kind, kind, incoming.target);
    }
  });

  nodeTest.test('a publication takes its base from If-Match', () => {
    const path = '/v1/configuration/team%2Fdispatch';
    const headers = {publication: 'p1', ifMatch: '"12"'};
    assert.deepEqual(accepted(call('PUT', path, 'text', headers)).event, {
      kind: 'publishArrived',
      call: 1,
      document: 'team/dispatch',
      baseVersion: 12,
      content: 'text',
      publication: 'p1',
    });
    const fresh = accepted(call('PUT', path, 'text', {publication: 'p1'}));
    assert.equal('baseVersion' in fresh.event && fresh.event.baseVersion, 0);
  });
});

nodeTest.describe('bad calls', () => {
  // A check that is missing lets a value into the decision core that it does
  // not expect; an error without field and rule leaves the caller guessing.
  nodeTest.test('the error names field, value and rule', () => {
    const put = '/v1/requests/a';
    const bad: ReadonlyArray<readonly [callParser.RawCall, RegExp]> = [
      [call('PUT', put, {...SUBMISSION, team: 7}), /^team: 7: must be/],
      [call('PUT', put, {...SUBMISSION, team: undefined}), /^team: missing: /],
      [
        call('PUT', put, {...SUBMISSION, color: 1}),
        /^color: 1: is not a known/,
      ],
      [
        call('PUT', put, {...SUBMISSION, size: {...SIZE, memory: -1}}),
        /^size\.memory: -1: must be a whole number from 0 to 1000000000$/,
      ],
      [
        call('PUT', put, {...SUBMISSION, size: {...SIZE, slots: 1e9 + 1}}),
        /^size\.slots: 1000000001: must be/,
      ],
      [
        call('PUT', put, {...SUBMISSION, size: {...SIZE, disks: 1}}),
        /^size\.disks: 1: is not a known/,
      ],
      [call('PUT', put, {...SUBMISSION, size: null}), /^size: null: must be/],
      [
        call('PUT', put, {...SUBMISSION, startDeadlineMs: 0.5}),
        /^startDeadlineMs: 0.5: must be a whole/,
      ],
      [call('GET', '/v1/requests/a?wait=301'), /^wait: "301": must be/],
      [call('GET', '/v1/requests/a?wait=-1'), /^wait: "-1": must be/],
      [call('GET', '/v1/requests/a?wait='), /^wait: "": must be/],
      [call('GET', '/v1/requests/%ff'), /^requests: "%ff": is not valid/],
      [call('POST', '/v1/identities', {count: 0}), /^count: 0: must be/],
      [call('POST', '/v1/identities', {count: 101}), /^count: 101: must be/],
      [call('POST', '/v1/identities', {}), /^count: missing: must be/],
      [call('POST', '/v1/drain', {worker: ''}), /^worker: "": must be/],
      [call('PUT', '/v1/configuration/fleet', 'x'), /^x-publication: missing/],
      [
        call('PUT', '/v1/configuration/fleet', 'x', {
          publication: 'p',
          ifMatch: 'new',
        }),
        /^if-match: "new": must be/,
      ],
      [
        call('GET', '/v1/requests/a', '', {client: 'c'.repeat(81)}),
        /^x-client: .*: must be a string of 1 to 80/,
      ],
      [
        call('GET', '/v1/requests/a', '', {client: undefined}),
        /^x-client: missing/,
      ],
    ];
    for (const [incoming, pattern] of bad) {
      const failure = refusal(incoming);
      assert.equal(failure.result, 'invalidField', failure.detail);
      assert.match(failure.detail, pattern);
    }
  });

  nodeTest.test('a body that is no object and an unknown path are told', () => {
    for (const body of ['', '[]', 'null', '{"team":', '7']) {
      const failure = refusal(call('PUT', '/v1/requests/a', body));
      assert.equal(failure.result, 'invalidBody', body);
    }
    for (const target of ['/', '/v1/nothing', '/v1/requests', '/v1/status/x']) {
      assert.equal(refusal(call('GET', target)).result, 'unknownPath');
    }
    assert.equal(
      refusal(call('GET', '/v1/requests/a b')).result,
      'unknownIdentity',
    );
  });

  nodeTest.test('generated input gives a good call or a numbered error', () => {
    const anyCall = fastCheck.record({
      method: fastCheck.constantFrom('GET', 'PUT', 'POST', 'DELETE', 'PATCH'),
      target: fastCheck.oneof(
        fastCheck.webPath().map(path => `/v1${path}`),
        fastCheck
          .tuple(
            fastCheck.constantFrom('/v1/requests/', '/v1/configuration/'),
            fastCheck.string(),
          )
          .map(parts => parts.join('')),
        fastCheck.string(),
      ),
      client: fastCheck.option(fastCheck.string(), {nil: undefined}),
      ifMatch: fastCheck.option(fastCheck.string(), {nil: undefined}),
      publication: fastCheck.option(fastCheck.string(), {nil: undefined}),
      body: fastCheck.oneof(fastCheck.string(), fastCheck.json()),
    });
    const check = fastCheck.property(anyCall, incoming => {
      callParser.parseCall(incoming, 1).caseOf({
        Left: failure => assert.notEqual(failure.detail, ''),
        Right: read => assert.equal(read.event.kind.endsWith('Arrived'), true),
      });
    });
    fastCheck.assert(check, {seed: 20261204, numRuns: 2_000});
  });

  nodeTest.test(
    'a generated submission passes only with its exact types',
    () => {
      const value = fastCheck.jsonValue() as fastCheck.Arbitrary<unknown>;
      const raw = fastCheck.record(
        {
          team: fastCheck.oneof(fastCheck.string(), value),
          workload: fastCheck.oneof(fastCheck.string(), value),
          payload: fastCheck.oneof(fastCheck.string(), value),
          size: fastCheck.oneof(fastCheck.constant(SIZE), value),
          startDeadlineMs: fastCheck.oneof(fastCheck.integer(), value),
          other: value,
        },
        {requiredKeys: []},
      );
      const check = fastCheck.property(raw, sent => {
        const read = callParser.parseSubmission(JSON.stringify(sent));
        if (read.isLeft()) return;
        const submission = read.unsafeCoerce();
        assert.equal('other' in sent, false);
        assert.equal(typeof submission.team, 'string');
        assert.equal(typeof submission.workload, 'string');
        assert.equal(typeof submission.payload, 'string');
        assert.ok((submission.startDeadlineMs ?? 0) >= 0);
        if (submission.size !== undefined) {
          assert.equal(Object.keys(submission.size).length, 4);
        }
      });
      fastCheck.assert(check, {seed: 20261204, numRuns: 3_000});
    },
  );
});
