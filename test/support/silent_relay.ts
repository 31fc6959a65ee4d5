import * as net from 'node:net';

/** Passes bytes on until its open connections are made silent. */
export class SilentRelay {
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  constructor(target: string) {
    const [host, port] = target.split(':');
    this.server = net.createServer(incoming => {
      const outgoing = net.connect(Number(port), host);
      for (const socket of [incoming, outgoing]) {
        this.sockets.add(socket);
        socket.on('error', () => socket.destroy());
        socket.on('close', () => this.sockets.delete(socket));
      }
      incoming.pipe(outgoing);
      outgoing.pipe(incoming);
    });
  }

  /** Listens and returns the address. */
  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const {port} = this.server.address() as net.AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Makes the open connections silent for good; new ones work. */
  silenceConnections(): void {
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.resume();
    }
  }

  /** Stops the relay. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
