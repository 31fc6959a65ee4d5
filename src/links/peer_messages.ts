import * as protobuf from '@bufbuild/protobuf';
import * as peerPb from './generated/peer_pb.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as request from '../contracts/request.js';

/** Largest value of a uint32; stands for no limit in `remaining_ms`. */
const UINT32_MAX = 0xffffffff;

/** Largest message that is read, in bytes; answers of tasks are the largest. */
export const MAX_MESSAGE_BYTES = 67_108_864;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Text as the bytes of a message. */
export function encodeText(text: string): Uint8Array {
  return encoder.encode(text);
}

/** Bytes of a message as text. */
export function decodeText(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}

/** A number as an unsigned 64-bit integer; clamped to what both can hold. */
export function toUint64(value: number): bigint {
  if (!(value > 0)) return 0n;
  return BigInt(Math.min(Math.round(value), Number.MAX_SAFE_INTEGER));
}

/** A duration as an unsigned 32-bit integer; endless when it does not fit. */
export function toUint32(value: number): number {
  if (!(value > 0)) return 0;
  return Math.min(Math.round(value), UINT32_MAX);
}

/** The time left of a request; Infinity when there is no limit. */
export function decodeRemainingMs(value: number): number {
  return value === UINT32_MAX ? Infinity : value;
}

/** Versions of documents as a message carries them. */
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

/** Versions of documents that a message carries. */
export function decodeVersions(
  versions: ReadonlyArray<peerPb.DocumentVersion>,
): ReadonlyArray<event.DocumentVersion> {
  return versions.map(item => ({
    name: item.name,
    version: Number(item.version),
  }));
}

/** Zone records as a message carries them. */
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

/** Zone records that a message carries. */
export function decodeRecords(
  records: ReadonlyArray<peerPb.StreamRecord>,
): ReadonlyArray<event.StreamRecord> {
  return records.map(item => ({
    offset: Number(item.offset),
    data: decodeText(item.data),
  }));
}

/** The fields that both messages of a confirmation share. */
export interface EncodedNews {
  readonly from: string;
  readonly zone: string;
  readonly address: string;
  readonly leaving: boolean;
  readonly documents: peerPb.DocumentVersion[];
  readonly leavingWorkers: string[];
  readonly summaries: peerPb.ZoneSummary[];
}

/** News as either message of a confirmation carries them. */
export function encodeNews(news: event.PeerStatus): EncodedNews {
  return {
    from: news.from,
    zone: news.zone,
    address: news.address,
    leaving: news.leaving,
    documents: encodeVersions(news.documents),
    leavingWorkers: [...news.leavingWorkers],
    summaries: news.summaries.map(encodeSummary),
  };
}

/** The news in either message of a confirmation. */
export function decodeNews(
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

/** Configuration documents as a message carries them. */
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

/** An offer as a message. */
export function encodeOffer(
  wanted: Extract<effect.PeerEffect, {kind: 'offerRequest'}>,
  from: string,
): peerPb.OfferRequest {
  const {submission} = wanted;
  return protobuf.create(peerPb.OfferRequestSchema, {
    from,
    to: wanted.peer,
    identity: wanted.identity,
    attempt: wanted.attempt,
    client: wanted.client,
    team: submission.team,
    workload: submission.workload,
    payload: encodeText(submission.payload),
    remainingMs: toUint32(wanted.remainingMs),
    size: submission.size,
    startDeadlineMs: submission.startDeadlineMs,
  });
}

/** The submission in an offer. */
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
