import * as net from 'node:net';
import * as listen from '../src/links/listen.js';

/** What a relay does with the bytes of its connections. */
export type RelayMode =
  | 'pass'
  /** Each way takes longer. */
  | 'delay'
  /** What the target sends does not arrive. */
  | 'loseAnswers'
  /** Nothing arrives on either way. */
  | 'silent';

/** Time by which a delaying relay holds bytes back. */
const DELAY_MS = 120;

/** A TCP relay on the loopback interface that misbehaves on demand. */
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

  /** Listens and returns the address. */
  async listen(): Promise<string> {
    const port = await listen.listen(this.server, '127.0.0.1', 0);
    return `127.0.0.1:${port}`;
  }

  /** Resets the open connections; new ones work. */
  reset(): void {
    for (const socket of [...this.sockets]) socket.resetAndDestroy();
  }

  /** Makes the open connections silent for good; new ones work. */
  silenceConnections(): void {
    for (const socket of this.sockets) this.silencedSockets.add(socket);
  }

  close(): void {
    for (const socket of [...this.sockets]) socket.destroy();
    this.server.close();
  }

  /** Passes on what `from` sends. */
  private forward(
    from: net.Socket,
    to: net.Socket,
    drops: () => boolean,
  ): void {
    this.sockets.add(from);
    from.on('data', bytes => {
      // Lost bytes would leave the rest of a connection without meaning.
      if (this.silencedSockets.has(from) || drops()) from.pause();
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
