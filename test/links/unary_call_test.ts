import * as assert from 'node:assert/strict';
import * as http2 from 'node:http2';
import * as nodeTest from 'node:test';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as protobuf from '@bufbuild/protobuf';
import * as cellPb from '../../src/links/generated/cell_pb.js';
import * as listen from '../../src/links/listen.js';
import * as unaryServer from '../../src/links/unary_server.js';
import * as unaryTransport from '../../src/links/unary_transport.js';

const {describe, test} = nodeTest;

const HOST = '127.0.0.1';
const MAXIMUM_BYTES = 10_000;
const SERVICE_PATH = '/parsleyknot.cell.v1.Cell/';
const STATE_PATH = `${SERVICE_PATH}ReadState`;

type Handlers = unaryServer.UnaryHandlers<typeof cellPb.Cell>;

/** Answers the state of a job with its id; some ids stand for faults. */
const HANDLERS = {
  readState: ({id}) => {
    if (id === 'fault') throw new Error('secret detail');
    if (id === 'rejected') {
      throw new connect.ConnectError('id: no', connect.Code.InvalidArgument);
    }
    const state = id === 'large' ? 'x'.repeat(MAXIMUM_BYTES) : id;
    return {leading: cellPb.Leading.YES, state};
  },
} as Partial<Handlers> as Handlers;

interface RawAnswer {
  readonly status: number;
  readonly body: string;
}

/** Starts a server, runs the body with its port and closes everything. */
async function withServer(
  server: http2.Http2Server,
  body: (port: number) => Promise<void>,
): Promise<void> {
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', session => sessions.add(session));
  const port = await listen.listen(server, HOST, 0);
  try {
    await body(port);
  } finally {
    server.close();
    for (const session of sessions) session.destroy();
  }
}

function createServer(): http2.Http2Server {
  const server = http2.createServer();
  const calls = new unaryServer.UnaryServer(
    cellPb.Cell,
    HANDLERS,
    MAXIMUM_BYTES,
  );
  calls.serve(server);
  return server;
}

/** Runs the body with a client that uses the transport of this project. */
async function withClient(
  port: number,
  body: (client: connect.Client<typeof cellPb.Cell>) => Promise<void>,
): Promise<void> {
  const session = new connectNode.Http2SessionManager(`http://${HOST}:${port}`);
  const transport = new unaryTransport.UnaryTransport(session, MAXIMUM_BYTES);
  try {
    await body(connect.createClient(cellPb.Cell, transport));
  } finally {
    session.abort();
  }
}

function readState(
  client: connect.Client<typeof cellPb.Cell>,
  id: string,
): Promise<string> {
  return client.readState({queue: 'orders', id}).then(({state}) => state);
}

function encodedRequest(id: string): Uint8Array {
  const request = protobuf.create(cellPb.JobRequestSchema, {id});
  return protobuf.toBinary(cellPb.JobRequestSchema, request);
}

/** Sends bytes as the body of a call. */
function sendRaw(
  port: number,
  headers: http2.OutgoingHttpHeaders,
  body: Uint8Array,
): Promise<RawAnswer> {
  const session = http2.connect(`http://${HOST}:${port}`);
  const stream = session.request({
    ':method': 'POST',
    ':path': STATE_PATH,
    'content-type': 'application/proto',
    ...headers,
  });
  return new Promise<RawAnswer>((resolve, reject) => {
    let status = 0;
    const chunks: Buffer[] = [];
    stream.on('response', answer => (status = answer[':status'] ?? 0));
    stream.on('data', (chunk: Buffer) => chunks.push(chunk));
    stream.on('end', () =>
      resolve({status, body: Buffer.concat(chunks).toString()}),
    );
    stream.on('error', reject);
    stream.end(body);
  }).finally(() => session.destroy());
}

describe('unary calls between members of different releases', () => {
  // Guards against members that can't call each other while a release is
  // rolled out: earlier ones use the library's transport and adapter.
  test('an earlier client is answered', () =>
    withServer(createServer(), async port => {
      const transport = connectNode.createConnectTransport({
        baseUrl: `http://${HOST}:${port}`,
        httpVersion: '2',
      });
      const client = connect.createClient(cellPb.Cell, transport);
      assert.equal(await readState(client, 'aa'), 'aa');
      await assert.rejects(
        readState(client, 'rejected'),
        (error: connect.ConnectError) =>
          error.code === connect.Code.InvalidArgument &&
          error.rawMessage === 'id: no',
      );
    }));

  test('an earlier server answers', () => {
    const server = http2.createServer(
      connectNode.connectNodeAdapter({
        routes: router => void router.service(cellPb.Cell, HANDLERS),
      }),
    );
    return withServer(server, port =>
      withClient(port, async client => {
        assert.equal(await readState(client, 'aa'), 'aa');
        assert.equal(await readState(client, ''), '');
        await assert.rejects(readState(client, 'rejected'), /id: no/);
      }),
    );
  });
});

describe('unary server', () => {
  // Guards against one malformed message that takes the whole process down, and
  // against details of a fault in answers.
  test('answers malformed, unknown and oversized calls with an error', () =>
    withServer(createServer(), async port => {
      const malformed = Buffer.from([0x0a, 0xff, 0xff]);
      assert.equal((await sendRaw(port, {}, malformed)).status, 400);
      const unknown = {':path': `${SERVICE_PATH}Nothing`};
      assert.equal((await sendRaw(port, unknown, malformed)).status, 404);
      const inherited = {':path': `${SERVICE_PATH}constructor`};
      assert.equal((await sendRaw(port, inherited, malformed)).status, 404);
      const json = {'content-type': 'application/json'};
      assert.equal((await sendRaw(port, json, malformed)).status, 404);
      const oversized = Buffer.alloc(MAXIMUM_BYTES + 1);
      assert.equal((await sendRaw(port, {}, oversized)).status, 429);
      const fault = await sendRaw(port, {}, encodedRequest('fault'));
      assert.equal(fault.status, 500);
      assert.doesNotMatch(fault.body, /secret/);
      const intact = await sendRaw(port, {}, encodedRequest('aa'));
      assert.equal(intact.status, 200);
    }));

  // Guards against a truncated request that is carried out: it may decode to
  // another valid request.
  test('carries out no call whose body is incomplete', () =>
    withServer(createServer(), async port => {
      const body = encodedRequest('aa');
      const headers = {'content-length': String(body.length + 1)};
      const outcome = await Promise.race([
        sendRaw(port, headers, body).then(
          ({status}) => status,
          () => 'reset',
        ),
        new Promise(resolve => setTimeout(() => resolve('silent'), 300)),
      ]);
      assert.notEqual(outcome, 200);
    }));
});

describe('unary transport', () => {
  test('reports errors and responses that are too large', () =>
    withServer(createServer(), port =>
      withClient(port, async client => {
        await assert.rejects(readState(client, 'fault'), /status 500/);
        await assert.rejects(readState(client, 'large'), /too large/);
        assert.equal(await readState(client, 'aa'), 'aa');
      }),
    ));

  // Guards against a response that is taken as complete because its connection
  // was lost: a shorter message may be valid and say something else.
  test('takes no truncated response', async () => {
    const server = http2.createServer();
    server.on('stream', stream => {
      stream.on('error', () => {});
      stream.resume();
      stream.respond({
        ':status': 200,
        'content-type': 'application/proto',
        'content-length': 4,
      });
      stream.write(Buffer.from([0x08, 0x01]));
      setTimeout(() => stream.session?.destroy(), 20);
    });
    await withServer(server, port =>
      withClient(port, client => assert.rejects(readState(client, 'aa'))),
    );
  });

  // Guards against calls that wait for ever, and against the end of a process
  // by an error event of a stream that nobody waits for any more.
  test('ends a call when it is aborted, before and after it is sent', async () => {
    const server = http2.createServer();
    server.on('stream', stream => stream.on('error', () => {}));
    await withServer(server, port =>
      withClient(port, async client => {
        for (const waitMs of [0, 50]) {
          const controller = new AbortController();
          const call = client.readState({}, {signal: controller.signal});
          setTimeout(() => controller.abort(), waitMs);
          await assert.rejects(call, /aborted/);
        }
      }),
    );
  });
});
