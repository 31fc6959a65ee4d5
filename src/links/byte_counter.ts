import type * as sinks from '../operations/sinks.js';
import type * as net from 'node:net';

/** Interval at which the bytes of open connections are counted. */
const COUNT_INTERVAL_MS = 10_000;

interface CountedBytes {
  readonly labels: Readonly<Record<string, string>>;
  receivedBytes: number;
  sentBytes: number;
}

/** Counts the bytes of connections by link and by the zone of the peer. */
export class ByteCounter {
  private readonly sockets = new Map<net.Socket, CountedBytes>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly metrics: sinks.MetricsSink) {
    this.timer = setInterval(
      () => this.countAllConnections(),
      COUNT_INTERVAL_MS,
    );
    this.timer.unref();
  }

  /** Counts the bytes of a connection until it is closed. */
  track(socket: net.Socket, link: string, zone: string): void {
    this.sockets.set(socket, {
      labels: {link, zone},
      receivedBytes: 0,
      sentBytes: 0,
    });
    socket.once('close', () => {
      this.countConnection(socket);
      this.sockets.delete(socket);
    });
  }

  /** Counts the bytes since the last count and stops the timer. */
  close(): void {
    clearInterval(this.timer);
    this.countAllConnections();
  }

  private countAllConnections(): void {
    for (const socket of this.sockets.keys()) this.countConnection(socket);
  }

  private countConnection(socket: net.Socket): void {
    const totals = this.sockets.get(socket);
    if (totals === undefined) return;
    const receivedBytes = socket.bytesRead;
    const sentBytes = socket.bytesWritten;
    this.addToMetric(
      'bytes_received',
      totals.labels,
      receivedBytes - totals.receivedBytes,
    );
    this.addToMetric('bytes_sent', totals.labels, sentBytes - totals.sentBytes);
    totals.receivedBytes = receivedBytes;
    totals.sentBytes = sentBytes;
  }

  private addToMetric(
    metric: string,
    labels: Readonly<Record<string, string>>,
    bytes: number,
  ): void {
    if (bytes > 0) this.metrics.count(metric, labels, bytes);
  }
}
