import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
import * as wait from '../support/wait.js';

/** A server that answers, holds or drops calls by their paths. */
class Target implements standInServer.StandInHandler {
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

function get(
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
    maxResponseBytes: 1_000,
  };
}

function buildCaller(
  silent: string[] = [],
  connections = {minimum: 1, initial: 2, maximum: 4},
): pooledHttpClient.PooledHttpClient {
  return new pooledHttpClient.PooledHttpClient({
    connections,
    probePath: '/probe',
    onSilent: address => silent.push(address),
    onConnected: socket => assert.ok(socket.remotePort !== undefined),
  });
}

nodeTest.describe('outcomes of a call', () => {
  nodeTest.test('a refused connection is proved not sent', async () => {
    const caller = buildCaller();
    const outcome = await caller.call(get('127.0.0.1:1', '/'));
    assert.equal(outcome.kind, 'notSent');
    await caller.close();
  });

  // Guards against a start that is sent twice because a library retries.
  nodeTest.test('a dropped call is lost and is not repeated', async () => {
    const target = new Target();
    const address = await target.server.listen(0);
    const caller = buildCaller();
    const outcome = await caller.call(get(address, '/drop'));
    assert.equal(outcome.kind, 'lost');
    await caller.call(get(address, '/after'));
    assert.deepEqual(target.paths, ['/drop', '/after']);
    await caller.close();
    target.server.close();
  });
});

nodeTest.describe('silent connections', () => {
  nodeTest.test('a probe replaces them and later calls work', async () => {
    const target = new Target();
    const address = await target.server.listen(0);
    const silent: string[] = [];
    const caller = buildCaller(silent, {minimum: 1, initial: 1, maximum: 1});
    await caller.call(get(address, '/first'));
    target.server.silenceConnections();
    const lost = await caller.call(get(address, '/second'));
    assert.equal(lost.kind, 'lost');
    await wait.until('the probe', async () => silent[0]);
    const after = await caller.call(get(address, '/third'));
    assert.equal(after.kind, 'answered');
    assert.deepEqual(target.paths, ['/first', '/probe', '/third']);
    await caller.close();
    target.server.close();
  });

  // Guards against cutting off calls on connections that still work.
  nodeTest.test('calls in progress go on over the old ones', async () => {
    const target = new Target();
    const address = await target.server.listen(0);
    const silent: string[] = [];
    const caller = buildCaller(silent);
    const held = caller.call(get(address, '/hold', 10_000));
    await caller.call(get(address, '/never'));
    await wait.until('the probe', async () => silent[0]);
    target.held[0]();
    assert.equal((await held).kind, 'answered');
    await caller.close();
    target.server.close();
  });
});

nodeTest.describe('connections of one address', () => {
  nodeTest.test('they stay below the limit, which adapts', async () => {
    const target = new Target();
    const address = await target.server.listen(0);
    const caller = buildCaller([], {minimum: 1, initial: 1, maximum: 3});
    const calls = Array.from({length: 50}, () =>
      caller.call(get(address, '/', 5_000)),
    );
    const outcomes = await Promise.all(calls);
    assert.ok(outcomes.every(item => item.kind === 'answered'));
    assert.equal(caller.connectionLimit(address), 3);
    assert.ok(target.server.connectionCount() <= 3);
    target.server.close();
    await caller.call(get(address, '/'));
    assert.equal(caller.connectionLimit(address), 1);
    await caller.close();
  });

  nodeTest.test('a call that gets no turn in time is not sent', async () => {
    const target = new Target();
    const address = await target.server.listen(0);
    const caller = buildCaller([], {minimum: 1, initial: 1, maximum: 1});
    const held = caller.call(get(address, '/hold', 10_000));
    const queued = await caller.call(get(address, '/queued', 50));
    assert.equal(queued.kind, 'notSent');
    target.held[0]();
    await held;
    assert.deepEqual(target.paths, ['/hold']);
    await caller.close();
    target.server.close();
  });
});
