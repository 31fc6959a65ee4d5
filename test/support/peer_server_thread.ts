import * as workerThreads from 'node:worker_threads';
import * as callNumberAllocator from '../../src/links/call_number_allocator.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';
import * as peerServer from '../../src/links/peer_server.js';

// Serves probes in a thread of its own and posts its address.
const server = new peerServer.PeerServer(
  'peer-2',
  new callNumberAllocator.CallNumberAllocator(),
  () => {},
);
const host = loopbackAddress.randomLoopbackAddress();
const port = await server.listen(host, 0);
workerThreads.parentPort?.postMessage(`${host}:${port}`);
