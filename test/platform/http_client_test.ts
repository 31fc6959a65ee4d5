import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as workerThreads from 'node:worker_threads';
import * as fastCheck from 'fast-check';
import * as clock from '../../src/machines/clock.js';
import * as faultRelay from '../../stand_ins/fault_relay.js';
import * as httpClientSupport from '../support/http_client.js';
import * as listen from '../../src/links/listen.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as httpClient from '../../platform/http_client.js';

const {describe, test} = nodeTest;

/** Time by which a timeout may be late on a loaded machine. */
const MAXIMUM_DELAY_MS = 500;

type Handler = (path: string, response: http.ServerResponse) => void;

interface TestServer {
  readonly address: string;
  readonly paths: string[];
  readonly connectionCount: () => number;
  readonly close: () => void;
}

/** Response that a test server holds back until a test releases it. */
class HeldResponse {
  private hold: (response: http.ServerResponse) => void = () => {};
  private readonly held = new Promise<http.ServerResponse>(resolve => {
    this.hold = resolve;
  });

  /** Holds the response to `/slow` and answers all other calls at once. */
  readonly handler: Handler = (path, response) => {
    if (path === '/slow') this.hold(response);
    else response.end('done');
  };

  /** Sends the response, once its call has arrived. */
  async release(): Promise<void> {
    const response = await this.held;
    response.end('slow');
  }
}

/** Starts a server that records the paths of the calls it receives. */
async function startServer(handler: Handler): Promise<TestServer> {
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    const path = request.url ?? '';
    paths.push(path);
    request.resume().on('end', () => handler(path, response));
  });
  let connections = 0;
  server.on('connection', () => (connections += 1));
  const host = loopbackAddress.randomLoopbackAddress();
  const port = await listen.listen(server, host, 0);
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  const connectionCount = (): number => connections;
  return {address: `${host}:${port}`, paths, connectionCount, close};
}

function get(
  client: httpClient.HttpClient,
  address: string,
  path: string,
  timeoutMs = 2_000,
): Promise<httpClient.HttpOutcome> {
  return client.call({
    purpose: 'test',
    method: 'GET',
    address,
    path,
    timeoutMs,
  });
}

describe('HTTP client', () => {
  // Guards against truncated bodies when a response arrives in several chunks.
  test('returns the whole body', async () => {
    const server = await startServer((_path, response) => {
      response.write('first ');
      setTimeout(() => response.end('second'), 20);
    });
    const client = httpClientSupport.createHttpClient(1);
    const outcome = await get(client, server.address, '/');
    assert.ok(outcome.kind === 'answered');
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body.toString(), 'first second');
    client.close();
    server.close();
  });

  // Guards against a feed that is lost for as many timeouts as it has idle
  // connections, because all of them went silent together.
  test('silent connections were tried one after the other: closes the idle ones with the first', async () => {
    const server = await startServer((_path, response) => {
      setTimeout(() => response.end('done'), 20);
    });
    const relay = new faultRelay.FaultRelay(server.address);
    const address = await relay.listen(loopbackAddress.randomLoopbackAddress());
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(8, counters, true);
    await Promise.all(
      Array.from({length: 8}, () => get(client, address, '/open')),
    );
    relay.silenceConnections();
    const first = await get(client, address, '/first', 300);
    assert.equal(first.kind, 'unanswered');
    const second = await get(client, address, '/second');
    assert.equal(second.kind, 'answered');
    client.close();
    relay.close();
    server.close();
  });

  // Guards against memory that grows with each worker that has ever been called.
  test('forgets an address that is no longer called', async () => {
    const first = await startServer((_path, response) => response.end('done'));
    const second = await startServer((_path, response) => response.end('done'));
    const poolClock = new simulatedClock.SimulatedClock();
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(
      2,
      counters,
      false,
      poolClock,
    );
    await get(client, first.address, '/');
    await get(client, second.address, '/');
    assert.equal(client.poolCount, 2);
    await poolClock.advance(61_000);
    await get(client, second.address, '/');
    assert.equal(client.poolCount, 1);
    client.close();
    first.close();
    second.close();
  });

  // Guards against a good connection that is closed with a silent one.
  test('keeps the connections that answered after the silent call was sent', async () => {
    const server = await startServer((path, response) => {
      if (path !== '/silent') response.end('done');
    });
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(8, counters, true);
    const silent = get(client, server.address, '/silent', 400);
    await new Promise(resolve => setTimeout(resolve, 50));
    await get(client, server.address, '/good');
    assert.equal((await silent).kind, 'unanswered');
    await get(client, server.address, '/good');
    assert.equal(server.connectionCount(), 2);
    client.close();
    server.close();
  });

  // Guards against a command that is sent after its caller has given it up: the
  // decision behind it is outdated after the wait for a connection.
  test('does not send a call that timed out in the queue', async () => {
    const slowResponse = new HeldResponse();
    const server = await startServer(slowResponse.handler);
    const client = httpClientSupport.createHttpClient(1);
    const slow = get(client, server.address, '/slow');
    const late = await get(client, server.address, '/late', 100);
    assert.equal(late.kind, 'notSent');
    await slowResponse.release();
    assert.equal((await slow).kind, 'answered');
    assert.equal((await get(client, server.address, '/next')).kind, 'answered');
    assert.deepEqual(server.paths, ['/slow', '/next']);
    client.close();
    server.close();
  });

  // Guards against a healthy connection that is closed for each call that timed
  // out while it waited for the connection.
  test('keeps its connection when a call times out in the queue', async () => {
    const slowResponse = new HeldResponse();
    const server = await startServer(slowResponse.handler);
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(1, counters);
    const slow = get(client, server.address, '/slow');
    await get(client, server.address, '/late', 100);
    await slowResponse.release();
    assert.equal((await slow).kind, 'answered');
    assert.equal((await get(client, server.address, '/next')).kind, 'answered');
    assert.equal(server.connectionCount(), 1);
    assert.equal(counters.get('call_timeouts', 'worker.queued'), 1);
    client.close();
    server.close();
  });

  // Guards against a start that leaves after the permission for it has ended: it
  // waited for a connection, or the process stood still.
  test('withdraws a call that may not be sent any more when its turn comes', async () => {
    const server = await startServer((path, response) => {
      if (path === '/slow') setTimeout(() => response.end('slow'), 100);
      else response.end('done');
    });
    const client = httpClientSupport.createHttpClient(1);
    const slow = get(client, server.address, '/slow');
    const withdrawn = client.call({
      purpose: 'start',
      method: 'GET',
      address: server.address,
      path: '/withdrawn',
      timeoutMs: 1_000,
      maySend: () => false,
    });
    const next = get(client, server.address, '/next');
    assert.equal((await withdrawn).kind, 'notSent');
    assert.equal((await slow).kind, 'answered');
    assert.equal((await next).kind, 'answered');
    assert.deepEqual(server.paths, ['/slow', '/next']);
    assert.equal(server.connectionCount(), 1);
    client.close();
    server.close();
  });

  // Guards against calls that are lost or reordered by the wait for the only
  // connection.
  test('sends the calls that wait for a connection in order', async () => {
    const server = await startServer((_path, response) => response.end('done'));
    const client = httpClientSupport.createHttpClient(1);
    const paths = ['/1', '/2', '/3', '/4'];
    const outcomes = await Promise.all(
      paths.map(path => get(client, server.address, path)),
    );
    for (const {kind} of outcomes) assert.equal(kind, 'answered');
    assert.deepEqual(server.paths, paths);
    assert.equal(server.connectionCount(), 1);
    client.close();
    server.close();
  });

  // Guards against one more connection to a machine without power for each call
  // to it, and against calls that count as possibly carried out there.
  test('waits for one connection to a machine that is gone', async () => {
    const thread = new workerThreads.Worker(
      new URL('../support/full_backlog_thread.js', import.meta.url),
    );
    const address = await new Promise<string>(resolve =>
      thread.once('message', resolve),
    );
    const [host, port] = address.split(':');
    const fillers = [1, 2].map(() => net.connect(Number(port), host));
    await Promise.all(
      fillers.map(
        socket => new Promise<void>(resolve => socket.once('connect', resolve)),
      ),
    );
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(4, counters);
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const startedAtMs = performance.now();
      const outcome = await get(client, address, '/', 200);
      const detail = 'no connection within 200 ms';
      assert.deepEqual(outcome, {kind: 'notSent', detail});
      const elapsedMs = performance.now() - startedAtMs;
      assert.ok(elapsedMs < 200 + MAXIMUM_DELAY_MS, `${elapsedMs} ms`);
    }
    const startedAtMs = performance.now();
    assert.equal((await get(client, address, '/', 3_000)).kind, 'notSent');
    const elapsedMs = performance.now() - startedAtMs;
    assert.ok(elapsedMs < 2_000, `${elapsedMs} ms`);
    assert.equal(counters.get('call_timeouts', 'worker.connecting'), 3);
    assert.deepEqual(counters.reasons('connections_opened'), ['worker.first']);
    client.close();
    for (const socket of fillers) socket.destroy();
    await thread.terminate();
  });

  // Guards against reuse of a silent connection, on which the next call would
  // time out as well.
  test('closes the connection of a call that timed out', async () => {
    const server = await startServer((path, response) => {
      if (path !== '/silent') response.end('done');
    });
    const client = httpClientSupport.createHttpClient(1);
    const silent = await get(client, server.address, '/silent', 100);
    assert.deepEqual(silent, {kind: 'unanswered', detail: 'timeout 100 ms'});
    assert.equal((await get(client, server.address, '/')).kind, 'answered');
    client.close();
    server.close();
  });

  // Guards against a successor that never reads the whole journal, because a
  // narrow link carries it in more time than a call has.
  test('a large response was given up while it arrived: waits as long as parts arrive', async () => {
    const server = await startServer((path, response) => {
      let sentCount = 0;
      const timer = setInterval(() => {
        sentCount += 1;
        response.write('part ');
        if (path === '/stalls' && sentCount === 2) clearInterval(timer);
        if (sentCount < 12) return;
        clearInterval(timer);
        response.end();
      }, 50);
    });
    const client = httpClientSupport.createHttpClient(2);
    let byteCount = 0;
    const request = {
      purpose: 'test',
      method: 'GET',
      address: server.address,
      timeoutMs: 400,
      onPart: (size: number): void => {
        byteCount += size;
      },
    } as const;
    const whole = await client.call({...request, path: '/whole'});
    assert.equal(whole.kind, 'answered');
    assert.equal(byteCount, 60);
    const stalled = await client.call({...request, path: '/stalls'});
    assert.equal(stalled.kind, 'unanswered');
    client.close();
    server.close();
  });

  // Guards against calls that are given up and repeated while they wait for the
  // VM's own link, which fills it for good.
  test('a call behind a full link was repeated: adds the time that the link needs to the timeout', async () => {
    const server = await startServer((_path, response) => {
      setTimeout(() => response.end('done'), 400);
    });
    const bytesPerSecond = 10_000;
    const client = httpClientSupport.createHttpClient(
      2,
      new recordedCounters.RecordedCounters(),
      false,
      new clock.SystemClock(),
      bytesPerSecond,
    );
    const body = 'x'.repeat(bytesPerSecond);
    const outcome = await client.call({
      purpose: 'test',
      method: 'POST',
      address: server.address,
      path: '/',
      body,
      timeoutMs: 200,
    });
    assert.equal(outcome.kind, 'answered');
    client.close();
    server.close();
  });

  // Guards against an uncertain outcome for a call that reached no server.
  test('reports a refused connection as refused', async () => {
    const server = await startServer(() => {});
    server.close();
    const counters = new recordedCounters.RecordedCounters();
    const client = httpClientSupport.createHttpClient(1, counters);
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const outcome = await get(client, server.address, '/');
      assert.deepEqual(outcome, {kind: 'refused'});
    }
    const causes = counters.reasons('connections_opened');
    assert.deepEqual(causes, ['worker.first', 'worker.afterFailure']);
    client.close();
  });

  // Guards against a crash of the process on an invalid address, which the
  // registry may contain.
  test('does not reject for an invalid address', async () => {
    const client = httpClientSupport.createHttpClient(1);
    assert.equal((await get(client, 'no address', '/')).kind, 'notSent');
    client.close();
  });

  // Guards against an answer of a worker or the store that ends the process or
  // leaves its caller without an outcome.
  test('ends each call whatever its server answers', async () => {
    const heads = [
      'HTTP/1.1 200 OK',
      'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK',
      'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x',
      'HTTP/1.1 103 Early Hints',
      'HTTP/1.1 204 No Content',
      'HTTP/1.1 304 Not Modified',
      'HTTP/1.1 999 Odd',
      'HTTP/2.0 200 OK',
      'ICY 200 OK',
      '',
    ];
    const headers = [
      'Content-Length: 5',
      'Content-Length: -1',
      'Content-Length: 99999999999999999999',
      'Transfer-Encoding: chunked',
      'Connection: close',
      'Keep-Alive: timeout=-1',
      `X-Large: ${'x'.repeat(100_000)}`,
      'No colon',
    ];
    const answers = fastCheck.sample(
      fastCheck.oneof(
        fastCheck.uint8Array({maxLength: 100}),
        fastCheck
          .tuple(
            fastCheck.constantFrom(...heads),
            fastCheck.array(fastCheck.constantFrom(...headers), {maxLength: 3}),
            fastCheck.string({maxLength: 20}),
          )
          .map(([head, lines, body]) =>
            Buffer.from([head, ...lines, '', body].join('\r\n')),
          ),
      ),
      {seed: 20_261_206, numRuns: 120},
    );
    let answer: Uint8Array = Buffer.from('');
    const server = net.createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () => socket.write(answer));
    });
    const host = loopbackAddress.randomLoopbackAddress();
    const port = await listen.listen(server, host, 0);
    const client = httpClientSupport.createHttpClient(2);
    const kinds = new Set<string>();
    for (answer of answers) {
      const outcome = await get(client, `${host}:${port}`, '/', 60);
      kinds.add(outcome.kind);
    }
    assert.ok(kinds.has('answered') && kinds.has('unanswered'));
    client.close();
    server.close();
  });
});
