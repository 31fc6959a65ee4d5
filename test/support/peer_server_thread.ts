import * as workerThreads from 'node:worker_threads';
import * as callNumberAllocator from '../../src/links/call_number_allocator.js';
import * as peerServer from '../../src/links/peer_server.js';

// Serves probes in a thread of its own and posts its address.
const server = new peerServer.PeerServer(
  'peer-2',
  new callNumberAllocator.CallNumberAllocator(),
  () => {},
);
const port = await server.listen('127.0.0.1', 0);
workerThreads.parentPort?.postMessage(`127.0.0.1:${port}`);
