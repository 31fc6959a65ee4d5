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

/**
 * Time that a busy member has for the first response on an open connection. It
 * accepts one connection in each turn of its loop, so replacing connections
 * that wait to be accepted delays those of all other members.
 */
const ACCEPT_PATIENCE_MS = 10_000;

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
  /** When the first call was sent. */
  private usedSince: clock.Milliseconds | undefined;

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
    this.usedSince ??= sentAt;
    const abortController = new AbortController();
    let timedOut: cellPeers.MissingResponse | undefined;
    const timeout = this.options.timer.start(timeoutMs, () => {
      timedOut = this.timeOut(sentAt, timeoutMs);
      abortController.abort();
    });
    try {
      const value = await send(this.client, {signal: abortController.signal});
      this.lastResponseAt = this.options.clock.now();
      this.options.history.recordResponse();
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
    const isUnanswered = this.lastResponseAt <= sentAt;
    if (isUnanswered && (isConnecting || !this.mayWaitForAccept())) {
      this.retire();
    }
    return {kind: 'unanswered', detail};
  }

  /** Returns whether a busy member may not have accepted the connection yet. */
  private mayWaitForAccept(): boolean {
    const {clock, history} = this.options;
    const hadResponse = this.lastResponseAt > -Infinity;
    if (hadResponse || !history.seemsBusy) return false;
    const usedForMs = clock.now() - (this.usedSince ?? clock.now());
    return usedForMs < ACCEPT_PATIENCE_MS;
  }

  /** Leaves the connection to the calls in progress. */
  private retire(): void {
    if (this.isSilent) return;
    this.isSilent = true;
    const {history} = this.options;
    if (this.lastResponseAt === -Infinity) history.recordUnanswered();
    history.recordClose('timeout');
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
