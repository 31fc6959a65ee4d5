import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as http2 from 'node:http2';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as platformCell from '../../stand_ins/platform_cell.js';
import * as wait from '../support/wait.js';

const {describe, test} = nodeTest;

const SEED = 20_261_206;

/** Inputs of each kind that one run of a test sends. */
const SAMPLE_SIZE = 60;

/** Time after which a connection that still waits for input is closed. */
const CONNECTION_TIMEOUT_MS = 250;

/** More faults than a process tolerates within its fault window. */
const REPEATED_CALLS = 12;

/** Any value that a field of a JSON document may have. */
const ODD_VALUES = fastCheck.oneof(
  fastCheck.constantFrom(
    null,
    true,
    -1,
    0,
    0.5,
    1e300,
    -1e300,
    Number.MAX_SAFE_INTEGER,
    '',
    '__proto__',
    'constructor',
    [],
    {},
    [null],
  ),
  fastCheck.jsonValue({maxDepth: 2}),
);

/** Names that `Object.prototype` knows, or that are names of other things. */
const ODD_NAMES = fastCheck.constantFrom(
  '__proto__',
  'constructor',
  'toString',
  'workers',
  'a'.repeat(128),
);

const REQUEST_LINES = fastCheck.constantFrom(
  'GET / HTTP/1.1',
  'POST /orders/0000000000000001 HTTP/1.1',
  'M-SEARCH * HTTP/1.1',
  'CONNECT orders.example:80 HTTP/1.1',
  'OPTIONS * HTTP/1.1',
  'GET http://[::1 HTTP/1.1',
  'GET //?%%% HTTP/1.1',
  'PRI * HTTP/2.0',
  'GET / HTTP/9.9',
);

const HEADER_LINES = fastCheck.constantFrom(
  'Host: orders.example',
  'Host:',
  'Content-Length: -1',
  'Content-Length: 99999999999999999999',
  'Transfer-Encoding: chunked',
  'Transfer-Encoding: chunked, gzip',
  'Expect: 100-continue',
  'Expect: something',
  'Connection: Upgrade\r\nUpgrade: h2c',
  'Deadline-Ms: 1e999',
  'Deadline-Ms: -5',
  `X-Large: ${'x'.repeat(100_000)}`,
  'No colon',
  'N\u0000ul: 1',
);

/** Bytes that a client may write to any port. */
const RAW_INPUTS: fastCheck.Arbitrary<Uint8Array> = fastCheck.oneof(
  fastCheck.uint8Array({maxLength: 200}),
  fastCheck
    .tuple(
      REQUEST_LINES,
      fastCheck.array(HEADER_LINES, {maxLength: 3}),
      fastCheck.string(),
    )
    .map(([line, headers, body]) =>
      Buffer.from([line, ...headers, '', body].join('\r\n')),
    ),
  fastCheck
    .uint8Array({maxLength: 60})
    .map(bytes =>
      Buffer.concat([Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'), bytes]),
    ),
);

/** Bodies of submissions, most of which the decoder accepts. */
const SUBMISSIONS = fastCheck.record(
  {
    spec: ODD_VALUES,
    steps: fastCheck.array(
      fastCheck.record(
        {
          count: fastCheck.constantFrom(1, 2, 300, 0.5, -1),
          cpu: fastCheck.constantFrom(0, 500, 0.1, 1e300),
          mem_mb: fastCheck.constantFrom(0, 64, 1e-300),
          gpu: ODD_VALUES,
          est_runtime_ms: ODD_VALUES,
          after: fastCheck.constantFrom([], [0], [0, 0], 'x'),
          gang: ODD_VALUES,
          colocated: ODD_VALUES,
          checkpointing: ODD_VALUES,
          allow_duplicates: ODD_VALUES,
          long_running: ODD_VALUES,
          fills: ODD_VALUES,
          requires: ODD_VALUES,
          data_rack: ODD_VALUES,
          max_per_server: ODD_VALUES,
          image: ODD_VALUES,
          target_ms: ODD_VALUES,
          may_miss: ODD_VALUES,
        },
        {requiredKeys: ['count', 'cpu']},
      ),
      {minLength: 1, maxLength: 3},
    ),
    repeat_count: fastCheck.constantFrom(1, 3, 0.5, 1e300),
    start_at_ms: ODD_VALUES,
    interval_ms: ODD_VALUES,
  },
  {requiredKeys: ['steps']},
);

const SMALL_INDEX = fastCheck.constantFrom(0, 1, 2, 7, 1e9);

/** Definitions of jobs that another writer may leave in the journal. */
const STORED_DEFINITIONS = fastCheck.record(
  {
    queue: fastCheck.constantFrom('orders', 'other', '__proto__'),
    payload: fastCheck.constant(''),
    steps: fastCheck.array(
      fastCheck.record({
        count: fastCheck.constantFrom(0, 1, 2, 9),
        size: fastCheck.record({
          processors: fastCheck.constantFrom(0, 500, 1e300),
          memory: fastCheck.constantFrom(0, 64),
          accelerators: fastCheck.constantFrom(0, 1),
          slots: fastCheck.constantFrom(0, 1),
        }),
        estimatedRuntimeMs: fastCheck.constantFrom(0, -5, 100),
        after: fastCheck.array(SMALL_INDEX, {maxLength: 2}),
        gang: ODD_VALUES,
        longRunning: ODD_VALUES,
        usesIdleCapacity: ODD_VALUES,
        requiredLabel: ODD_VALUES,
        dataRack: ODD_VALUES,
        maximumPerWorker: ODD_VALUES,
        image: ODD_VALUES,
        targetMs: ODD_VALUES,
      }),
      {maxLength: 3},
    ),
    schedule: fastCheck.record({
      occurrences: fastCheck.constantFrom(0, 1, 3, -1, 0.5),
      startAtMs: fastCheck.constantFrom(0, -1, 1e300),
      intervalMs: fastCheck.constantFrom(0, -1, 1_000),
    }),
    arrivedAtUnixMs: fastCheck.constantFrom(0, 1e300),
  },
  {requiredKeys: ['queue', 'payload', 'steps']},
);

/** Progress of these jobs, which may not fit the definition. */
const STORED_PROGRESS = fastCheck.record({
  outcome: fastCheck.constantFrom('open', 'completed', 'failed', 'cancelled'),
  started: fastCheck.boolean(),
  steps: fastCheck.array(
    fastCheck.record({
      occurrence: SMALL_INDEX,
      position: SMALL_INDEX,
      done: fastCheck.array(SMALL_INDEX, {maxLength: 2}),
      failed: fastCheck.array(fastCheck.tuple(ODD_VALUES, ODD_VALUES), {
        maxLength: 2,
      }),
      checkpoints: fastCheck.array(fastCheck.tuple(ODD_VALUES, ODD_VALUES), {
        maxLength: 2,
      }),
    }),
    {maxLength: 2},
  ),
});

const MEMBER_CALLS = fastCheck.record({
  path: fastCheck.constantFrom(
    ...[
      'Ping',
      'FetchConfiguration',
      'Submit',
      'Screen',
      'Cancel',
      'ReadState',
      'CountPending',
      'Advise',
      'Other',
    ].map(method => `/parsleyknot.cell.v1.Cell/${method}`),
  ),
  contentType: fastCheck.constantFrom(
    'application/proto',
    'application/json',
    'application/connect+proto',
    'text/plain',
  ),
  body: fastCheck.oneof(
    fastCheck.uint8Array({maxLength: 100}),
    fastCheck.json({maxDepth: 3}).map(text => Buffer.from(text)),
    fastCheck
      .constantFrom(
        '{"configurationVersion":"-1","sender":7}',
        '{"jobs":[{}],"queue":"__proto__","id":"__proto__"}',
        '{"definition":"e30=","configurationVersion":"0"}',
        '{"step":"","workerIds":[""],"timeoutMs":4294967295}',
        '{"newest":{"term":"-9"},"lastReply":{}}',
      )
      .map(text => Buffer.from(text)),
  ),
});

function sampleOf<Value>(
  arbitrary: fastCheck.Arbitrary<Value>,
  size = SAMPLE_SIZE,
): ReadonlyArray<Value> {
  return fastCheck.sample(arbitrary, {seed: SEED, numRuns: size});
}

/** Writes bytes to an address and waits until the connection is closed. */
function sendBytes(address: string, bytes: Uint8Array): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect(Number(port), host, () => socket.end(bytes));
    socket.setTimeout(CONNECTION_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => {});
    socket.on('close', () => resolve());
    socket.resume();
  });
}

/** Sends a request with any method; resolves with 0 if it has no response. */
function statusOf(address: string, method: string): Promise<number> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const headers = {host: platformCell.QUEUE_HOST, 'deadline-ms': '500'};
    const path = platformCell.QUEUE_PATH_PREFIX + platformCell.jobIdOf(1);
    const request = http.request({host, port, method, path, headers});
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on('error', () => resolve(0));
    request.end();
  });
}

/** Sends one call to the port for members; ignores what it answers. */
function callMember(
  session: http2.ClientHttp2Session,
  path: string,
  contentType: string,
  body: Uint8Array,
): Promise<void> {
  return new Promise(resolve => {
    const stream = session.request({
      ':method': 'POST',
      ':path': path,
      'content-type': contentType,
      'connect-protocol-version': '1',
    });
    stream.setTimeout(CONNECTION_TIMEOUT_MS, () => stream.close());
    stream.on('error', () => {});
    stream.on('close', () => resolve());
    stream.resume();
    stream.end(body);
  });
}

/** Runs a test body with one process that leads its cell. */
async function withProcess(
  body: (
    cell: platformCell.PlatformCell,
    target: platformCell.CellProcess,
  ) => Promise<void>,
): Promise<void> {
  const cell = await platformCell.PlatformCell.start({
    processCount: 1,
    runPlan: () => ({runTimeMs: 50, outcome: 'done'}),
  });
  try {
    const [first] = cell.processes;
    await completeJob(cell, first, 0xf000);
    await body(cell, first);
    const [last] = cell.processes;
    await completeJob(cell, last, 0xf001);
    assertNoFault(last);
  } finally {
    await cell.stop();
  }
}

async function completeJob(
  cell: platformCell.PlatformCell,
  target: platformCell.CellProcess,
  number: number,
): Promise<void> {
  const id = platformCell.jobIdOf(number);
  const job = {spec: 'x', steps: [{count: 1, cpu: 500, mem_mb: 64}]};
  await wait.until('the job is accepted', async () => {
    const {status} = await cell.callJobApi(target, 'POST', id, job);
    return status === 200 ? true : undefined;
  });
  await wait.until('the job is completed', async () => {
    const {body} = await cell.callJobApi(target, 'GET', id);
    return body['state'] === 'completed' ? true : undefined;
  });
}

/** Checks that no error reached a last resort and that no term has ended. */
function assertNoFault({child}: platformCell.CellProcess): void {
  const faults = child.lines.filter(line =>
    /event=(turnFailed|requestFault|termEnded|termAbandoned)/.test(line),
  );
  assert.deepEqual(faults, []);
  const terms = child.lines.filter(line => line.includes('event=termBegun'));
  assert.equal(terms.length, 1);
}

describe('process that receives malformed input', () => {
  // Guards against a caller that ends the leader's term, and with a few more
  // calls the process, by a method whose name can't be part of a metric's name.
  test('a request with a hyphen in its method ended the term', () =>
    withProcess(async (_cell, target) => {
      for (let call = 0; call < REPEATED_CALLS; call += 1) {
        assert.equal(await statusOf(target.jobApiAddress, 'M-SEARCH'), 404);
      }
    }));

  // Guards against bytes on any port that end a process or its term.
  test('keeps its term whatever is written to its ports', () =>
    withProcess(async (_cell, target) => {
      const addresses = [
        target.jobApiAddress,
        target.readyAddress,
        target.metricsAddress,
        target.cellAddress,
      ];
      for (const bytes of sampleOf(RAW_INPUTS)) {
        await Promise.all(addresses.map(to => sendBytes(to, bytes)));
      }
    }));

  // Guards against calls of members whose fields the scheduler can't handle.
  test('keeps its term whatever a member calls', () =>
    withProcess(async (_cell, target) => {
      const session = http2.connect(`http://${target.cellAddress}`);
      session.on('error', () => {});
      for (const {path, contentType, body} of sampleOf(MEMBER_CALLS, 200)) {
        await callMember(session, path, contentType, body);
      }
      session.destroy();
    }));

  // Guards against a job that is stored and then ends the term of each leader.
  test('keeps its term whatever a job consists of', () =>
    withProcess(async (cell, target) => {
      let acceptedCount = 0;
      for (const [index, body] of sampleOf(SUBMISSIONS, 150).entries()) {
        const id = platformCell.jobIdOf(index);
        const {status} = await cell.callJobApi(target, 'POST', id, body);
        if (status === 200) acceptedCount += 1;
        await cell.callJobApi(target, 'GET', id);
      }
      assert.ok(acceptedCount > 15, `${acceptedCount} jobs were accepted`);
      for (const id of sampleOf(ODD_NAMES, 10)) {
        const steps = [{count: 1, cpu: 500, mem_mb: 64}];
        await cell.callJobApi(target, 'POST', id, {spec: '', steps});
        await cell.callJobApi(target, 'GET', id);
        await cell.callJobApi(target, 'DELETE', id);
      }
      for (let index = 0; index < 150; index += 1) {
        const id = platformCell.jobIdOf(index);
        await cell.callJobApi(target, 'DELETE', id);
      }
    }));

  // Guards against a stored record that ends the term of each leader that reads
  // it.
  test('takes over whatever the journal holds', () =>
    withProcess(async (cell, target) => {
      const definitions = sampleOf(STORED_DEFINITIONS, 100);
      const progress = sampleOf(STORED_PROGRESS, 100);
      for (const [index, definition] of definitions.entries()) {
        const id = platformCell.jobIdOf(index);
        cell.store.put('keyed.jobs', `d/${id}`, {...definition, id});
        if (index % 3 === 0) continue;
        cell.store.put('keyed.jobs', `p/${id}`, progress[index]);
      }
      const successor = await cell.startProcess('node-successor');
      await target.child.kill();
      await completeJob(cell, successor, 0xf002);
      assertNoFault(successor);
      cell.processes.splice(cell.processes.indexOf(target), 1);
    }));
});
