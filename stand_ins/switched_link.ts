import * as net from 'node:net';
import type * as linkFault from './link_fault.js';

/** What happens to the connections of a fault when it ends. */
export type FaultEnding = 'deliver' | 'reset';

/** Endpoints of a connection, and how to ask for their faults. */
export interface LinkOptions {
  readonly source: linkFault.Endpoint;
  readonly target: linkFault.Endpoint;
  /** Address of the target. */
  readonly address: string;
  readonly isSilenced: (
    sender: linkFault.Endpoint,
    receiver: linkFault.Endpoint,
  ) => boolean;
  readonly closed: () => void;
}

/** Bytes in one direction; holds them and their end while it is silenced. */
class HeldBytes {
  private readonly held: Buffer[] = [];
  private hasEnded = false;
  private isEndDelivered = false;
  private receiver: net.Socket | undefined;

  constructor(private readonly isSilenced: () => boolean) {}

  get isFinished(): boolean {
    return this.isEndDelivered;
  }

  setReceiver(receiver: net.Socket): void {
    this.receiver = receiver;
    this.deliver();
  }

  add(bytes: Buffer): void {
    this.held.push(bytes);
    this.deliver();
  }

  end(): void {
    this.hasEnded = true;
    this.deliver();
  }

  deliver(): void {
    if (this.receiver === undefined || this.isSilenced()) return;
    for (const bytes of this.held.splice(0)) this.receiver.write(bytes);
    if (!this.hasEnded || this.isEndDelivered) return;
    this.isEndDelivered = true;
    this.receiver.end();
  }
}

/** One connection through the switch. */
export class SwitchedLink {
  private readonly calls: HeldBytes;
  private readonly answers: HeldBytes;
  private outgoing: net.Socket | undefined;

  constructor(
    private readonly incoming: net.Socket,
    private readonly options: LinkOptions,
  ) {
    const {source, target, isSilenced} = options;
    this.calls = new HeldBytes(() => isSilenced(source, target));
    this.answers = new HeldBytes(() => isSilenced(target, source));
  }

  /** Forwards bytes, of which `received` has already arrived. */
  start(received: Buffer): void {
    if (received.length > 0) this.calls.add(received);
    this.answers.setReceiver(this.incoming);
    this.forward(this.incoming, this.calls);
    this.incoming.resume();
    this.open();
  }

  /** Whether a fault stops bytes of this connection. */
  isSilencedBy(fault: linkFault.LinkFault): boolean {
    const {source, target} = this.options;
    return fault.silences(source, target) || fault.silences(target, source);
  }

  /** Delivers what was held, as far as no other fault silences it. */
  deliver(): void {
    this.open();
    this.calls.deliver();
    this.answers.deliver();
    this.closeIfFinished();
  }

  reset(): void {
    this.incoming.resetAndDestroy();
    this.outgoing?.resetAndDestroy();
    this.options.closed();
  }

  /** Connects to the target unless it can't be reached now. */
  private open(): void {
    const {source, target, address, isSilenced} = this.options;
    if (this.outgoing !== undefined || isSilenced(source, target)) return;
    const [host, port] = address.split(':');
    this.outgoing = net.connect(Number(port), host);
    this.outgoing.on('error', () => this.outgoing?.destroy());
    this.forward(this.outgoing, this.answers);
    this.calls.setReceiver(this.outgoing);
  }

  private forward(sender: net.Socket, bytes: HeldBytes): void {
    sender.on('data', chunk => bytes.add(chunk));
    sender.on('close', () => {
      bytes.end();
      this.closeIfFinished();
    });
  }

  /** Ends the connection once both directions have delivered all. */
  private closeIfFinished(): void {
    const isSenderGone = this.incoming.destroyed && this.calls.isFinished;
    const isReceiverGone = this.outgoing?.destroyed && this.answers.isFinished;
    if (!isSenderGone && !isReceiverGone) return;
    this.incoming.destroySoon();
    this.outgoing?.destroySoon();
    this.options.closed();
  }
}
