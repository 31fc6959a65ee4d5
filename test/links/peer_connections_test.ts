import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';
import * as blockedLoop from '../support/blocked_loop.js';
import * as peerConnections from '../../src/links/peer_connections.js';
import * as responseTimerSupport from '../support/response_timer.js';

const {describe, test} = nodeTest;

describe('peer connections', () => {
  // Guards against an entry process that takes its own lag for silence of the
  // other members: confirmations and offers count as lost.
  test('gives up no answered call in turns of 400 ms', async () => {
    const thread = new workerThreads.Worker(
      new URL('../support/peer_server_thread.js', import.meta.url),
    );
    const address = await new Promise<string>(resolve =>
      thread.once('message', resolve),
    );
    let connectionCount = 0;
    const connections = new peerConnections.PeerConnections(
      responseTimerSupport.createResponseTimer(),
      {
        onConnected: () => (connectionCount += 1),
        onSilent: () => assert.fail('the connection was replaced'),
      },
    );
    let isDone = false;
    const calls = Promise.all(
      Array.from({length: 20}, () =>
        connections.call('peer-2', address, 300, (client, options) =>
          client.probe({}, options),
        ),
      ),
    ).finally(() => (isDone = true));
    while (!isDone) {
      blockedLoop.blockLoop(400);
      await timers.setTimeout(0);
    }
    await calls;
    assert.equal(connectionCount, 1);
    connections.close();
    await thread.terminate();
  });
});
