import * as net from 'node:net';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as peerMessages from './peer_messages.js';
import * as peerPb from './generated/peer_pb.js';
import type * as responseTimer from '../machines/response_timer.js';

/** Timeout of a probe. */
const PROBE_TIMEOUT_MS = 1_000;

/** Time after which a connection without calls is closed. */
const IDLE_TIMEOUT_MS = 60_000;

/** Generated client of the peer service. */
export type PeerClient = connect.Client<typeof peerPb.Peer>;

/** Header that tells the peer after which time it may drop a call. */
const TIMEOUT_HEADER = 'connect-timeout-ms';

/** Headers and abort signal of one call. */
export interface PeerCallOptions {
  readonly headers: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
}

/** Listener for the connections to peers. */
export interface ConnectionListener {
  /** A socket was opened. */
  onConnected(socket: net.Socket, peer: string): void;
  /** A silent connection was replaced by a new one that works. */
  onSilent(peer: string): void;
}

interface Connection {
  readonly client: PeerClient;
  readonly session: connectNode.Http2SessionManager;
}

/**
 * Keeps one HTTP/2 connection per peer. After a call has timed out, the
 * connection and a new one are probed; when only the new one answers, it
 * replaces the old one.
 */
export class PeerConnections {
  private readonly connections = new Map<string, Connection>();
  private readonly probingAddresses = new Set<string>();

  constructor(
    private readonly timer: responseTimer.ResponseTimer,
    private readonly listener: ConnectionListener,
  ) {}

  /** Sends one call; rejects when it fails or is not answered in time. */
  async call<Answer>(
    peer: string,
    address: string,
    timeoutMs: number,
    send: (client: PeerClient, options: PeerCallOptions) => Promise<Answer>,
  ): Promise<Answer> {
    const connection = this.connectionTo(peer, address);
    try {
      return await this.sendWithTimeout(connection.client, timeoutMs, send);
    } catch (error) {
      const {code} = connect.ConnectError.from(error);
      if (code === connect.Code.DeadlineExceeded) {
        void this.probe(peer, address, connection);
      }
      throw error;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const {session} of this.connections.values()) session.abort();
    this.connections.clear();
  }

  private connectionTo(peer: string, address: string): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const opened = this.openConnection(peer, address);
    this.connections.set(address, opened);
    return opened;
  }

  private openConnection(peer: string, address: string): Connection {
    const baseUrl = `http://${address}`;
    const session = new connectNode.Http2SessionManager(
      baseUrl,
      {idleConnectionTimeoutMs: IDLE_TIMEOUT_MS},
      {
        createConnection: url => {
          const socket = net.connect(Number(url.port), url.hostname);
          this.listener.onConnected(socket, peer);
          return socket;
        },
      },
    );
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      // Messages have a few hundred bytes; compression would only add headers.
      acceptCompression: [],
      readMaxBytes: peerMessages.MAXIMUM_MESSAGE_BYTES,
    });
    return {client: connect.createClient(peerPb.Peer, transport), session};
  }

  private async probe(
    peer: string,
    address: string,
    oldConnection: Connection,
  ): Promise<void> {
    if (this.probingAddresses.has(address)) return;
    this.probingAddresses.add(address);
    const newConnection = this.openConnection(peer, address);
    const [newWorks, oldWorks] = await Promise.all([
      this.respondsToProbe(newConnection),
      this.respondsToProbe(oldConnection),
    ]);
    this.probingAddresses.delete(address);
    const isSilent =
      newWorks && !oldWorks && this.connections.get(address) === oldConnection;
    if (!isSilent) {
      newConnection.session.abort();
      return;
    }
    this.connections.set(address, newConnection);
    oldConnection.session.abort();
    this.listener.onSilent(peer);
  }

  private async respondsToProbe(connection: Connection): Promise<boolean> {
    try {
      await this.sendWithTimeout(
        connection.client,
        PROBE_TIMEOUT_MS,
        (client, options) => client.probe({}, options),
      );
      return true;
    } catch {
      return false;
    }
  }

  private sendWithTimeout<Answer>(
    client: PeerClient,
    callTimeoutMs: number,
    send: (client: PeerClient, options: PeerCallOptions) => Promise<Answer>,
  ): Promise<Answer> {
    const abortController = new AbortController();
    const timeout = this.timer.start(callTimeoutMs, () => {
      const timeoutError = new connect.ConnectError(
        `no answer within ${callTimeoutMs} ms`,
        connect.Code.DeadlineExceeded,
      );
      abortController.abort(timeoutError);
    });
    return send(client, {
      headers: {[TIMEOUT_HEADER]: String(callTimeoutMs)},
      signal: abortController.signal,
    }).finally(() => timeout.cancel());
  }
}
