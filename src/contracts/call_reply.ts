import * as effects from './effect.js';
import * as result from '../result.js';
import type * as identityIssuer from './identity_issuer.js';
import type * as event from './event.js';

/** Answers a call with a refusal, which is counted by its reason. */
export function refuse(
  call: event.CallNumber,
  refusal: result.Failure,
  identity?: string,
): ReadonlyArray<effects.Effect> {
  return [
    effects.count('refusal', {reason: refusal.result}),
    {
      kind: 'answerCaller',
      call,
      reply: {
        code: result.RESULT_CODES[refusal.result].code,
        detail: refusal.detail,
        ...(identity === undefined ? {} : {identity}),
      },
    },
  ];
}

/** The refusal of an identity that the client may not use here. */
export function unknownIdentity(identity: string): result.Failure {
  return result.failure(
    'unknownIdentity',
    `identity: ${identity} was not issued to this client`,
  );
}

/** Why an identity that was issued here can't be used; undefined if it can. */
export function identityRefusal(
  check: identityIssuer.IdentityStatus,
  identity: string,
): result.Failure | undefined {
  switch (check) {
    case 'foreign':
      return unknownIdentity(identity);
    case 'expired': {
      const detail = `identity: ${identity} was issued too long ago`;
      return result.failure('outcomeLost', detail);
    }
    case 'refused': {
      const detail = `identity: ${identity} was refused; use a new one`;
      return result.failure('identityRefused', detail);
    }
    case 'valid':
      return undefined;
  }
}
