import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';

/** Effects that call a peer. */
export type PeerCallEffect = Extract<
  effect.PeerEffect,
  {readonly peer: string}
>;

/** Returns the event that reports a call without an answer. */
export function toFailureEvent(peerEffect: PeerCallEffect): event.Event {
  const {peer} = peerEffect;
  switch (peerEffect.kind) {
    case 'confirmPeer':
      return {kind: 'confirmFailed', peer};
    case 'offerRequest':
      return {kind: 'offerLost', peer, identity: peerEffect.identity};
    case 'withdrawOffer':
      return {
        kind: 'withdrawAnswered',
        peer,
        identity: peerEffect.identity,
        code: result.RESULT_CODES.unknownOutcome.code,
      };
    case 'forwardCall':
      return {kind: 'forwardFailed', call: peerEffect.call};
    case 'fetchDocuments':
      // The next confirmation reports again which documents are missing.
      return {kind: 'documentsArrived', documents: []};
    case 'sendWitness':
      return {
        kind: 'witnessAnswered',
        peer,
        batch: peerEffect.batch,
        stored: false,
      };
    case 'readWitness':
      return {
        kind: 'readWitnessAnswered',
        peer,
        process: peerEffect.process,
        complete: false,
        entries: [],
      };
  }
}
