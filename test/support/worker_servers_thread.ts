import * as http from 'node:http';
import * as workerThreads from 'node:worker_threads';
import * as listen from '../../src/links/listen.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';

/** Settings of the servers; passed to the thread as its data. */
export interface WorkerServersSettings {
  readonly serverCount: number;
  /** Whether calls are read and never answered. */
  readonly isSilent: boolean;
}

/** First message of the thread. */
export interface WorkerServersStarted {
  readonly addresses: ReadonlyArray<string>;
}

/** Answer to any message that is sent to the thread. */
export interface WorkerServersCounts {
  readonly openedConnections: number;
  readonly closedConnections: number;
  readonly calls: number;
}

const HOST = loopbackAddress.randomLoopbackAddress();

const settings = workerThreads.workerData as WorkerServersSettings;
let openedConnections = 0;
let closedConnections = 0;
let calls = 0;

async function startServer(): Promise<string> {
  const server = http.createServer((request, response) => {
    void serve(request, response);
  });
  // An idle connection is closed by the client only.
  server.keepAliveTimeout = 0;
  server.on('connection', socket => {
    openedConnections += 1;
    socket.once('close', () => (closedConnections += 1));
  });
  return `${HOST}:${await listen.listen(server, HOST, 0)}`;
}

async function serve(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  calls += 1;
  if (settings.isSilent) return;
  const body = JSON.parse(Buffer.concat(chunks).toString() || '{}') as {
    readonly wait_ms?: number;
  };
  const send = (): void => {
    const answer = {clock_ms: performance.now(), running: [], finished: []};
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(answer));
  };
  if (body.wait_ms === undefined || body.wait_ms === 0) send();
  else setTimeout(send, body.wait_ms);
}

const {parentPort} = workerThreads;
const addresses = await Promise.all(
  Array.from({length: settings.serverCount}, startServer),
);
parentPort?.on('message', () => {
  const counts: WorkerServersCounts = {
    openedConnections,
    closedConnections,
    calls,
  };
  parentPort.postMessage(counts);
});
const started: WorkerServersStarted = {addresses};
parentPort?.postMessage(started);
