import * as protobuf from '@bufbuild/protobuf';
import * as peerPb from './generated/peer_pb.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as request from '../contracts/request.js';

/** Largest value of a uint32; means no limit in `remaining_ms`. */
const UINT32_MAX = 0xffffffff;

/** Largest message that is accepted; answers of tasks are the largest. */
export const MAXIMUM_MESSAGE_BYTES = 67_108_864;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes text as UTF-8. */
export function encodeText(text: string): Uint8Array {
  return encoder.encode(text);
}

/** Decodes UTF-8 text. */
export function decodeText(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}

/** Rounds to a uint64, clamped to 0 and the largest safe integer. */
export function toUint64(value: number): bigint {
  if (!(value > 0)) return 0n;
  return BigInt(Math.min(Math.round(value), Number.MAX_SAFE_INTEGER));
}

/** Rounds to a uint32, clamped to its range; infinity becomes the maximum. */
export function toUint32(value: number): number {
  if (!(value > 0)) return 0;
  return Math.min(Math.round(value), UINT32_MAX);
}

/** Decodes the remaining time of a request; Infinity means no limit. */
export function decodeRemainingMs(value: number): number {
  return value === UINT32_MAX ? Infinity : value;
}

/** Encodes document versions. */
export function encodeVersions(
  versions: ReadonlyArray<event.DocumentVersion>,
): peerPb.DocumentVersion[] {
  return versions.map(item =>
    protobuf.create(peerPb.DocumentVersionSchema, {
      name: item.name,
      version: toUint64(item.version),
    }),
  );
}

/** Decodes document versions. */
export function decodeVersions(
  versions: ReadonlyArray<peerPb.DocumentVersion>,
): ReadonlyArray<event.DocumentVersion> {
  return versions.map(item => ({
    name: item.name,
    version: Number(item.version),
  }));
}

/** Encodes records of the zone stream. */
export function encodeRecords(
  records: ReadonlyArray<event.StreamRecord>,
): peerPb.StreamRecord[] {
  return records.map(item =>
    protobuf.create(peerPb.StreamRecordSchema, {
      offset: toUint64(item.offset),
      data: encodeText(item.data),
    }),
  );
}

/** Decodes records of the zone stream. */
export function decodeRecords(
  records: ReadonlyArray<peerPb.StreamRecord>,
): ReadonlyArray<event.StreamRecord> {
  return records.map(item => ({
    offset: Number(item.offset),
    data: decodeText(item.data),
  }));
}

/** Fields that the request and the response of a confirmation share. */
export interface EncodedStatus {
  readonly from: string;
  readonly zone: string;
  readonly address: string;
  readonly leaving: boolean;
  readonly documents: peerPb.DocumentVersion[];
  readonly leavingWorkers: string[];
  readonly summaries: peerPb.ZoneSummary[];
}

/** Encodes the shared fields of a confirmation request or response. */
export function encodeStatus(status: event.PeerStatus): EncodedStatus {
  return {
    from: status.from,
    zone: status.zone,
    address: status.address,
    leaving: status.leaving,
    documents: encodeVersions(status.documents),
    leavingWorkers: [...status.leavingWorkers],
    summaries: status.summaries.map(encodeSummary),
  };
}

/** Decodes the shared fields of a confirmation request or response. */
export function decodeStatus(
  message: peerPb.ConfirmRequest | peerPb.ConfirmResponse,
): event.PeerStatus {
  return {
    from: message.from,
    zone: message.zone,
    address: message.address,
    leaving: message.leaving,
    documents: decodeVersions(message.documents),
    leavingWorkers: message.leavingWorkers,
    summaries: message.summaries.map(decodeSummary),
  };
}

/** Encodes configuration documents. */
export function encodeDocuments(
  documents: ReadonlyArray<event.Document>,
): peerPb.Document[] {
  return documents.map(item =>
    protobuf.create(peerPb.DocumentSchema, {
      name: item.name,
      version: toUint64(item.version),
      content: item.content,
    }),
  );
}

/** Encodes an offer of a request to a peer. */
export function encodeOffer(
  offer: Extract<effect.PeerEffect, {kind: 'offerRequest'}>,
  from: string,
): peerPb.OfferRequest {
  const {submission} = offer;
  return protobuf.create(peerPb.OfferRequestSchema, {
    from,
    to: offer.peer,
    identity: offer.identity,
    attempt: offer.attempt,
    client: offer.client,
    team: submission.team,
    workload: submission.workload,
    payload: encodeText(submission.payload),
    remainingMs: toUint32(offer.remainingMs),
    size: submission.size,
    startDeadlineMs: submission.startDeadlineMs,
  });
}

/** Decodes the submission of an offer. */
export function decodeOffer(message: peerPb.OfferRequest): request.Submission {
  const {size} = message;
  return {
    team: message.team,
    workload: message.workload,
    payload: decodeText(message.payload),
    ...(size === undefined
      ? {}
      : {
          size: {
            processors: size.processors,
            memory: size.memory,
            accelerators: size.accelerators,
            slots: size.slots,
          },
        }),
    ...(message.startDeadlineMs === undefined
      ? {}
      : {startDeadlineMs: message.startDeadlineMs}),
  };
}

function encodeSummary(summary: event.ZoneSummary): peerPb.ZoneSummary {
  return protobuf.create(peerPb.ZoneSummarySchema, {
    zone: summary.zone,
    freeProcessors: toUint64(summary.freeProcessors),
    freeMemory: toUint64(summary.freeMemory),
    freeAccelerators: toUint64(summary.freeAccelerators),
    expectedWaitMs: toUint64(summary.expectedWaitMs),
    workerCount: toUint32(summary.workerCount),
  });
}

function decodeSummary(message: peerPb.ZoneSummary): event.ZoneSummary {
  return {
    zone: message.zone,
    freeProcessors: Number(message.freeProcessors),
    freeMemory: Number(message.freeMemory),
    freeAccelerators: Number(message.freeAccelerators),
    expectedWaitMs: Number(message.expectedWaitMs),
    workerCount: message.workerCount,
  };
}
