import * as net from 'node:net';
import * as listen from '../src/links/listen.js';

/** How a relay treats the bytes of its connections. */
export type RelayMode =
  | 'pass'
  /** Both directions are delayed. */
  | 'delay'
  /** Bytes from the target are not forwarded. */
  | 'loseAnswers'
  /** Nothing is forwarded in either direction. */
  | 'silent';

/** Delay of each chunk of bytes in mode `delay`. */
const DELAY_MS = 120;

/** TCP relay on the loopback interface that injects network faults. */
export class FaultRelay {
  mode: RelayMode = 'pass';
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly silencedSockets = new WeakSet<net.Socket>();

  constructor(target: string) {
    const [host, port] = target.split(':');
    this.server = net.createServer(incoming => {
      const outgoing = net.connect(Number(port), host);
      this.forward(incoming, outgoing, () => this.mode === 'silent');
      this.forward(
        outgoing,
        incoming,
        () => this.mode === 'silent' || this.mode === 'loseAnswers',
      );
    });
  }

  /** Starts listening on a free port and returns the address. */
  async listen(host = '127.0.0.1'): Promise<string> {
    const port = await listen.listen(this.server, host, 0);
    return `${host}:${port}`;
  }

  /** Resets the open connections; later connections work. */
  reset(): void {
    for (const socket of [...this.sockets]) socket.resetAndDestroy();
  }

  /** Stops forwarding on the open connections; later connections work. */
  silenceConnections(): void {
    for (const socket of this.sockets) this.silencedSockets.add(socket);
  }

  close(): void {
    for (const socket of [...this.sockets]) socket.destroy();
    this.server.close();
  }

  /** Forwards what `from` sends to `to`. */
  private forward(
    from: net.Socket,
    to: net.Socket,
    shouldDrop: () => boolean,
  ): void {
    this.sockets.add(from);
    from.on('data', bytes => {
      // The connection stays paused from here on: bytes after a gap could not
      // be interpreted.
      if (this.silencedSockets.has(from) || shouldDrop()) from.pause();
      else if (this.mode !== 'delay') to.write(bytes);
      else setTimeout(() => to.write(bytes), DELAY_MS);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
