import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as callParser from '../../src/links/call_parser.js';
import type * as result from '../../src/result.js';

const SUBMISSION = {team: 'dispatch', workload: 'polish', payload: 'x'};

const SIZE = {processors: 1, memory: 2, accelerators: 0, slots: 1};

function rawCall(
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

function expectFailure(incoming: callParser.RawCall): result.Failure {
  return callParser.parseCall(incoming, 1).swap().unsafeCoerce();
}

function expectParsed(incoming: callParser.RawCall): callParser.ParsedCall {
  return callParser.parseCall(incoming, 1).unsafeCoerce();
}

nodeTest.describe('valid calls', () => {
  // Guards against a route that is missing or posts the event of another.
  nodeTest.test('each route is parsed into its event', () => {
    const calls: ReadonlyArray<readonly [callParser.RawCall, string]> = [
      [rawCall('POST', '/v1/identities', {count: 100}), 'identitiesArrived'],
      [rawCall('POST', '/v1/identities'), 'identitiesArrived'],
      [rawCall('POST', '/v1/requests?wait=300', SUBMISSION), 'requestArrived'],
      [rawCall('PUT', '/v1/requests/a.b_1_c', SUBMISSION), 'requestArrived'],
      [rawCall('GET', '/v1/requests/a?wait=0.5'), 'fetchArrived'],
      [rawCall('GET', '/v1/requests/a/answer'), 'fetchArrived'],
      [rawCall('GET', '/v1/requests/a/events'), 'fetchArrived'],
      [rawCall('DELETE', '/v1/requests/a'), 'cancelArrived'],
      [rawCall('GET', '/v1/explain/a'), 'explainArrived'],
      [rawCall('GET', '/v1/status'), 'statusArrived'],
      [rawCall('GET', '/v1/workloads'), 'workloadsArrived'],
      [rawCall('GET', '/v1/configuration/team/a'), 'documentFetchArrived'],
      [rawCall('POST', '/v1/drain', {worker: 'w'}), 'drainArrived'],
      [rawCall('POST', '/v1/drain'), 'drainArrived'],
    ];
    for (const [incoming, kind] of calls) {
      assert.equal(expectParsed(incoming).event.kind, kind, incoming.target);
    }
  });

  // Guards against a publication that overwrites a newer version because its
  // base version was not read.
  nodeTest.test('a publication takes its base version from If-Match', () => {
    const path = '/v1/configuration/team%2Fdispatch';
    const headers = {publication: 'p1', ifMatch: '"12"'};
    assert.deepEqual(
      expectParsed(rawCall('PUT', path, 'text', headers)).event,
      {
        kind: 'publishArrived',
        call: 1,
        document: 'team/dispatch',
        baseVersion: 12,
        content: 'text',
        publication: 'p1',
      },
    );
    const fresh = expectParsed(
      rawCall('PUT', path, 'text', {publication: 'p1'}),
    );
    assert.equal('baseVersion' in fresh.event && fresh.event.baseVersion, 0);
  });
});

nodeTest.describe('invalid calls', () => {
  // Guards against a missing check, which passes an unexpected value on to the
  // decision core, and against an error that does not tell the caller which
  // field to correct and how.
  nodeTest.test('the error names the field, the value and the rule', () => {
    const put = '/v1/requests/a';
    const bad: ReadonlyArray<readonly [callParser.RawCall, RegExp]> = [
      [rawCall('PUT', put, {...SUBMISSION, team: 7}), /^team: 7: must be/],
      [
        rawCall('PUT', put, {...SUBMISSION, team: undefined}),
        /^team: missing: /,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, color: 1}),
        /^color: 1: is not a known/,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, size: {...SIZE, memory: -1}}),
        /^size\.memory: -1: must be a whole number from 0 to 1000000000$/,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, size: {...SIZE, slots: 1e9 + 1}}),
        /^size\.slots: 1000000001: must be/,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, size: {...SIZE, disks: 1}}),
        /^size\.disks: 1: is not a known/,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, size: null}),
        /^size: null: must be/,
      ],
      [
        rawCall('PUT', put, {...SUBMISSION, startDeadlineMs: 0.5}),
        /^startDeadlineMs: 0.5: must be a whole/,
      ],
      [rawCall('GET', '/v1/requests/a?wait=301'), /^wait: "301": must be/],
      [rawCall('GET', '/v1/requests/a?wait=-1'), /^wait: "-1": must be/],
      [rawCall('GET', '/v1/requests/a?wait='), /^wait: "": must be/],
      [rawCall('GET', '/v1/requests/%ff'), /^requests: "%ff": is not valid/],
      [rawCall('POST', '/v1/identities', {count: 0}), /^count: 0: must be/],
      [rawCall('POST', '/v1/identities', {count: 101}), /^count: 101: must be/],
      [rawCall('POST', '/v1/identities', {}), /^count: missing: must be/],
      [rawCall('POST', '/v1/drain', {worker: ''}), /^worker: "": must be/],
      [
        rawCall('PUT', '/v1/configuration/fleet', 'x'),
        /^x-publication: missing/,
      ],
      [
        rawCall('PUT', '/v1/configuration/fleet', 'x', {
          publication: 'p',
          ifMatch: 'new',
        }),
        /^if-match: "new": must be/,
      ],
      [
        rawCall('GET', '/v1/requests/a', '', {client: 'c'.repeat(81)}),
        /^x-client: .*: must be a string of 1 to 80/,
      ],
      [
        rawCall('GET', '/v1/requests/a', '', {client: undefined}),
        /^x-client: missing/,
      ],
    ];
    for (const [incoming, pattern] of bad) {
      const failure = expectFailure(incoming);
      assert.equal(failure.result, 'invalidField', failure.detail);
      assert.match(failure.detail, pattern);
    }
  });

  // Guards against a malformed body or an unknown path that gets the error of
  // another fault, or none.
  nodeTest.test('a malformed body and an unknown path get their codes', () => {
    for (const body of ['', '[]', 'null', '{"team":', '7']) {
      const failure = expectFailure(rawCall('PUT', '/v1/requests/a', body));
      assert.equal(failure.result, 'invalidBody', body);
    }
    for (const target of ['/', '/v1/nothing', '/v1/requests', '/v1/status/x']) {
      assert.equal(expectFailure(rawCall('GET', target)).result, 'unknownPath');
    }
    assert.equal(
      expectFailure(rawCall('GET', '/v1/requests/a b')).result,
      'unknownIdentity',
    );
  });

  // Guards against input that makes the parser throw, or fail without a detail.
  nodeTest.test('any input gives an event or an error with a detail', () => {
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

  // Guards against a field of a wrong type that reaches the decision core.
  nodeTest.test(
    'a generated submission passes only if all types are exact',
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
