import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as linkFault from '../../stand_ins/link_fault.js';
import * as linkSwitch from '../../stand_ins/link_switch.js';
import * as listen from '../../src/links/listen.js';
import * as wait from '../support/wait.js';

const HOST = '127.0.0.1';

/** Time after which bytes that pass have certainly arrived. */
const ARRIVAL_MS = 150;

const VM: linkFault.Endpoint = {kind: 'vm', name: 'node-0', zone: 'zone-a'};
const WORKER: linkFault.Endpoint = {
  kind: 'worker',
  name: 'worker-0',
  zone: 'zone-b',
};

/** A server that collects what it receives and answers each chunk. */
class EchoServer {
  received = '';
  hasEnded = false;
  private readonly server = net.createServer(socket => {
    socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
      socket.write(`answer to ${bytes.toString()}`);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => (this.hasEnded = true));
  });

  async listen(): Promise<string> {
    return `${HOST}:${await listen.listen(this.server, HOST, 0)}`;
  }

  close(): void {
    this.server.close();
  }
}

/** A connection of the VM to the worker through the switch. */
class SwitchedClient {
  received = '';
  error: Error | undefined;
  readonly socket: net.Socket;

  constructor(environment: Readonly<Record<string, string>>, address: string) {
    const port = Number(environment.LINK_SWITCH_PORT);
    this.socket = net.connect(port, environment.LINK_SWITCH_HOST);
    this.socket.write(`${environment.LINK_SWITCH_SOURCE} ${address}\n`);
    this.socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString();
    });
    this.socket.on('error', error => (this.error = error));
  }
}

/** Waits until a condition on bytes or connections holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
  await wait.until(String(condition), async () => condition() || undefined);
}

nodeTest.describe('a switch that cuts a group of endpoints off', () => {
  let links: linkSwitch.LinkSwitch;
  let server: EchoServer;
  let address: string;

  const connect = (): SwitchedClient =>
    new SwitchedClient(links.environmentOf(VM.name), address);

  const cut = (
    direction: linkFault.CutDirection,
    spared: linkFault.SparedLinks = 'none',
  ): linkFault.LinkFault => {
    const fault = new linkFault.GroupCut(new Set([VM.name]), direction, spared);
    links.beginFault(fault);
    return fault;
  };

  nodeTest.beforeEach(async () => {
    links = new linkSwitch.LinkSwitch();
    server = new EchoServer();
    await links.listen(HOST);
    address = await server.listen();
    links.addAddress(`${HOST}:1`, VM);
    links.addAddress(address, WORKER);
  });

  nodeTest.afterEach(() => {
    links.close();
    server.close();
  });

  // Guards against calls that a cut loses although they may arrive late.
  nodeTest.test('delivers held bytes after a cut', async () => {
    const client = connect();
    client.socket.write('first');
    await waitUntil(() => client.received === 'answer to first');
    const fault = cut('both');
    client.socket.write('second');
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(server.received, 'first');
    links.endFault(fault, 'deliver');
    await waitUntil(() => client.received.endsWith('answer to second'));
  });

  // Guards against a cut that forgets what a killed process had sent.
  nodeTest.test('delivers calls of a process that has ended', async () => {
    const fault = cut('both');
    const client = connect();
    client.socket.write('start');
    await timers.setTimeout(ARRIVAL_MS);
    client.socket.resetAndDestroy();
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(server.received, '');
    links.endFault(fault, 'deliver');
    await waitUntil(() => server.received === 'start' && server.hasEnded);
  });

  // Guards against a one-way cut that stops both directions, or none.
  nodeTest.test('stops only what comes in', async () => {
    const fault = cut('inbound');
    const client = connect();
    client.socket.write('call');
    await waitUntil(() => server.received === 'call');
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(client.received, '');
    links.endFault(fault, 'deliver');
    await waitUntil(() => client.received === 'answer to call');
  });

  // Guards against a one-way cut that stops both directions, or none.
  nodeTest.test('stops only what goes out', async () => {
    const client = connect();
    client.socket.write('call');
    await waitUntil(() => client.received === 'answer to call');
    cut('outbound');
    client.socket.write('lost');
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(server.received, 'call');
  });

  // Guards against connections that outlive a cut that breaks them.
  nodeTest.test('resets the connections of a cut', async () => {
    const client = connect();
    client.socket.write('call');
    await waitUntil(() => client.received === 'answer to call');
    const fault = cut('both');
    client.socket.write('lost');
    await timers.setTimeout(ARRIVAL_MS);
    links.endFault(fault, 'reset');
    await waitUntil(() => client.error !== undefined);
    assert.equal(server.received, 'call');
  });

  // Guards against a cut that takes links with it that it spares.
  nodeTest.test('spares the links to workers', async () => {
    cut('both', 'workers');
    const client = connect();
    client.socket.write('call');
    await waitUntil(() => client.received === 'answer to call');
  });

  // Guards against a cut of the store that stops other links.
  nodeTest.test('spares all links but those to the store', async () => {
    cut('both', 'allButStore');
    links.beginFault(new linkFault.StoreSilence());
    const client = connect();
    client.socket.write('call');
    await waitUntil(() => client.received === 'answer to call');
  });

  // Guards against connections that no fault can reach.
  nodeTest.test('names connections to unknown addresses', async () => {
    const client = new SwitchedClient(links.environmentOf(VM.name), 'x:1');
    await waitUntil(() => client.socket.destroyed);
    assert.deepEqual(links.unknownLinks, ['node-0 x:1']);
  });
});
