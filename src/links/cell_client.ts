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

/** Time without calls after which a connection is closed. */
const IDLE_LIMIT_MS = 30_000;

type Client = connect.Client<typeof cellPb.Cell>;

interface Connection {
  readonly client: Client;
  readonly session: connectNode.Http2SessionManager;
  lastAnswerAt: clock.Milliseconds;
}

interface CallOptions {
  readonly signal: AbortSignal;
}

/** Calls other members over one HTTP/2 connection to each. */
export class CellClient implements cellPeers.CellPeers {
  private readonly connections = new Map<string, Connection>();

  constructor(private readonly clock: clock.Clock) {}

  async ping(
    address: string,
    greeting: cellPeers.PingMessage,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.PingReply>> {
    const request = {
      newest: cellMessages.encodeClaim(greeting.newest),
      configurationVersion: BigInt(greeting.configurationVersion),
      sender: greeting.sender,
    };
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.ping(request, options),
    );
    return mapReached(reached, response => ({
      newest: cellMessages.decodeClaim(response.newest),
      incarnation: response.incarnation,
      leading: response.leading,
      resigning: response.resigning,
      storeSilentMs: response.storeSilentMs,
      configurationVersion: Number(response.configurationVersion),
      configurationAgeMs: response.configurationAgeMs,
    }));
  }

  async fetchConfiguration(
    address: string,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<job.OperatorConfiguration | undefined>> {
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.fetchConfiguration({}, options),
    );
    return mapReached(reached, ({document}) =>
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
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.submit(request, options),
    );
    return toLed(reached, cellMessages.decodeSubmitResponse);
  }

  async cancel(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<jobScheduler.CancelOutcome>> {
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.cancel({queue, id}, options),
    );
    return toLed(reached, ({known}) => (known ? 'cancelled' : 'unknown'));
  }

  async readState(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<job.JobState | undefined>> {
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.readState({queue, id}, options),
    );
    return toLed(reached, ({state}) =>
      state === '' ? undefined : (state as job.JobState),
    );
  }

  async countPending(
    address: string,
    queue: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<number>> {
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.countPending({queue}, options),
    );
    return toLed(reached, ({pending}) => pending);
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
    const reached = await this.call(address, timeoutMs, (client, options) =>
      client.advise(request, options),
    );
    if (reached.kind !== 'answered') {
      const detail = reached.kind === 'unanswered' ? reached.detail : 'refused';
      return {kind: 'unanswered', detail};
    }
    const {outcome, tickets, detail} = reached.value;
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
    const connection = this.connection(address);
    const sentAt = this.clock.now();
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), timeoutMs);
    try {
      const value = await send(connection.client, {signal: abort.signal});
      connection.lastAnswerAt = this.clock.now();
      return {kind: 'answered', value};
    } catch (fault) {
      return this.explain(address, connection, sentAt, fault);
    } finally {
      clearTimeout(timer);
    }
  }

  private explain(
    address: string,
    connection: Connection,
    sentAt: clock.Milliseconds,
    fault: unknown,
  ): {kind: 'refused'} | {kind: 'unanswered'; detail: string} {
    const error = connect.ConnectError.from(fault);
    // Nothing came over the connection since the call was sent: it may have
    // gone silent, while a new one would work.
    if (connection.lastAnswerAt <= sentAt) this.drop(address, connection);
    const cause = error.cause as {readonly code?: unknown} | undefined;
    if (cause?.code === 'ECONNREFUSED') return {kind: 'refused'};
    return {kind: 'unanswered', detail: error.message};
  }

  private drop(address: string, connection: Connection): void {
    if (this.connections.get(address) !== connection) return;
    this.connections.delete(address);
    connection.session.abort();
  }

  private connection(address: string): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const baseUrl = `http://${address}`;
    const session = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_LIMIT_MS,
    });
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      // Messages are a few hundred bytes; compression would only add headers.
      acceptCompression: [],
      readMaxBytes: cellMessages.MAX_MESSAGE_BYTES,
    });
    const client = connect.createClient(cellPb.Cell, transport);
    const opened = {client, session, lastAnswerAt: -Infinity};
    this.connections.set(address, opened);
    return opened;
  }
}

function mapReached<From, To>(
  reached: cellPeers.PeerCallOutcome<From>,
  map: (value: From) => To,
): cellPeers.PeerCallOutcome<To> {
  if (reached.kind !== 'answered') return reached;
  return {kind: 'answered', value: map(reached.value)};
}

function toLed<Response extends {readonly leading: cellPb.Leading}, Value>(
  reached: cellPeers.PeerCallOutcome<Response>,
  map: (response: Response) => Value,
): cellPeers.LeaderCallOutcome<Value> {
  if (reached.kind !== 'answered') return reached;
  if (reached.value.leading !== cellPb.Leading.YES) {
    return {kind: 'notLeading'};
  }
  return {kind: 'answered', value: map(reached.value)};
}
