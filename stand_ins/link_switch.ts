import * as net from 'node:net';
import * as listen from '../src/links/listen.js';
import * as switchedLink from './switched_link.js';
import type * as linkFault from './link_fault.js';

const LINE_FEED = 0x0a;

/**
 * Switch on the loopback interface between the processes of a cell and what
 * they connect to. It knows both endpoints of each connection, and silences
 * those that a fault names. `switched_connections.ts` sends the connections of
 * a process here.
 */
export class LinkSwitch {
  private readonly server: net.Server;
  private readonly endpointsByAddress = new Map<string, linkFault.Endpoint>();
  private readonly endpointsByName = new Map<string, linkFault.Endpoint>();
  private readonly faults = new Set<linkFault.LinkFault>();
  private readonly links = new Set<switchedLink.SwitchedLink>();
  private readonly unknown = new Set<string>();
  private host = '';
  private port = 0;

  constructor() {
    this.server = net.createServer(incoming => this.accept(incoming));
  }

  /** Starts listening on a free port. */
  async listen(host: string): Promise<void> {
    this.port = await listen.listen(this.server, host, 0);
    this.host = host;
  }

  /** Environment of a process whose connections go through the switch. */
  environmentOf(name: string): Readonly<Record<string, string>> {
    const preload = new URL('./switched_connections.js', import.meta.url);
    return {
      NODE_OPTIONS: `--import ${preload.href}`,
      LINK_SWITCH_HOST: this.host,
      LINK_SWITCH_PORT: String(this.port),
      LINK_SWITCH_SOURCE: name,
    };
  }

  /** Adds an address of an endpoint. */
  addAddress(address: string, endpoint: linkFault.Endpoint): void {
    this.endpointsByAddress.set(address, endpoint);
    this.endpointsByName.set(endpoint.name, endpoint);
  }

  /** Connections to addresses or from processes that nobody has added. */
  get unknownLinks(): ReadonlyArray<string> {
    return [...this.unknown];
  }

  /** Starts a fault on the present and on all later connections. */
  beginFault(fault: linkFault.LinkFault): void {
    this.faults.add(fault);
  }

  /** Ends a fault; its links deliver what they held, or are reset. */
  endFault(fault: linkFault.LinkFault, ending: switchedLink.FaultEnding): void {
    this.faults.delete(fault);
    for (const link of [...this.links]) {
      if (!link.isSilencedBy(fault)) continue;
      if (ending === 'reset') link.reset();
      else link.deliver();
    }
  }

  close(): void {
    for (const link of [...this.links]) link.reset();
    this.server.close();
  }

  private accept(incoming: net.Socket): void {
    let received = Buffer.alloc(0);
    const readHeader = (bytes: Buffer): void => {
      received = Buffer.concat([received, bytes]);
      const headerEnd = received.indexOf(LINE_FEED);
      if (headerEnd < 0) return;
      incoming.off('data', readHeader);
      incoming.pause();
      const header = received.subarray(0, headerEnd).toString();
      this.connect(incoming, header, received.subarray(headerEnd + 1));
    };
    incoming.on('error', () => incoming.destroy());
    incoming.on('data', readHeader);
  }

  private connect(incoming: net.Socket, header: string, rest: Buffer): void {
    const [sourceName, address] = header.split(' ');
    const source = this.endpointsByName.get(sourceName);
    const target = this.endpointsByAddress.get(address);
    if (source === undefined || target === undefined) {
      this.unknown.add(header);
      incoming.destroy();
      return;
    }
    const link = new switchedLink.SwitchedLink(incoming, {
      source,
      target,
      address,
      isSilenced: (sender, receiver) => this.isSilenced(sender, receiver),
      closed: () => this.links.delete(link),
    });
    this.links.add(link);
    link.start(rest);
  }

  private isSilenced(
    sender: linkFault.Endpoint,
    receiver: linkFault.Endpoint,
  ): boolean {
    for (const fault of this.faults) {
      if (fault.silences(sender, receiver)) return true;
    }
    return false;
  }
}
