import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';
import * as blockedLoop from './blocked_loop.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';

const HOST = loopbackAddress.randomLoopbackAddress();

/** Time for which the server accepts no connection. */
const BLOCK_MS = 60_000;

// A server whose backlog is full: the system answers no further connection
// attempts, as if the machine had lost its power.
const server = net.createServer();
server.listen({port: 0, host: HOST, backlog: 1}, () => {
  const {port} = server.address() as net.AddressInfo;
  workerThreads.parentPort?.postMessage(`${HOST}:${port}`);
  setImmediate(() => blockedLoop.blockLoop(BLOCK_MS));
});
