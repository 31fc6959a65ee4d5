import * as net from 'node:net';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as peerMessages from './peer_messages.js';
import * as peerPb from './generated/peer_pb.js';

/** Deadline of a probe. */
const PROBE_DEADLINE_MS = 1_000;

/** Time without calls after which a connection is closed. */
const IDLE_LIMIT_MS = 60_000;

/** A client of the peer service. */
export type PeerClient = connect.Client<typeof peerPb.Peer>;

/** Options of one call. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Hears of connections to peers. */
export interface ConnectionListener {
  /** A connection was made. */
  connected(socket: net.Socket, peer: string): void;
  /** A connection went silent while a new one worked. */
  silent(peer: string): void;
}

interface Connection {
  readonly client: PeerClient;
  readonly session: connectNode.Http2SessionManager;
}

/**
 * One HTTP/2 connection to each peer. A call that misses its deadline causes a
 * probe over the connection and over a new one; the old one is closed when
 * only the new one works.
 */
export class PeerConnections {
  private readonly connections = new Map<string, Connection>();
  private readonly probing = new Set<string>();

  constructor(private readonly listener: ConnectionListener) {}

  /** Sends one call; rejects when no answer came within the deadline. */
  async call<Answer>(
    peer: string,
    address: string,
    deadlineMs: number,
    send: (client: PeerClient, options: PeerCallOptions) => Promise<Answer>,
  ): Promise<Answer> {
    const connection = this.connection(peer, address);
    try {
      return await sendWithin(connection.client, deadlineMs, send);
    } catch (fault) {
      const {code} = connect.ConnectError.from(fault);
      if (code === connect.Code.DeadlineExceeded) {
        void this.probe(peer, address, connection);
      }
      throw fault;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const {session} of this.connections.values()) session.abort();
    this.connections.clear();
  }

  private connection(peer: string, address: string): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const opened = this.open(peer, address);
    this.connections.set(address, opened);
    return opened;
  }

  private open(peer: string, address: string): Connection {
    const baseUrl = `http://${address}`;
    const session = new connectNode.Http2SessionManager(
      baseUrl,
      {idleConnectionTimeoutMs: IDLE_LIMIT_MS},
      {
        createConnection: url => {
          const socket = net.connect(Number(url.port), url.hostname);
          this.listener.connected(socket, peer);
          return socket;
        },
      },
    );
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      // Messages are a few hundred bytes; compression would only add headers.
      acceptCompression: [],
      readMaxBytes: peerMessages.MAX_MESSAGE_BYTES,
    });
    return {client: connect.createClient(peerPb.Peer, transport), session};
  }

  private async probe(
    peer: string,
    address: string,
    old: Connection,
  ): Promise<void> {
    if (this.probing.has(address)) return;
    this.probing.add(address);
    const fresh = this.open(peer, address);
    const [freshWorks, oldWorks] = await Promise.all([
      answersProbe(fresh),
      answersProbe(old),
    ]);
    this.probing.delete(address);
    const silent =
      freshWorks && !oldWorks && this.connections.get(address) === old;
    if (!silent) {
      fresh.session.abort();
      return;
    }
    this.connections.set(address, fresh);
    old.session.abort();
    this.listener.silent(peer);
  }
}

async function answersProbe(connection: Connection): Promise<boolean> {
  try {
    await sendWithin(connection.client, PROBE_DEADLINE_MS, (client, options) =>
      client.probe({}, options),
    );
    return true;
  } catch {
    return false;
  }
}

function sendWithin<Answer>(
  client: PeerClient,
  deadlineMs: number,
  send: (client: PeerClient, options: PeerCallOptions) => Promise<Answer>,
): Promise<Answer> {
  const deadline = new AbortController();
  const timer = setTimeout(() => {
    const late = new connect.ConnectError(
      `no answer within ${deadlineMs} ms`,
      connect.Code.DeadlineExceeded,
    );
    deadline.abort(late);
  }, deadlineMs);
  return send(client, {
    timeoutMs: deadlineMs,
    signal: deadline.signal,
  }).finally(() => clearTimeout(timer));
}
