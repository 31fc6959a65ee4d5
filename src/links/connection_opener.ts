import * as net from 'node:net';
import type * as undici from 'undici';
import type * as callStatistics from './call_statistics.js';
import type * as responseTimer from '../machines/response_timer.js';

/** Interval of the TCP keep-alive probes of an idle connection. */
const KEEP_ALIVE_INTERVAL_MS = 60_000;

/** Error of a connection that was not opened in time. */
export class ConnectTimeoutError extends Error {
  readonly code = 'CONNECT_TIMEOUT';

  constructor(timeoutMs: number) {
    super(`no connection within ${timeoutMs} ms`);
  }
}

/** Opens one connection, and opens it again after it was closed. */
export class ConnectionOpener {
  private isOpen = false;

  constructor(
    private readonly timer: responseTimer.ResponseTimer,
    private readonly timeoutMs: number,
    private readonly history: callStatistics.ConnectionHistory,
  ) {}

  /** Opens the connection; passed to undici in place of its own connector. */
  open(
    target: undici.buildConnector.Options,
    callback: undici.buildConnector.Callback,
  ): void {
    const socket = net.connect({
      host: target.hostname,
      port: Number(target.port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_INTERVAL_MS,
    });
    this.isOpen = true;
    this.history.recordOpening();
    const timeout = this.timer.start(this.timeoutMs, () =>
      socket.destroy(new ConnectTimeoutError(this.timeoutMs)),
    );
    let isConnected = false;
    socket.once('connect', () => {
      isConnected = true;
      timeout.cancel();
      callback(null, socket);
    });
    // Without a listener, an error of an open connection would be thrown.
    socket.on('error', error => {
      if (!isConnected) callback(error, null);
    });
    socket.once('close', () => {
      timeout.cancel();
      this.recordClose(isConnected ? 'close' : 'failure');
    });
  }

  /** Records why the connection was closed, ahead of the socket's event. */
  recordClose(reason: callStatistics.CloseReason): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.history.recordClose(reason);
  }
}
