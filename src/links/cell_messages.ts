import type * as jobAdmission from '../jobs/job_admission.js';
import type * as protobuf from '@bufbuild/protobuf';
import type * as cellMember from '../zones/cell_member.js';
import type * as cellPb from './generated/cell_pb.js';
import type * as cellPeers from '../zones/cell_peers.js';

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

/** Encodes which reply of a member was read last. */
export function encodeReceivedReply(
  reply: cellPeers.ReceivedReply | undefined,
): protobuf.MessageInitShape<typeof cellPb.ReceivedReplySchema> | undefined {
  if (reply === undefined) return undefined;
  return {incarnation: reply.incarnation, sentAtMs: reply.sentAt};
}

/** Decodes which reply was read last; undefined when the message has none. */
export function decodeReceivedReply(
  reply: cellPb.ReceivedReply | undefined,
): cellPeers.ReceivedReply | undefined {
  if (reply === undefined) return undefined;
  return {incarnation: reply.incarnation, sentAt: reply.sentAtMs};
}

const KNOWN_REFUSALS: ReadonlySet<string> = new Set<jobAdmission.SubmitRefusal>(
  [
    'storeSilent',
    'storeLost',
    'overloaded',
    'noRoomInTime',
    'noStartInTime',
    'notReady',
    'unknownQueue',
    'idInUse',
    'recordTooLarge',
  ],
);

/** Decodes the outcome of a job submission; unknown refusals mean not ready. */
export function decodeSubmitResponse(
  response: cellPb.SubmitResponse,
): jobAdmission.SubmitOutcome {
  if (response.accepted) return {kind: 'accepted'};
  if (response.undecided) return {kind: 'undecided'};
  return decodeRefusal(response);
}

/** Encodes a screened job, whose times are whole numbers in the message. */
export function encodeScreenedJob(
  job: jobAdmission.ScreenedJob,
): protobuf.MessageInitShape<typeof cellPb.ScreenedJobSchema> {
  return {...job, pathMs: Math.round(job.pathMs)};
}

/** Encodes the leader's answer about a screened job. */
export function encodeScreeningOutcome({
  refusal,
}: jobAdmission.ScreeningOutcome): protobuf.MessageInitShape<
  typeof cellPb.ScreeningOutcomeSchema
> {
  if (refusal === undefined) return {refusalReason: ''};
  const {reason, retryAfterSeconds} = refusal;
  return {refusalReason: reason, retryAfterSeconds};
}

/** Decodes the leader's answer about a screened job. */
export function decodeScreeningOutcome(
  outcome: cellPb.ScreeningOutcome,
): jobAdmission.ScreeningOutcome {
  if (outcome.refusalReason === '') return {refusal: undefined};
  return {refusal: decodeRefusal(outcome)};
}

function decodeRefusal({
  refusalReason,
  retryAfterSeconds,
}: {
  readonly refusalReason: string;
  readonly retryAfterSeconds: number;
}): jobAdmission.SubmitRefused {
  const reason = refusalReason as jobAdmission.SubmitRefusal;
  return {
    kind: 'refused',
    reason: KNOWN_REFUSALS.has(reason) ? reason : 'notReady',
    retryAfterSeconds,
  };
}
