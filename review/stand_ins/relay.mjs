import * as net from 'node:net';

/**
 * TCP relay on the loopback interface. While it is silent nothing passes in
 * either direction, and what was on its way is lost; connections that were
 * open then stay silent until they are reset or their caller closes them. While
 * it is deaf, the same holds for the direction towards the target only.
 */
export class Relay {
  constructor() {
    this.silent = false;
    this.deaf = false;
    this.pairs = new Set();
    this.server = net.createServer(incoming => this.accept(incoming));
  }

  async listen(host, targetPort) {
    this.host = host;
    this.targetPort = targetPort;
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    for (const pair of [...this.pairs]) this.destroy(pair);
    this.server.close();
  }

  /** Cuts the path in both directions, without any reset. */
  cut() {
    this.silent = true;
    for (const pair of this.pairs) pair.dead = true;
  }

  /** Cuts the path towards the target, without any reset. */
  cutOneWay() {
    this.deaf = true;
    for (const pair of this.pairs) pair.deaf = true;
  }

  /** Lets new connections pass again. */
  heal() {
    this.silent = false;
    this.deaf = false;
  }

  /** Resets the connections on which bytes were lost, as a new host does. */
  resetLost() {
    for (const pair of [...this.pairs]) {
      if (pair.dead && pair.lostBytes) this.reset(pair);
    }
    this.resetsDead = true;
  }

  accept(incoming) {
    const outgoing = net.connect(this.targetPort, this.host);
    const pair = {incoming, outgoing, lostBytes: false};
    pair.dead = this.silent;
    pair.deaf = this.deaf;
    this.pairs.add(pair);
    incoming.on('data', bytes => {
      if (!pair.dead && !pair.deaf) {
        outgoing.write(bytes);
        return;
      }
      pair.lostBytes = true;
      if (this.resetsDead && !this.silent) this.reset(pair);
    });
    outgoing.on('data', bytes => {
      if (!pair.dead) incoming.write(bytes);
    });
    for (const socket of [incoming, outgoing]) {
      socket.on('error', () => {});
      socket.setNoDelay(true);
    }
    incoming.on('close', () => this.destroy(pair));
    outgoing.on('close', () => {
      if (!pair.dead) this.destroy(pair);
    });
  }

  reset(pair) {
    pair.incoming.resetAndDestroy();
    this.destroy(pair);
  }

  destroy(pair) {
    this.pairs.delete(pair);
    pair.incoming.destroy();
    pair.outgoing.destroy();
  }
}
