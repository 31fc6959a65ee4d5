import * as http2 from 'node:http2';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as callParser from './call_parser.js';
import * as peerMessages from './peer_messages.js';
import * as peerPb from './generated/peer_pb.js';
import * as listen from './listen.js';
import type * as protobuf from '@bufbuild/protobuf';
import type * as callNumberAllocator from './call_number_allocator.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';

/** The effects that answer a peer. */
export type PeerAnswerEffect = Exclude<
  effect.PeerEffect,
  {readonly peer: string}
>;

type Answer =
  PeerAnswerEffect | Extract<effect.Effect, {readonly kind: 'answerCaller'}>;

type Init<Schema extends protobuf.DescMessage> =
  protobuf.MessageInitShape<Schema>;

type AnswerOf<Kind extends Answer['kind']> = Extract<
  Answer,
  {readonly kind: Kind}
>;

/** Serves other entry processes and posts what they ask as events. */
export class PeerServer {
  private readonly server: http2.Http2Server;
  private readonly sessions = new Set<http2.ServerHttp2Session>();
  private readonly open = new Map<event.CallNumber, (answer: Answer) => void>();

  constructor(
    private readonly self: string,
    private readonly numbers: callNumberAllocator.CallNumberAllocator,
    private readonly post: (event: event.Event) => void,
  ) {
    this.server = http2.createServer(
      connectNode.connectNodeAdapter({
        routes: router => this.route(router),
        acceptCompression: [],
        readMaxBytes: peerMessages.MAX_MESSAGE_BYTES,
        grpc: false,
        grpcWeb: false,
      }),
    );
    this.server.on('session', session => {
      this.sessions.add(session);
      session.once('close', () => this.sessions.delete(session));
    });
  }

  /** Listens and returns the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    return listen.listen(this.server, host, port);
  }

  /** Answers a peer's open call; does nothing when the peer has gone. */
  answer(given: PeerAnswerEffect): void {
    this.open.get(given.call)?.(given);
  }

  /** Answers a call that a peer passed on; false when it is not one. */
  answerForwarded(call: event.CallNumber, reply: effect.Reply): boolean {
    const waiting = this.open.get(call);
    waiting?.({kind: 'answerCaller', call, reply});
    return waiting !== undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    for (const session of this.sessions) session.destroy();
  }

  private route(router: connect.ConnectRouter): void {
    router.service(peerPb.Peer, {
      confirm: (message, context) => this.confirm(message, context.signal),
      offer: (message, context) => this.offer(message, context.signal),
      withdraw: (message, context) => this.withdraw(message, context.signal),
      forward: (message, context) => this.forward(message, context.signal),
      fetchDocuments: (message, context) =>
        this.fetchDocuments(message, context.signal),
      witness: (message, context) => this.witness(message, context.signal),
      readWitness: (message, context) =>
        this.readWitness(message, context.signal),
      probe: () => ({}),
    });
  }

  private async confirm(
    message: peerPb.ConfirmRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.ConfirmResponseSchema>> {
    const answer = await this.ask('answerConfirm', gone, call => ({
      kind: 'confirmArrived',
      call,
      to: message.to,
      zonePosition: Number(message.zonePosition),
      status: peerMessages.decodeNews(message),
    }));
    return {
      ...peerMessages.encodeNews(answer.status),
      confirmed: answer.confirmed,
      zoneRecords: peerMessages.encodeRecords(answer.zoneRecords),
    };
  }

  private async offer(
    message: peerPb.OfferRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.OfferResponseSchema>> {
    const answer = await this.ask('answerOffer', gone, call => ({
      kind: 'offerArrived',
      call,
      from: message.from,
      to: message.to,
      identity: message.identity,
      attempt: message.attempt,
      client: message.client,
      submission: peerMessages.decodeOffer(message),
      remainingMs: peerMessages.decodeRemainingMs(message.remainingMs),
    }));
    return {code: answer.code, answer: peerMessages.encodeText(answer.answer)};
  }

  private async withdraw(
    message: peerPb.WithdrawRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.WithdrawResponseSchema>> {
    const {from, to, identity, attempt} = message;
    const answer = await this.ask('answerWithdraw', gone, call => ({
      kind: 'withdrawArrived',
      call,
      from,
      to,
      identity,
      attempt,
    }));
    return {code: answer.code};
  }

  private async forward(
    message: peerPb.ForwardRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.ForwardResponseSchema>> {
    // A relayed call names no process: any one of the zone may take it.
    if (message.to !== '' && message.to !== this.self) {
      throw new connect.ConnectError(
        `to: ${message.to} is not the process at this address`,
        connect.Code.FailedPrecondition,
      );
    }
    const {reply} = await this.ask('answerCaller', gone, call =>
      forwardedEvent(message, call),
    );
    return {
      code: reply.code,
      body: peerMessages.encodeText(JSON.stringify(reply)),
    };
  }

  private async fetchDocuments(
    message: peerPb.FetchDocumentsRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.FetchDocumentsResponseSchema>> {
    const answer = await this.ask('answerDocuments', gone, call => ({
      kind: 'fetchDocumentsArrived',
      call,
      have: peerMessages.decodeVersions(message.have),
    }));
    return {documents: peerMessages.encodeDocuments(answer.documents)};
  }

  private async witness(
    message: peerPb.WitnessRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.WitnessResponseSchema>> {
    const answer = await this.ask('answerWitness', gone, call => ({
      kind: 'witnessArrived',
      call,
      from: message.from,
      to: message.to,
      entries: message.entries.map(peerMessages.decodeText),
    }));
    return {stored: answer.stored};
  }

  private async readWitness(
    message: peerPb.ReadWitnessRequest,
    gone: AbortSignal,
  ): Promise<Init<typeof peerPb.ReadWitnessResponseSchema>> {
    const answer = await this.ask('answerReadWitness', gone, call => ({
      kind: 'readWitnessArrived',
      call,
      process: message.process,
    }));
    return {
      complete: answer.complete,
      entries: answer.entries.map(peerMessages.encodeText),
    };
  }

  /** Posts an event and resolves with the effect that answers it. */
  private ask<Kind extends Answer['kind']>(
    kind: Kind,
    gone: AbortSignal,
    build: (call: event.CallNumber) => event.Event,
  ): Promise<AnswerOf<Kind>> {
    const call = this.numbers.allocate();
    const arrived = build(call);
    return new Promise((resolve, reject) => {
      const end = (): void => {
        this.open.delete(call);
        this.post({kind: 'callEnded', call});
        reject(connect.ConnectError.from(gone.reason, connect.Code.Canceled));
      };
      this.open.set(call, answer => {
        this.open.delete(call);
        gone.removeEventListener('abort', end);
        if (answer.kind === kind) resolve(answer as AnswerOf<Kind>);
        else reject(new connect.ConnectError(`answered by ${answer.kind}`));
      });
      gone.addEventListener('abort', end, {once: true});
      this.post(arrived);
    });
  }
}

function forwardedEvent(
  message: peerPb.ForwardRequest,
  call: event.CallNumber,
): event.CallEvent {
  const {identity, client, waitMs} = message;
  switch (message.operation) {
    case 'fetch':
      return {kind: 'fetchArrived', call, client, identity, waitMs};
    case 'cancel':
      return {kind: 'cancelArrived', call, client, identity};
    case 'explain':
      return {kind: 'explainArrived', call, client, identity};
    case 'submit':
      return callParser
        .parseSubmission(peerMessages.decodeText(message.body))
        .map(submission => ({
          kind: 'requestArrived' as const,
          call,
          client,
          identity,
          submission,
          waitMs,
        }))
        .mapLeft(failure => invalid(failure.detail))
        .unsafeCoerce();
    default:
      throw invalid(`operation: ${message.operation} is not known`);
  }
}

function invalid(detail: string): connect.ConnectError {
  return new connect.ConnectError(detail, connect.Code.InvalidArgument);
}
