import * as effect from './effect.js';
import * as result from '../result.js';
import type * as identityIssuer from './identity_issuer.js';
import type * as event from './event.js';

/** Returns the effects that refuse a call and count the refusal by reason. */
export function refuse(
  call: event.CallNumber,
  refusal: result.Failure,
  identity?: string,
): ReadonlyArray<effect.Effect> {
  return [
    effect.count('refusal', {reason: refusal.result}),
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

/** Returns the refusal of an identity that this client may not use. */
export function unknownIdentity(identity: string): result.Failure {
  return result.failure(
    'unknownIdentity',
    `identity: ${identity} was not issued to this client`,
  );
}

/** Returns why an identity can't be used; undefined for a valid identity. */
export function identityRefusal(
  status: identityIssuer.IdentityStatus,
  identity: string,
): result.Failure | undefined {
  switch (status) {
    case 'foreign':
      return unknownIdentity(identity);
    case 'expired': {
      const detail = `identity: ${identity} has expired; its outcome is lost`;
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
