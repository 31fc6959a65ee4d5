import * as connect from '@connectrpc/connect';
import * as callParser from './call_parser.js';
import * as peerMessages from './peer_messages.js';
import * as peerPb from './generated/peer_pb.js';
import * as rpcServer from './rpc_server.js';
import type * as protobuf from '@bufbuild/protobuf';
import type * as callNumberAllocator from './call_number_allocator.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';

/** Effects that answer a call of a peer. */
export type PeerAnswerEffect = Exclude<
  effect.PeerEffect,
  {readonly peer: string}
>;

type AnswerEffect =
  PeerAnswerEffect | Extract<effect.Effect, {readonly kind: 'answerCaller'}>;

type MessageInit<Schema extends protobuf.DescMessage> =
  protobuf.MessageInitShape<Schema>;

type AnswerOf<Kind extends AnswerEffect['kind']> = Extract<
  AnswerEffect,
  {readonly kind: Kind}
>;

/** HTTP/2 server for other entry processes; posts their calls as events. */
export class PeerServer {
  private readonly server: rpcServer.RpcServer;
  private readonly openCalls = new Map<
    event.CallNumber,
    (answer: AnswerEffect) => void
  >();

  constructor(
    private readonly processName: string,
    private readonly callNumbers: callNumberAllocator.CallNumberAllocator,
    private readonly post: (event: event.Event) => void,
  ) {
    this.server = new rpcServer.RpcServer(
      peerMessages.MAXIMUM_MESSAGE_BYTES,
      router => this.registerRoutes(router),
    );
  }

  /** Starts listening; returns the port, chosen by the system for port 0. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  /** Answers an open call; has no effect when the peer has disconnected. */
  answer(answerEffect: PeerAnswerEffect): void {
    this.openCalls.get(answerEffect.call)?.(answerEffect);
  }

  /** Answers a call that a peer forwarded; returns false for other calls. */
  answerForwarded(call: event.CallNumber, reply: effect.Reply): boolean {
    const resolveCall = this.openCalls.get(call);
    resolveCall?.({kind: 'answerCaller', call, reply});
    return resolveCall !== undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
  }

  private registerRoutes(router: connect.ConnectRouter): void {
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
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.ConfirmResponseSchema>> {
    const answer = await this.postAndWait(
      'answerConfirm',
      cancelSignal,
      call => ({
        kind: 'confirmArrived',
        call,
        to: message.to,
        zonePosition: Number(message.zonePosition),
        status: peerMessages.decodeStatus(message),
      }),
    );
    return {
      ...peerMessages.encodeStatus(answer.status),
      confirmed: answer.confirmed,
      zoneRecords: peerMessages.encodeRecords(answer.zoneRecords),
    };
  }

  private async offer(
    message: peerPb.OfferRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.OfferResponseSchema>> {
    const answer = await this.postAndWait(
      'answerOffer',
      cancelSignal,
      call => ({
        kind: 'offerArrived',
        call,
        from: message.from,
        to: message.to,
        identity: message.identity,
        attempt: message.attempt,
        client: message.client,
        submission: peerMessages.decodeOffer(message),
        remainingMs: peerMessages.decodeRemainingMs(message.remainingMs),
      }),
    );
    return {code: answer.code, answer: peerMessages.encodeText(answer.answer)};
  }

  private async withdraw(
    message: peerPb.WithdrawRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.WithdrawResponseSchema>> {
    const {from, to, identity, attempt} = message;
    const answer = await this.postAndWait(
      'answerWithdraw',
      cancelSignal,
      call => ({
        kind: 'withdrawArrived',
        call,
        from,
        to,
        identity,
        attempt,
      }),
    );
    return {code: answer.code};
  }

  private async forward(
    message: peerPb.ForwardRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.ForwardResponseSchema>> {
    // A relayed call names no process: any process of the zone may handle it.
    if (message.to !== '' && message.to !== this.processName) {
      throw new connect.ConnectError(
        `to: ${message.to} is not the process at this address`,
        connect.Code.FailedPrecondition,
      );
    }
    const {reply} = await this.postAndWait('answerCaller', cancelSignal, call =>
      toForwardedEvent(message, call),
    );
    return {
      code: reply.code,
      body: peerMessages.encodeText(JSON.stringify(reply)),
    };
  }

  private async fetchDocuments(
    message: peerPb.FetchDocumentsRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.FetchDocumentsResponseSchema>> {
    const answer = await this.postAndWait(
      'answerDocuments',
      cancelSignal,
      call => ({
        kind: 'fetchDocumentsArrived',
        call,
        have: peerMessages.decodeVersions(message.have),
      }),
    );
    return {documents: peerMessages.encodeDocuments(answer.documents)};
  }

  private async witness(
    message: peerPb.WitnessRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.WitnessResponseSchema>> {
    const answer = await this.postAndWait(
      'answerWitness',
      cancelSignal,
      call => ({
        kind: 'witnessArrived',
        call,
        from: message.from,
        to: message.to,
        entries: message.entries.map(peerMessages.decodeText),
      }),
    );
    return {stored: answer.stored};
  }

  private async readWitness(
    message: peerPb.ReadWitnessRequest,
    cancelSignal: AbortSignal,
  ): Promise<MessageInit<typeof peerPb.ReadWitnessResponseSchema>> {
    const answer = await this.postAndWait(
      'answerReadWitness',
      cancelSignal,
      call => ({
        kind: 'readWitnessArrived',
        call,
        process: message.process,
      }),
    );
    return {
      complete: answer.complete,
      entries: answer.entries.map(peerMessages.encodeText),
    };
  }

  /** Posts a call as an event; resolves with the effect that answers it. */
  private postAndWait<Kind extends AnswerEffect['kind']>(
    kind: Kind,
    cancelSignal: AbortSignal,
    buildEvent: (call: event.CallNumber) => event.Event,
  ): Promise<AnswerOf<Kind>> {
    const call = this.callNumbers.allocate();
    const callEvent = buildEvent(call);
    return new Promise((resolve, reject) => {
      const cancel = (): void => {
        this.openCalls.delete(call);
        this.post({kind: 'callEnded', call});
        reject(
          connect.ConnectError.from(cancelSignal.reason, connect.Code.Canceled),
        );
      };
      this.openCalls.set(call, answer => {
        this.openCalls.delete(call);
        cancelSignal.removeEventListener('abort', cancel);
        if (answer.kind === kind) resolve(answer as AnswerOf<Kind>);
        else reject(new connect.ConnectError(`answered by ${answer.kind}`));
      });
      cancelSignal.addEventListener('abort', cancel, {once: true});
      this.post(callEvent);
    });
  }
}

function toForwardedEvent(
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
        .mapLeft(failure => invalidArgument(failure.detail))
        .unsafeCoerce();
    default:
      throw invalidArgument(
        `operation: ${message.operation}: must be submit, fetch, cancel or explain`,
      );
  }
}

function invalidArgument(detail: string): connect.ConnectError {
  return new connect.ConnectError(detail, connect.Code.InvalidArgument);
}
