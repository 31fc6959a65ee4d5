import * as peerConnections from './peer_connections.js';
import * as peerFailure from './peer_failure.js';
import * as peerMessages from './peer_messages.js';
import type * as byteCounter from './byte_counter.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';
import type * as responseTimer from '../machines/response_timer.js';

/**
 * Timeout of confirmations; three fit into the silence after which a peer is
 * suspect.
 */
const CONFIRM_TIMEOUT_MS = 1_000;

/** Timeout of short calls other than confirmations. */
const CALL_TIMEOUT_MS = 2_000;

/** Timeout of calls whose answer may be large. */
const TRANSFER_TIMEOUT_MS = 5_000;

/** Timeout of an offer, which is answered when the request has ended. */
const OFFER_TIMEOUT_MS = 3_600_000;

/** Looks up open calls of callers, which may be forwarded to peers. */
export interface OpenCallLookup {
  findOpenCall(call: event.CallNumber): event.CallEvent | undefined;
}

/** Dependencies of a peer link. */
export interface PeerLinkOptions {
  readonly timer: responseTimer.ResponseTimer;
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
 * Calls other entry processes and posts the answer or the failure of each call
 * as an event. Never retries a call.
 */
export class PeerLink {
  private readonly connections: peerConnections.PeerConnections;

  constructor(private readonly options: PeerLinkOptions) {
    this.connections = new peerConnections.PeerConnections(options.timer, {
      onConnected: (socket, peer) =>
        options.byteCounter?.track(socket, 'peer', zoneOfPeer(peer)),
      onSilent: peer => {
        const labels = {link: 'peer', reason: 'deadline'};
        options.metrics.count('silent_connection', labels, 1);
        options.logs?.log('warn', 'silentConnection', {...labels, peer});
      },
    });
  }

  /** Performs one effect and posts its outcome as an event. */
  async perform(peerEffect: peerFailure.PeerCallEffect): Promise<void> {
    this.options.post(
      await this.send(peerEffect).catch(() =>
        peerFailure.toFailureEvent(peerEffect),
      ),
    );
  }

  /** Closes all connections. */
  close(): void {
    this.connections.close();
  }

  private send(peerEffect: peerFailure.PeerCallEffect): Promise<event.Event> {
    switch (peerEffect.kind) {
      case 'confirmPeer':
        return this.confirm(peerEffect);
      case 'offerRequest':
        return this.offer(peerEffect);
      case 'withdrawOffer':
        return this.withdraw(peerEffect);
      case 'forwardCall':
        return this.forward(peerEffect);
      case 'fetchDocuments':
        return this.fetchDocuments(peerEffect);
      case 'sendWitness':
        return this.sendWitness(peerEffect);
      case 'readWitness':
        return this.readWitness(peerEffect);
    }
  }

  private async confirm(
    peerEffect: EffectOf<'confirmPeer'>,
  ): Promise<event.Event> {
    const sentAt = this.options.now();
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      CONFIRM_TIMEOUT_MS,
      (client, options) =>
        client.confirm(
          {
            ...peerMessages.encodeStatus(peerEffect.status),
            to: peerEffect.peer,
            zonePosition: peerMessages.toUint64(peerEffect.zonePosition),
          },
          options,
        ),
    );
    // An answer of another incarnation at the same address does not confirm
    // this peer. Peers of other zones are named without an incarnation, by zone
    // and VM alone.
    const isFromPeer =
      answer.from === peerEffect.peer ||
      answer.from.startsWith(`${peerEffect.peer}.`);
    if (!isFromPeer) return peerFailure.toFailureEvent(peerEffect);
    return {
      kind: 'confirmAnswered',
      peer: peerEffect.peer,
      sentAt,
      confirmed: answer.confirmed,
      zoneRecords: peerMessages.decodeRecords(answer.zoneRecords),
      status: peerMessages.decodeStatus(answer),
    };
  }

  private async offer(
    peerEffect: EffectOf<'offerRequest'>,
  ): Promise<event.Event> {
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      OFFER_TIMEOUT_MS,
      (client, options) =>
        client.offer(
          peerMessages.encodeOffer(peerEffect, this.options.processName),
          options,
        ),
    );
    return {
      kind: 'offerAnswered',
      peer: peerEffect.peer,
      identity: peerEffect.identity,
      code: answer.code,
      answer: peerMessages.decodeText(answer.answer),
    };
  }

  private async withdraw(
    peerEffect: EffectOf<'withdrawOffer'>,
  ): Promise<event.Event> {
    const {peer, identity, attempt} = peerEffect;
    const message = {
      from: this.options.processName,
      to: peer,
      identity,
      attempt,
    };
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      CALL_TIMEOUT_MS,
      (client, options) => client.withdraw(message, options),
    );
    return {kind: 'withdrawAnswered', peer, identity, code: answer.code};
  }

  private async forward(
    peerEffect: EffectOf<'forwardCall'>,
  ): Promise<event.Event> {
    const openCall = this.options.openCalls.findOpenCall(peerEffect.call);
    const message = openCall && toForwardedCall(openCall);
    if (message === undefined) return peerFailure.toFailureEvent(peerEffect);
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      message.waitMs + CALL_TIMEOUT_MS,
      (client, options) =>
        client.forward(
          {
            ...message,
            from: this.options.processName,
            to: peerEffect.relayed ? '' : peerEffect.peer,
          },
          options,
        ),
    );
    return {
      kind: 'forwardAnswered',
      call: peerEffect.call,
      code: answer.code,
      body: peerMessages.decodeText(answer.body),
    };
  }

  private async fetchDocuments(
    peerEffect: EffectOf<'fetchDocuments'>,
  ): Promise<event.Event> {
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      TRANSFER_TIMEOUT_MS,
      (client, options) =>
        client.fetchDocuments(
          {have: peerMessages.encodeVersions(peerEffect.have)},
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
    peerEffect: EffectOf<'sendWitness'>,
  ): Promise<event.Event> {
    const {peer, batch} = peerEffect;
    const entries = peerEffect.entries.map(peerMessages.encodeText);
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      CALL_TIMEOUT_MS,
      (client, options) =>
        client.witness(
          {from: this.options.processName, to: peer, entries},
          options,
        ),
    );
    return {kind: 'witnessAnswered', peer, batch, stored: answer.stored};
  }

  private async readWitness(
    peerEffect: EffectOf<'readWitness'>,
  ): Promise<event.Event> {
    const {peer, process} = peerEffect;
    const answer = await this.connections.call(
      peerEffect.peer,
      peerEffect.address,
      TRANSFER_TIMEOUT_MS,
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

/** Returns the zone of a peer, which is the first part of its name. */
function zoneOfPeer(peer: string): string {
  return peer.split('.')[0];
}

interface ForwardedCall {
  readonly operation: string;
  readonly identity: string;
  readonly client: string;
  readonly body: Uint8Array;
  readonly waitMs: number;
}

/** Returns the message that forwards a call; undefined for other calls. */
function toForwardedCall(call: event.CallEvent): ForwardedCall | undefined {
  const emptyBody = peerMessages.encodeText('');
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
        body: emptyBody,
        waitMs: peerMessages.toUint32(call.waitMs),
      };
    case 'cancelArrived':
    case 'explainArrived':
      return {
        operation: call.kind === 'cancelArrived' ? 'cancel' : 'explain',
        identity: call.identity,
        client: call.client,
        body: emptyBody,
        waitMs: 0,
      };
    default:
      return undefined;
  }
}
