import * as undiciClient from 'undici/lib/dispatcher/client.js';
import * as callStatistics from './call_statistics.js';
import * as connectionOpener from './connection_opener.js';
import type * as clock from '../machines/clock.js';
import type * as responseTimer from '../machines/response_timer.js';
import type * as undici from 'undici';

/** One HTTP/1 connection, which carries one call at a time. */
export type Connection = undici.Client;

/** Call that waits for a connection. */
export interface ConnectionUser {
  /** Called once, with a connection that is open or will be opened. */
  useConnection(connection: Connection): void;
}

/** Dependencies of a `ConnectionPool`. */
export interface ConnectionPoolOptions {
  readonly clock: clock.Clock;
  readonly timer: responseTimer.ResponseTimer;
  readonly statistics: callStatistics.CallStatistics;
  /** Maximum number of connections. */
  readonly connectionLimit: number;
  /**
   * Whether a call that times out on one connection also closes those that are
   * idle since before the call. Connections that take the same way may go
   * silent together, and calls would try them one after the other.
   */
  readonly closesIdleOnTimeout?: boolean;
}

/** Connection that no call uses. */
interface IdleConnection {
  readonly connection: Connection;
  /** When its last call ended. */
  readonly idleSince: clock.Milliseconds;
}

/** Timeout for opening a connection. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/**
 * Connections to one address. Unlike undici's pool, it forgets a call that no
 * longer waits, and opens no connection in place of a discarded one until a
 * call needs it.
 */
export class ConnectionPool {
  private readonly openers = new Map<
    Connection,
    connectionOpener.ConnectionOpener
  >();
  private idleConnections: IdleConnection[] = [];
  private readonly waitingUsers = new Set<ConnectionUser>();
  private readonly history: callStatistics.ConnectionHistory;
  private readonly origin: URL;
  private lastUsedAt: clock.Milliseconds;

  /** Throws an error if the address is invalid. */
  constructor(
    address: string,
    private readonly options: ConnectionPoolOptions,
  ) {
    this.origin = new URL(`http://${address}`);
    this.history = new callStatistics.ConnectionHistory(options.statistics);
    this.lastUsedAt = options.clock.now();
  }

  get timer(): responseTimer.ResponseTimer {
    return this.options.timer;
  }

  get clock(): clock.Clock {
    return this.options.clock;
  }

  get statistics(): callStatistics.CallStatistics {
    return this.options.statistics;
  }

  /** Returns whether no call has used the pool since a time, or uses it now. */
  isUnusedSince(time: clock.Milliseconds): boolean {
    const hasCalls = this.openers.size > this.idleConnections.length;
    return !hasCalls && this.lastUsedAt < time;
  }

  /** Passes a connection to the user, at once or when one becomes free. */
  acquire(user: ConnectionUser): void {
    this.lastUsedAt = this.options.clock.now();
    const idle = this.idleConnections.pop();
    const connection = idle?.connection ?? this.createConnection();
    if (connection === undefined) this.waitingUsers.add(user);
    else user.useConnection(connection);
  }

  /** Removes a user that waits; has no effect if it does not. */
  withdraw(user: ConnectionUser): void {
    this.waitingUsers.delete(user);
  }

  /** Takes back a connection whose call has ended. */
  release(connection: Connection): void {
    if (!this.openers.has(connection)) return;
    const idleSince = this.options.clock.now();
    this.idleConnections.push({connection, idleSince});
    this.serveWaitingUser();
  }

  /**
   * Takes back a connection whose call has ended before it was opened. The next
   * call waits for it only if no open one is free.
   */
  releaseUnopened(connection: Connection): void {
    if (!this.openers.has(connection)) return;
    const idleSince = this.options.clock.now();
    this.idleConnections.unshift({connection, idleSince});
    this.serveWaitingUser();
  }

  /** Closes a connection that must not be used again. */
  discard(connection: Connection, reason: callStatistics.CloseReason): void {
    this.openers.get(connection)?.recordClose(reason);
    if (!this.openers.delete(connection)) return;
    void connection.destroy();
    this.serveWaitingUser();
  }

  /**
   * Closes a connection on which a call that was sent at `sentAt` has timed
   * out, and with it the idle ones that may be silent too.
   */
  discardSilent(connection: Connection, sentAt: clock.Milliseconds): void {
    const suspects = this.options.closesIdleOnTimeout
      ? this.idleConnections.filter(({idleSince}) => idleSince <= sentAt)
      : [];
    this.idleConnections = this.idleConnections.filter(
      idle => !suspects.includes(idle),
    );
    for (const idle of suspects) this.discard(idle.connection, 'timeout');
    this.discard(connection, 'timeout');
  }

  /** Closes all connections; the calls in progress fail. */
  close(): void {
    for (const connection of this.openers.keys()) void connection.destroy();
    this.openers.clear();
    this.idleConnections = [];
  }

  private serveWaitingUser(): void {
    const [user] = this.waitingUsers;
    if (user === undefined) return;
    this.waitingUsers.delete(user);
    this.acquire(user);
  }

  private createConnection(): Connection | undefined {
    const {connectionLimit, timer} = this.options;
    if (this.openers.size >= connectionLimit) return undefined;
    const opener = new connectionOpener.ConnectionOpener(
      timer,
      CONNECT_TIMEOUT_MS,
      this.history,
    );
    const created = new undiciClient.default(this.origin, {
      pipelining: 1,
      connect: (target, callback) => opener.open(target, callback),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // The timeout of each call replaces the timeouts of the connection.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.openers.set(created, opener);
    return created;
  }
}
