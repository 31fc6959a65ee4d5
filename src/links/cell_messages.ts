import type * as jobAdmission from '../jobs/job_admission.js';
import type * as protobuf from '@bufbuild/protobuf';
import type * as cellMember from '../zones/cell_member.js';
import type * as cellPb from './generated/cell_pb.js';

/** Largest message between cell members, in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 1_048_576;

/** Encodes a claim, whose term is a bigint in the message. */
export function encodeClaim(
  claim: cellMember.Claim | undefined,
): protobuf.MessageInitShape<typeof cellPb.ClaimSchema> | undefined {
  if (claim === undefined) return undefined;
  return {...claim, term: BigInt(claim.term)};
}

/** Decodes a claim; returns undefined when the message has none. */
export function decodeClaim(
  claim: cellPb.Claim | undefined,
): cellMember.Claim | undefined {
  if (claim === undefined) return undefined;
  const {node, incarnation, address} = claim;
  return {term: Number(claim.term), node, incarnation, address};
}

const KNOWN_REFUSALS: ReadonlySet<string> = new Set<jobAdmission.SubmitRefusal>(
  ['storeSilent', 'storeLost', 'overloaded', 'notReady', 'unknownQueue'],
);

/** Decodes the outcome of a job submission; unknown refusals mean not ready. */
export function decodeSubmitResponse(
  response: cellPb.SubmitResponse,
): jobAdmission.SubmitOutcome {
  if (response.accepted) return {kind: 'accepted'};
  if (response.undecided) return {kind: 'undecided'};
  const reason = response.refusalReason as jobAdmission.SubmitRefusal;
  return {
    kind: 'refused',
    reason: KNOWN_REFUSALS.has(reason) ? reason : 'notReady',
    retryAfterSeconds: response.retryAfterSeconds,
  };
}
