import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as cellMessages from './cell_messages.js';
import * as cellPb from './generated/cell_pb.js';
import type * as callStatistics from './call_statistics.js';
import type * as cellPeers from '../zones/cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as responseTimer from '../machines/response_timer.js';

/** Time after which a connection without calls is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/** Client of the calls between members. */
export type MemberClient = connect.Client<typeof cellPb.Cell>;

/** Options that are passed on to a call of the client. */
export interface MemberCallOptions {
  readonly signal: AbortSignal;
}

/** Sends one call with the client of a connection. */
export type SendCall<Response> = (
  client: MemberClient,
  options: MemberCallOptions,
) => Promise<Response>;

/** Dependencies of a `MemberConnection`. */
export interface MemberConnectionOptions {
  readonly clock: clock.Clock;
  readonly timer: responseTimer.ResponseTimer;
  readonly statistics: callStatistics.CallStatistics;
  readonly history: callStatistics.ConnectionHistory;
  /** Called once, when the connection went silent and takes no more calls. */
  readonly onSilent: () => void;
}

/** HTTP/2 connection to one member, shared by all calls to it. */
export class MemberConnection {
  private readonly session: connectNode.Http2SessionManager;
  private readonly client: MemberClient;
  private callsInProgress = 0;
  private isSilent = false;
  private wasOpen = false;
  private lastResponseAt: clock.Milliseconds = -Infinity;

  constructor(
    address: string,
    private readonly options: MemberConnectionOptions,
  ) {
    const baseUrl = `http://${address}`;
    this.session = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: this.session,
      // Messages have a few hundred bytes; compression would only add headers.
      acceptCompression: [],
      readMaxBytes: cellMessages.MAXIMUM_MESSAGE_BYTES,
    });
    this.client = connect.createClient(cellPb.Cell, transport);
  }

  /** Sends a call; the promise never rejects. */
  async call<Response>(
    timeoutMs: number,
    send: SendCall<Response>,
  ): Promise<cellPeers.PeerCallOutcome<Response>> {
    this.openIfClosed();
    this.callsInProgress += 1;
    const sentAt = this.options.clock.now();
    const abortController = new AbortController();
    let timedOut: cellPeers.MissingResponse | undefined;
    const timeout = this.options.timer.start(timeoutMs, () => {
      timedOut = this.timeOut(sentAt, timeoutMs);
      abortController.abort();
    });
    try {
      const value = await send(this.client, {signal: abortController.signal});
      this.lastResponseAt = this.options.clock.now();
      if (timeout.isOverdue) this.options.statistics.countLateRead();
      return {kind: 'answered', value};
    } catch (error) {
      return timedOut ?? classifyFailure(error);
    } finally {
      timeout.cancel();
      this.callsInProgress -= 1;
      this.closeIfUnused();
    }
  }

  /** Closes the connection; the calls in progress fail. */
  close(): void {
    this.session.abort();
  }

  /** Opens the connection ahead of the call, which would do it unseen. */
  private openIfClosed(): void {
    const state = this.session.state();
    if (state !== 'closed' && state !== 'error') return;
    const {history} = this.options;
    if (this.wasOpen) history.recordClose('close');
    this.wasOpen = false;
    history.recordOpening();
    void this.session.connect().then(opened => {
      this.wasOpen = opened !== 'error';
      if (!this.wasOpen && !this.isSilent) history.recordClose('failure');
    });
  }

  private timeOut(
    sentAt: clock.Milliseconds,
    timeoutMs: number,
  ): cellPeers.MissingResponse {
    const {statistics} = this.options;
    const detail = `timeout ${timeoutMs} ms`;
    const isConnecting = this.session.state() === 'connecting';
    statistics.countTimeout(isConnecting ? 'connecting' : 'silent');
    // Without any response since the call was sent, the connection may be
    // silent while a new one would work.
    if (this.lastResponseAt <= sentAt) this.retire();
    return {kind: 'unanswered', detail};
  }

  /** Leaves the connection to the calls in progress. */
  private retire(): void {
    if (this.isSilent) return;
    this.isSilent = true;
    this.options.history.recordClose('timeout');
    this.options.onSilent();
  }

  private closeIfUnused(): void {
    if (this.isSilent && this.callsInProgress === 0) this.close();
  }
}

function classifyFailure(error: unknown): cellPeers.MissingResponse {
  const connectError = connect.ConnectError.from(error);
  const cause = connectError.cause as {readonly code?: unknown} | undefined;
  if (cause?.code === 'ECONNREFUSED') return {kind: 'refused'};
  return {kind: 'unanswered', detail: connectError.message};
}
