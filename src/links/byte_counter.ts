import type * as sinks from '../operations/sinks.js';
import type * as net from 'node:net';

/** Time between counts of connections that stay open. */
const COUNT_INTERVAL_MS = 10_000;

interface Counted {
  readonly labels: Readonly<Record<string, string>>;
  received: number;
  sent: number;
}

/** Counts the bytes of connections by link and by the zone at the other end. */
export class ByteCounter {
  private readonly sockets = new Map<net.Socket, Counted>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly metrics: sinks.MetricsSink) {
    this.timer = setInterval(() => this.countAll(), COUNT_INTERVAL_MS);
    this.timer.unref();
  }

  /** Counts a connection until it is closed. */
  track(socket: net.Socket, link: string, zone: string): void {
    this.sockets.set(socket, {labels: {link, zone}, received: 0, sent: 0});
    socket.once('close', () => {
      this.count(socket);
      this.sockets.delete(socket);
    });
  }

  /** Counts what has not been counted and ends. */
  close(): void {
    clearInterval(this.timer);
    this.countAll();
  }

  private countAll(): void {
    for (const socket of this.sockets.keys()) this.count(socket);
  }

  private count(socket: net.Socket): void {
    const counted = this.sockets.get(socket);
    if (counted === undefined) return;
    const received = socket.bytesRead;
    const sent = socket.bytesWritten;
    this.add('bytes_received', counted.labels, received - counted.received);
    this.add('bytes_sent', counted.labels, sent - counted.sent);
    counted.received = received;
    counted.sent = sent;
  }

  private add(
    metric: string,
    labels: Readonly<Record<string, string>>,
    bytes: number,
  ): void {
    if (bytes > 0) this.metrics.count(metric, labels, bytes);
  }
}
