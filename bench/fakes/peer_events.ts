import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

/** Effects that are calls to another process, except forwarded calls. */
export type PeerCall = Exclude<
  Extract<effect.PeerEffect, {readonly peer: string}>,
  {kind: 'forwardCall'}
>;

/** Returns the event that a call causes at its receiver. */
export function toPeerEvent(
  from: string,
  wanted: PeerCall,
  call: event.CallNumber,
): event.PeerEvent {
  const to = wanted.peer;
  switch (wanted.kind) {
    case 'confirmPeer':
      return {
        kind: 'confirmArrived',
        call,
        to,
        zonePosition: wanted.zonePosition,
        status: wanted.status,
      };
    case 'offerRequest': {
      const {identity, client, submission, remainingMs, attempt} = wanted;
      return {
        kind: 'offerArrived',
        call,
        from,
        to,
        identity,
        attempt,
        client,
        submission,
        remainingMs,
      };
    }
    case 'withdrawOffer':
      return {
        kind: 'withdrawArrived',
        call,
        from,
        to,
        identity: wanted.identity,
        attempt: wanted.attempt,
      };
    case 'fetchDocuments':
      return {kind: 'fetchDocumentsArrived', call, have: wanted.have};
    case 'sendWitness':
      return {kind: 'witnessArrived', call, from, to, entries: wanted.entries};
    case 'readWitness':
      return {kind: 'readWitnessArrived', call, process: wanted.process};
  }
}

/** Returns the event that an answer causes at the caller. */
export function toAnswerEvent(
  wanted: PeerCall,
  answer: effect.Effect,
  sentAt: number,
): event.Event | undefined {
  const peer = wanted.peer;
  switch (answer.kind) {
    case 'answerConfirm': {
      const {confirmed, zoneRecords, status: peerStatus} = answer;
      return {
        kind: 'confirmAnswered',
        peer,
        sentAt,
        confirmed,
        zoneRecords,
        status: peerStatus,
      };
    }
    case 'answerOffer':
      if (wanted.kind !== 'offerRequest') return undefined;
      return {
        kind: 'offerAnswered',
        peer,
        identity: wanted.identity,
        code: answer.code,
        answer: answer.answer,
      };
    case 'answerWithdraw':
      if (wanted.kind !== 'withdrawOffer') return undefined;
      return {
        kind: 'withdrawAnswered',
        peer,
        identity: wanted.identity,
        code: answer.code,
      };
    case 'answerDocuments':
      return {kind: 'documentsArrived', documents: answer.documents};
    case 'answerWitness':
      if (wanted.kind !== 'sendWitness') return undefined;
      return {
        kind: 'witnessAnswered',
        peer,
        batch: wanted.batch,
        stored: answer.stored,
      };
    case 'answerReadWitness':
      if (wanted.kind !== 'readWitness') return undefined;
      return {
        kind: 'readWitnessAnswered',
        peer,
        process: wanted.process,
        complete: answer.complete,
        entries: answer.entries,
      };
    default:
      return undefined;
  }
}
