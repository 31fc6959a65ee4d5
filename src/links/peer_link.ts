import * as peerConnections from './peer_connections.js';
import * as peerFailure from './peer_failure.js';
import * as peerMessages from './peer_messages.js';
import type * as byteCounter from './byte_counter.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';

/** Deadline of confirmations; three of them fit into the time to suspect. */
const CONFIRM_DEADLINE_MS = 1_000;

/** Deadline of short calls other than confirmations. */
const CALL_DEADLINE_MS = 2_000;

/** Deadline of calls whose answer may be large. */
const TRANSFER_DEADLINE_MS = 5_000;

/** Deadline of an offer, whose answer comes when the request has ended. */
const OFFER_DEADLINE_MS = 3_600_000;

/** Gives the calls of callers that are open, for passing them on. */
export interface OpenCallLookup {
  findOpenCall(call: event.CallNumber): event.CallEvent | undefined;
}

/** What a peer link is made with. */
export interface PeerLinkOptions {
  readonly processName: string;
  readonly openCalls: OpenCallLookup;
  readonly post: (event: event.Event) => void;
  readonly now: () => number;
  readonly metrics: sinks.MetricsSink;
  readonly logs?: sinks.LogSink;
  readonly byteCounter?: byteCounter.ByteCounter;
}

type EffectOf<Kind extends peerFailure.PeerCallEffect['kind']> = Extract<
  peerFailure.PeerCallEffect,
  {readonly kind: Kind}
>;

/**
 * Calls other entry processes and posts their answers, or that none came. It
 * never repeats a call.
 */
export class PeerLink {
  private readonly connections: peerConnections.PeerConnections;

  constructor(private readonly parts: PeerLinkOptions) {
    this.connections = new peerConnections.PeerConnections({
      connected: (socket, peer) =>
        parts.byteCounter?.track(socket, 'peer', zoneOf(peer)),
      silent: peer => {
        const labels = {link: 'peer', reason: 'deadline'};
        parts.metrics.count('silent_connection', labels, 1);
        parts.logs?.log('warn', 'silentConnection', {...labels, peer});
      },
    });
  }

  /** Performs one effect; the answer comes as an event. */
  async perform(wanted: peerFailure.PeerCallEffect): Promise<void> {
    this.parts.post(
      await this.send(wanted).catch(() => peerFailure.toFailureEvent(wanted)),
    );
  }

  /** Closes all connections. */
  close(): void {
    this.connections.close();
  }

  private send(wanted: peerFailure.PeerCallEffect): Promise<event.Event> {
    switch (wanted.kind) {
      case 'confirmPeer':
        return this.confirm(wanted);
      case 'offerRequest':
        return this.offer(wanted);
      case 'withdrawOffer':
        return this.withdraw(wanted);
      case 'forwardCall':
        return this.forward(wanted);
      case 'fetchDocuments':
        return this.fetchDocuments(wanted);
      case 'sendWitness':
        return this.sendWitness(wanted);
      case 'readWitness':
        return this.readWitness(wanted);
    }
  }

  private async confirm(wanted: EffectOf<'confirmPeer'>): Promise<event.Event> {
    const sentAt = this.parts.now();
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      CONFIRM_DEADLINE_MS,
      (client, options) =>
        client.confirm(
          {
            ...peerMessages.encodeNews(wanted.status),
            to: wanted.peer,
            zonePosition: peerMessages.toUint64(wanted.zonePosition),
          },
          options,
        ),
    );
    // Another incarnation at the same address confirms nothing for this peer.
    // A peer of another zone is named by zone and VM, without an incarnation.
    const meant =
      answer.from === wanted.peer || answer.from.startsWith(`${wanted.peer}.`);
    if (!meant) return peerFailure.toFailureEvent(wanted);
    return {
      kind: 'confirmAnswered',
      peer: wanted.peer,
      sentAt,
      confirmed: answer.confirmed,
      zoneRecords: peerMessages.decodeRecords(answer.zoneRecords),
      status: peerMessages.decodeNews(answer),
    };
  }

  private async offer(wanted: EffectOf<'offerRequest'>): Promise<event.Event> {
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      OFFER_DEADLINE_MS,
      (client, options) =>
        client.offer(
          peerMessages.encodeOffer(wanted, this.parts.processName),
          options,
        ),
    );
    return {
      kind: 'offerAnswered',
      peer: wanted.peer,
      identity: wanted.identity,
      code: answer.code,
      answer: peerMessages.decodeText(answer.answer),
    };
  }

  private async withdraw(
    wanted: EffectOf<'withdrawOffer'>,
  ): Promise<event.Event> {
    const {peer, identity, attempt} = wanted;
    const message = {from: this.parts.processName, to: peer, identity, attempt};
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      CALL_DEADLINE_MS,
      (client, options) => client.withdraw(message, options),
    );
    return {kind: 'withdrawAnswered', peer, identity, code: answer.code};
  }

  private async forward(wanted: EffectOf<'forwardCall'>): Promise<event.Event> {
    const original = this.parts.openCalls.findOpenCall(wanted.call);
    const message = original && forwardedCall(original);
    if (message === undefined) return peerFailure.toFailureEvent(wanted);
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      message.waitMs + CALL_DEADLINE_MS,
      (client, options) =>
        client.forward(
          {
            ...message,
            from: this.parts.processName,
            to: wanted.relayed ? '' : wanted.peer,
          },
          options,
        ),
    );
    return {
      kind: 'forwardAnswered',
      call: wanted.call,
      code: answer.code,
      body: peerMessages.decodeText(answer.body),
    };
  }

  private async fetchDocuments(
    wanted: EffectOf<'fetchDocuments'>,
  ): Promise<event.Event> {
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      TRANSFER_DEADLINE_MS,
      (client, options) =>
        client.fetchDocuments(
          {have: peerMessages.encodeVersions(wanted.have)},
          options,
        ),
    );
    return {
      kind: 'documentsArrived',
      documents: answer.documents.map(item => ({
        name: item.name,
        version: Number(item.version),
        content: item.content,
      })),
    };
  }

  private async sendWitness(
    wanted: EffectOf<'sendWitness'>,
  ): Promise<event.Event> {
    const {peer, batch} = wanted;
    const entries = wanted.entries.map(peerMessages.encodeText);
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      CALL_DEADLINE_MS,
      (client, options) =>
        client.witness(
          {from: this.parts.processName, to: peer, entries},
          options,
        ),
    );
    return {kind: 'witnessAnswered', peer, batch, stored: answer.stored};
  }

  private async readWitness(
    wanted: EffectOf<'readWitness'>,
  ): Promise<event.Event> {
    const {peer, process} = wanted;
    const answer = await this.connections.call(
      wanted.peer,
      wanted.address,
      TRANSFER_DEADLINE_MS,
      (client, options) => client.readWitness({process}, options),
    );
    return {
      kind: 'readWitnessAnswered',
      peer,
      process,
      complete: answer.complete,
      entries: answer.entries.map(peerMessages.decodeText),
    };
  }
}

/** The zone in the name of an incarnation, which begins with it. */
function zoneOf(peer: string): string {
  return peer.split('.')[0];
}

interface ForwardedCall {
  readonly operation: string;
  readonly identity: string;
  readonly client: string;
  readonly body: Uint8Array;
  readonly waitMs: number;
}

/** The message of a call that may be passed on; undefined for other calls. */
function forwardedCall(call: event.CallEvent): ForwardedCall | undefined {
  const nothing = peerMessages.encodeText('');
  switch (call.kind) {
    case 'requestArrived':
      return {
        operation: 'submit',
        identity: call.identity ?? '',
        client: call.client,
        body: peerMessages.encodeText(JSON.stringify(call.submission)),
        waitMs: peerMessages.toUint32(call.waitMs),
      };
    case 'fetchArrived':
      return {
        operation: 'fetch',
        identity: call.identity,
        client: call.client,
        body: nothing,
        waitMs: peerMessages.toUint32(call.waitMs),
      };
    case 'cancelArrived':
    case 'explainArrived':
      return {
        operation: call.kind === 'cancelArrived' ? 'cancel' : 'explain',
        identity: call.identity,
        client: call.client,
        body: nothing,
        waitMs: 0,
      };
    default:
      return undefined;
  }
}
