import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as cellMessages from './cell_messages.js';
import * as cellPb from './generated/cell_pb.js';
import * as jsonDocument from './json_document.js';
import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellPeers from '../zones/cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';

/** Time after which a connection without calls is closed. */
const IDLE_TIMEOUT_MS = 30_000;

type Client = connect.Client<typeof cellPb.Cell>;

interface Connection {
  readonly client: Client;
  readonly session: connectNode.Http2SessionManager;
  lastAnswerAtMs: clock.Milliseconds;
}

interface CallOptions {
  readonly signal: AbortSignal;
}

/** Calls other cell members over one HTTP/2 connection per member. */
export class CellClient implements cellPeers.CellPeers {
  private readonly connections = new Map<string, Connection>();

  constructor(private readonly clock: clock.Clock) {}

  async ping(
    address: string,
    pingMessage: cellPeers.PingMessage,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.PingReply>> {
    const request = {
      newest: cellMessages.encodeClaim(pingMessage.newest),
      configurationVersion: BigInt(pingMessage.configurationVersion),
      sender: pingMessage.sender,
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.ping(request, options),
    );
    return mapPeerCallOutcome(callOutcome, response => ({
      newest: cellMessages.decodeClaim(response.newest),
      incarnation: response.incarnation,
      leading: response.leading,
      resigning: response.resigning,
      storeSilentMs: response.storeSilentMs,
      configurationVersion: Number(response.configurationVersion),
      configurationAgeMs: response.configurationAgeMs,
      overloaded: response.overloaded,
    }));
  }

  async fetchConfiguration(
    address: string,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<job.OperatorConfiguration | undefined>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.fetchConfiguration({}, options),
    );
    return mapPeerCallOutcome(callOutcome, ({document}) =>
      jsonDocument.decode<job.OperatorConfiguration>(document).extract(),
    );
  }

  async submit(
    address: string,
    definition: job.JobDefinition,
    configurationVersion: number,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<jobAdmission.SubmitOutcome>> {
    const request = {
      definition: jsonDocument.encode(definition),
      configurationVersion: BigInt(configurationVersion),
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.submit(request, options),
    );
    return toLeaderCallOutcome(callOutcome, cellMessages.decodeSubmitResponse);
  }

  async screen(
    address: string,
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
    timeoutMs: number,
  ): Promise<
    cellPeers.LeaderCallOutcome<ReadonlyArray<jobAdmission.ScreeningOutcome>>
  > {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.screen({jobs: jobs.map(cellMessages.encodeScreenedJob)}, options),
    );
    return toLeaderCallOutcome(callOutcome, ({outcomes}) =>
      outcomes.map(cellMessages.decodeScreeningOutcome),
    );
  }

  async cancel(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<jobScheduler.CancelOutcome>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.cancel({queue, id}, options),
    );
    return toLeaderCallOutcome(callOutcome, ({known}) =>
      known ? 'cancelled' : 'unknown',
    );
  }

  async readState(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<job.JobState | undefined>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.readState({queue, id}, options),
    );
    return toLeaderCallOutcome(callOutcome, ({state}) =>
      state === '' ? undefined : (state as job.JobState),
    );
  }

  async countPending(
    address: string,
    queue: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<number>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.countPending({queue}, options),
    );
    return toLeaderCallOutcome(callOutcome, ({pending}) => pending);
  }

  async advise(
    address: string,
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    const request = {
      step,
      workerIds: [...workerIds],
      timeoutMs: Math.ceil(timeoutMs),
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.advise(request, options),
    );
    if (callOutcome.kind !== 'answered') {
      const detail =
        callOutcome.kind === 'unanswered' ? callOutcome.detail : 'refused';
      return {kind: 'unanswered', detail};
    }
    const {outcome, tickets, detail} = callOutcome.value;
    if (outcome === 'advised') return {kind: 'advised', tickets};
    if (outcome === 'busy') return {kind: 'busy'};
    return {kind: 'unanswered', detail};
  }

  /** Closes all connections. */
  close(): void {
    for (const {session} of this.connections.values()) session.abort();
    this.connections.clear();
  }

  private async call<Response>(
    address: string,
    timeoutMs: number,
    send: (client: Client, options: CallOptions) => Promise<Response>,
  ): Promise<cellPeers.PeerCallOutcome<Response>> {
    const connection = this.connectionTo(address);
    const sentAtMs = this.clock.now();
    const abortController = new AbortController();
    const timer = setTimeout(() => abortController.abort(), timeoutMs);
    try {
      const value = await send(connection.client, {
        signal: abortController.signal,
      });
      connection.lastAnswerAtMs = this.clock.now();
      return {kind: 'answered', value};
    } catch (error) {
      return this.classifyFailure(address, connection, sentAtMs, error);
    } finally {
      clearTimeout(timer);
    }
  }

  private classifyFailure(
    address: string,
    connection: Connection,
    sentAtMs: clock.Milliseconds,
    error: unknown,
  ): {kind: 'refused'} | {kind: 'unanswered'; detail: string} {
    const connectError = connect.ConnectError.from(error);
    // No answer arrived over the connection since the call was sent: it may be
    // silent while a new connection would work.
    if (connection.lastAnswerAtMs <= sentAtMs) this.evict(address, connection);
    const cause = connectError.cause as {readonly code?: unknown} | undefined;
    if (cause?.code === 'ECONNREFUSED') return {kind: 'refused'};
    return {kind: 'unanswered', detail: connectError.message};
  }

  private evict(address: string, connection: Connection): void {
    if (this.connections.get(address) !== connection) return;
    this.connections.delete(address);
    connection.session.abort();
  }

  private connectionTo(address: string): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const baseUrl = `http://${address}`;
    const session = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      // Messages have a few hundred bytes; compression would only add headers.
      acceptCompression: [],
      readMaxBytes: cellMessages.MAXIMUM_MESSAGE_BYTES,
    });
    const client = connect.createClient(cellPb.Cell, transport);
    const opened = {client, session, lastAnswerAtMs: -Infinity};
    this.connections.set(address, opened);
    return opened;
  }
}

function mapPeerCallOutcome<From, To>(
  callOutcome: cellPeers.PeerCallOutcome<From>,
  map: (value: From) => To,
): cellPeers.PeerCallOutcome<To> {
  if (callOutcome.kind !== 'answered') return callOutcome;
  return {kind: 'answered', value: map(callOutcome.value)};
}

function toLeaderCallOutcome<
  Response extends {readonly leading: cellPb.Leading},
  Value,
>(
  callOutcome: cellPeers.PeerCallOutcome<Response>,
  map: (response: Response) => Value,
): cellPeers.LeaderCallOutcome<Value> {
  if (callOutcome.kind !== 'answered') return callOutcome;
  if (callOutcome.value.leading !== cellPb.Leading.YES) {
    return {kind: 'notLeading'};
  }
  return {kind: 'answered', value: map(callOutcome.value)};
}
