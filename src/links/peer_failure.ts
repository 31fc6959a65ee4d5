import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';

/** The effects that ask something of a peer. */
export type PeerCallEffect = Extract<
  effect.PeerEffect,
  {readonly peer: string}
>;

/** The event for a call that got no answer. */
export function toFailureEvent(wanted: PeerCallEffect): event.Event {
  const {peer} = wanted;
  switch (wanted.kind) {
    case 'confirmPeer':
      return {kind: 'confirmFailed', peer};
    case 'offerRequest':
      return {kind: 'offerLost', peer, identity: wanted.identity};
    case 'withdrawOffer':
      return {
        kind: 'withdrawAnswered',
        peer,
        identity: wanted.identity,
        code: result.RESULT_CODES.unknownOutcome.code,
      };
    case 'forwardCall':
      return {kind: 'forwardFailed', call: wanted.call};
    case 'fetchDocuments':
      // The next confirmation shows again which documents are missing.
      return {kind: 'documentsArrived', documents: []};
    case 'sendWitness':
      return {
        kind: 'witnessAnswered',
        peer,
        batch: wanted.batch,
        stored: false,
      };
    case 'readWitness':
      return {
        kind: 'readWitnessAnswered',
        peer,
        process: wanted.process,
        complete: false,
        entries: [],
      };
  }
}
