import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as blockedLoop from '../support/blocked_loop.js';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
import * as responseTimerSupport from '../support/response_timer.js';
import * as wait from '../support/wait.js';
import * as workerServers from '../support/worker_servers.js';

/** A server that answers, holds, drops or ignores calls by their path. */
class TargetServer implements standInServer.StandInHandler {
  readonly server = new standInServer.StandInServer(this);
  readonly paths: string[] = [];
  readonly held: Array<() => void> = [];

  serve(call: standInServer.StandInCall): void {
    this.paths.push(call.url.pathname);
    if (call.url.pathname === '/hold') {
      this.held.push(() => call.send(200, {held: true}));
    } else if (call.url.pathname === '/drop') call.drop();
    else if (call.url.pathname !== '/never') call.send(200, {});
  }

  control(): void {}

  observe(): unknown {
    return {};
  }
}

function getRequest(
  address: string,
  path: string,
  headersTimeoutMs = 300,
): pooledHttpClient.PooledHttpRequest {
  return {
    method: 'GET',
    address,
    path,
    headersTimeoutMs,
    bodyTimeoutMs: 300,
    maximumResponseBytes: 1_000,
  };
}

function buildClient(
  silentAddresses: string[] = [],
  connections = {minimum: 1, initial: 2, maximum: 4},
): pooledHttpClient.PooledHttpClient {
  return new pooledHttpClient.PooledHttpClient({
    timer: responseTimerSupport.createResponseTimer(),
    connections,
    probePath: '/probe',
    onSilent: address => silentAddresses.push(address),
    onConnected: socket => assert.ok(socket.remotePort !== undefined),
  });
}

nodeTest.describe('outcomes of a request', () => {
  // Guards against a request that is treated as possibly run, and so not
  // retried, although no connection was made.
  nodeTest.test('a refused connection counts as not sent', async () => {
    const client = buildClient();
    const outcome = await client.call(getRequest('127.0.0.1:1', '/'));
    assert.equal(outcome.kind, 'notSent');
    await client.close();
  });

  // Guards against a start that is sent twice because the HTTP library retries
  // a request whose connection was closed.
  nodeTest.test('a dropped request is lost and is not retried', async () => {
    const target = new TargetServer();
    const address = await target.server.listen(0);
    const client = buildClient();
    const outcome = await client.call(getRequest(address, '/drop'));
    assert.equal(outcome.kind, 'lost');
    await client.call(getRequest(address, '/after'));
    assert.deepEqual(target.paths, ['/drop', '/after']);
    await client.close();
    target.server.close();
  });
});

nodeTest.describe('late event loop', () => {
  for (const turnMs of [400, 3_000]) {
    // Guards against requests that count as lost, and connections that are
    // probed and replaced, because this process was busy.
    const name = `gives up no answered request in turns of ${turnMs} ms`;
    nodeTest.test(name, async () => {
      const servers = await workerServers.WorkerServers.start(1);
      const silentAddresses: string[] = [];
      const client = buildClient(silentAddresses);
      const request = {
        ...getRequest(servers.addresses[0], '/'),
        method: 'POST',
        body: {},
      } as const;
      let isDone = false;
      const outcomes = Promise.all([
        client.call(request),
        client.call(request),
      ]).finally(() => (isDone = true));
      while (!isDone) {
        blockedLoop.blockLoop(turnMs);
        await timers.setTimeout(0);
      }
      for (const outcome of await outcomes) {
        assert.equal(outcome.kind, 'answered', JSON.stringify(outcome));
      }
      assert.equal((await servers.counts()).calls, 2);
      assert.deepEqual(silentAddresses, []);
      await client.close();
      await servers.close();
    });
  }
});

nodeTest.describe('silent connections', () => {
  // Guards against an address that stays unreachable because requests keep
  // using a connection that silently lost its packets.
  nodeTest.test('a probe replaces them and later requests work', async () => {
    const target = new TargetServer();
    const address = await target.server.listen(0);
    const silentAddresses: string[] = [];
    const client = buildClient(silentAddresses, {
      minimum: 1,
      initial: 1,
      maximum: 1,
    });
    await client.call(getRequest(address, '/first'));
    target.server.silenceConnections();
    const lost = await client.call(getRequest(address, '/second'));
    assert.equal(lost.kind, 'lost');
    await wait.until('the probe', async () => silentAddresses[0]);
    const after = await client.call(getRequest(address, '/third'));
    assert.equal(after.kind, 'answered');
    assert.deepEqual(target.paths, ['/first', '/probe', '/third']);
    await client.close();
    target.server.close();
  });

  // Guards against aborting requests on connections that still work when
  // another request to the address has timed out.
  nodeTest.test('open requests continue over the old ones', async () => {
    const target = new TargetServer();
    const address = await target.server.listen(0);
    const silentAddresses: string[] = [];
    const client = buildClient(silentAddresses);
    const held = client.call(getRequest(address, '/hold', 10_000));
    await client.call(getRequest(address, '/never'));
    await wait.until('the probe', async () => silentAddresses[0]);
    target.held[0]();
    assert.equal((await held).kind, 'answered');
    await client.close();
    target.server.close();
  });
});

nodeTest.describe('connections of one address', () => {
  // Guards against overloading a worker with connections: the limit must grow
  // with successes and shrink when connections are refused.
  nodeTest.test('their number stays within the adaptive limit', async () => {
    const target = new TargetServer();
    const address = await target.server.listen(0);
    const client = buildClient([], {minimum: 1, initial: 1, maximum: 3});
    const calls = Array.from({length: 50}, () =>
      client.call(getRequest(address, '/', 5_000)),
    );
    const outcomes = await Promise.all(calls);
    assert.ok(outcomes.every(item => item.kind === 'answered'));
    assert.equal(client.connectionLimit(address), 3);
    assert.ok(target.server.connectionCount() <= 3);
    target.server.close();
    await client.call(getRequest(address, '/'));
    assert.equal(client.connectionLimit(address), 1);
    await client.close();
  });

  // Guards against a request that is sent after its caller has given up.
  nodeTest.test('a request without a slot in time is not sent', async () => {
    const target = new TargetServer();
    const address = await target.server.listen(0);
    const client = buildClient([], {minimum: 1, initial: 1, maximum: 1});
    const held = client.call(getRequest(address, '/hold', 10_000));
    const queued = await client.call(getRequest(address, '/queued', 50));
    assert.equal(queued.kind, 'notSent');
    target.held[0]();
    await held;
    assert.deepEqual(target.paths, ['/hold']);
    await client.close();
    target.server.close();
  });
});
