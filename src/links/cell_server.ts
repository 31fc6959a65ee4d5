import * as connect from '@connectrpc/connect';
import * as cellMessages from './cell_messages.js';
import * as cellPb from './generated/cell_pb.js';
import * as jsonDocument from './json_document.js';
import * as rpcServer from './rpc_server.js';
import * as recordChecks from './record_checks.js';
import type * as protobuf from '@bufbuild/protobuf';
import type * as loopMeter from '../machines/loop_meter.js';
import type * as cellPeers from '../zones/cell_peers.js';

type MessageInit<Schema extends protobuf.DescMessage> =
  protobuf.MessageInitShape<Schema>;

/** Upper bound of a reported age; receivers treat larger ages alike. */
const MAXIMUM_REPORTED_AGE_MS = 3_600_000;

/** Entry of the loop's meter for each frequent method. */
const CALL_ENTRIES: ReadonlyMap<string, loopMeter.LoopEntry> = new Map([
  ['Ping', 'pingCalls'],
  ['Submit', 'submitCalls'],
  ['Screen', 'screenCalls'],
  ['ReadState', 'stateCalls'],
]);

const NOT_LEADING = {leading: cellPb.Leading.NO} as const;
const NO_DOCUMENT = new Uint8Array(0);

/** HTTP/2 server for the calls of other cell members. */
export class CellServer {
  private readonly server: rpcServer.RpcServer;

  constructor(
    private readonly service: cellPeers.CellService,
    /** Called before each call is handled. */
    onCall: (entry: loopMeter.LoopEntry) => void = () => {},
  ) {
    this.server = new rpcServer.RpcServer(
      cellMessages.MAXIMUM_MESSAGE_BYTES,
      router => this.registerRoutes(router),
      method => onCall(CALL_ENTRIES.get(method) ?? 'otherCalls'),
    );
  }

  /** Starts listening; returns the port, chosen by the system for port 0. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
  }

  private registerRoutes(router: connect.ConnectRouter): void {
    router.service(cellPb.Cell, {
      ping: request => this.ping(request),
      fetchConfiguration: request => this.fetchConfiguration(request),
      submit: async request => this.withVersion(await this.submit(request)),
      screen: request => this.withVersion(this.screen(request)),
      cancel: async request => this.withVersion(await this.cancel(request)),
      readState: request => this.withVersion(this.readState(request)),
      countPending: request => this.withVersion(this.countPending(request)),
      advise: request => this.advise(request),
    });
  }

  private ping(
    request: cellPb.PingRequest,
  ): MessageInit<typeof cellPb.PingResponseSchema> {
    const answer = this.service.answerPing({
      newest: cellMessages.decodeClaim(request.newest),
      configurationVersion: Number(request.configurationVersion),
      sender: request.sender,
      senderIncarnation: request.senderIncarnation,
      lastReply: cellMessages.decodeReceivedReply(request.lastReply),
    });
    return {
      ...answer,
      newest: cellMessages.encodeClaim(answer.newest),
      storeSilentMs: Math.round(answer.storeSilentMs),
      configurationVersion: BigInt(answer.configurationVersion),
      configurationAgeMs: reportedAge(answer.configurationAgeMs),
      sentAtMs: answer.sentAt,
    };
  }

  private fetchConfiguration(
    request: cellPb.FetchConfigurationRequest,
  ): MessageInit<typeof cellPb.FetchConfigurationResponseSchema> {
    const {configuration, version, ageMs} = this.service.configurationSince(
      Number(request.knownVersion),
    );
    const document =
      configuration === undefined
        ? NO_DOCUMENT
        : (jsonDocument.encode(configuration) as Uint8Array<ArrayBuffer>);
    return {document, version: BigInt(version), ageMs: reportedAge(ageMs)};
  }

  /** Adds the version by which this member decides to its answer. */
  private withVersion<Answer>(
    answer: Answer,
  ): Answer & {readonly configurationVersion: bigint} {
    const configurationVersion = BigInt(this.service.configurationVersion);
    return {...answer, configurationVersion};
  }

  private async submit(
    request: cellPb.SubmitRequest,
  ): Promise<MessageInit<typeof cellPb.SubmitResponseSchema>> {
    const definition = jsonDocument
      .decode(request.definition, recordChecks.isJobDefinition)
      .extract();
    if (definition === undefined) {
      throw new connect.ConnectError(
        'definition: must be a job definition in JSON',
        connect.Code.InvalidArgument,
      );
    }
    const outcome = await this.service.submit(
      definition,
      Number(request.configurationVersion),
    );
    if (outcome === undefined) return NOT_LEADING;
    const leading = cellPb.Leading.YES;
    if (outcome.kind === 'accepted') return {leading, accepted: true};
    if (outcome.kind === 'undecided') return {leading, undecided: true};
    return {
      leading,
      accepted: false,
      refusalReason: outcome.reason,
      retryAfterSeconds: outcome.retryAfterSeconds,
    };
  }

  private screen(
    request: cellPb.ScreenRequest,
  ): MessageInit<typeof cellPb.ScreenResponseSchema> {
    const outcomes = this.service.screen(request.jobs);
    if (outcomes === undefined) return NOT_LEADING;
    return {
      leading: cellPb.Leading.YES,
      outcomes: outcomes.map(cellMessages.encodeScreeningOutcome),
    };
  }

  private async cancel(
    request: cellPb.JobRequest,
  ): Promise<MessageInit<typeof cellPb.CancelResponseSchema>> {
    const outcome = await this.service.cancel(request.queue, request.id);
    if (outcome === undefined) return NOT_LEADING;
    return {leading: cellPb.Leading.YES, known: outcome === 'cancelled'};
  }

  private readState(
    request: cellPb.JobRequest,
  ): MessageInit<typeof cellPb.ReadStateResponseSchema> {
    const found = this.service.readState(request.queue, request.id);
    if (found === undefined) return NOT_LEADING;
    return {leading: cellPb.Leading.YES, state: found.state ?? ''};
  }

  private countPending(
    request: cellPb.CountPendingRequest,
  ): MessageInit<typeof cellPb.CountPendingResponseSchema> {
    const pending = this.service.countPending(request.queue);
    if (pending === undefined) return NOT_LEADING;
    return {leading: cellPb.Leading.YES, pending};
  }

  private async advise(
    request: cellPb.AdviseRequest,
  ): Promise<MessageInit<typeof cellPb.AdviseResponseSchema>> {
    const {step, workerIds, timeoutMs} = request;
    const outcome = await this.service.advise(step, workerIds, timeoutMs);
    if (outcome.kind === 'advised') {
      return {outcome: outcome.kind, tickets: [...outcome.tickets]};
    }
    const detail = outcome.kind === 'unanswered' ? outcome.detail : '';
    return {outcome: outcome.kind, detail};
  }
}

/** Rounds an age up; receivers treat all ages above the bound alike. */
function reportedAge(ageMs: number): number {
  return Math.ceil(Math.min(ageMs, MAXIMUM_REPORTED_AGE_MS));
}
