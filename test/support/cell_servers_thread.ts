import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';
import * as blockedLoop from './blocked_loop.js';
import * as cellServer from '../../src/links/cell_server.js';
import * as listen from '../../src/links/listen.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';

/** Settings of the servers; passed to the thread as its data. */
export interface CellServersSettings {
  readonly serverCount: number;
  /** Whether connections are accepted and never answered. */
  readonly isSilent: boolean;
  /** Time after which a submission is accepted. */
  readonly submitMs: number;
}

/** Blocks the event loop of the servers. */
export interface BlockRequest {
  readonly blockMs: number;
}

/** Connections of all servers; the answer to a message without a request. */
export interface ConnectionCounts {
  readonly opened: number;
  readonly closed: number;
}

const HOST = loopbackAddress.randomLoopbackAddress();

const settings = workerThreads.workerData as CellServersSettings;
let opened = 0;
let closed = 0;

function countConnection(socket: net.Socket): void {
  opened += 1;
  socket.once('close', () => (closed += 1));
}

const SERVICE = {
  configurationVersion: 1,
  answerPing: () => ({
    newest: undefined,
    incarnation: 'member-1',
    leading: false,
    resigning: false,
    storeSilentMs: 0,
    configurationVersion: 1,
    configurationAgeMs: 0,
    sentAt: 0,
  }),
  submit: async () => {
    await timers.setTimeout(settings.submitMs);
    return {kind: 'accepted'};
  },
} as unknown as cellPeers.CellService;

/** Forwards connections to a member, so that they can be counted. */
async function startServer(): Promise<string> {
  const member = new cellServer.CellServer(SERVICE);
  const memberPort = await member.listen(HOST, 0);
  const relay = net.createServer(socket => {
    countConnection(socket);
    socket.on('error', () => socket.destroy());
    if (settings.isSilent) {
      socket.resume();
      return;
    }
    const target = net.connect(memberPort, HOST);
    target.on('error', () => socket.destroy());
    socket.pipe(target).pipe(socket);
  });
  return `${HOST}:${await listen.listen(relay, HOST, 0)}`;
}

const {parentPort} = workerThreads;
const addresses = await Promise.all(
  Array.from({length: settings.serverCount}, startServer),
);
parentPort?.on('message', (request: BlockRequest | undefined) => {
  if (request !== undefined) {
    blockedLoop.blockLoop(request.blockMs);
    return;
  }
  const counts: ConnectionCounts = {opened, closed};
  parentPort.postMessage(counts);
});
parentPort?.postMessage(addresses);
