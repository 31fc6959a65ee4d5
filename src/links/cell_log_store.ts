import * as jsonDocument from './json_document.js';
import * as recordChecks from './record_checks.js';
import * as typeGuards from './type_guards.js';
import type * as cellMember from '../zones/cell_member.js';
import type * as keyedTopic from './keyed_topic.js';

const CLAIM_KEY = 'claim';
const PROGRESS_KEY = 'progress';
const WITNESSES_KEY = 'witnesses';
const MEMBER_PREFIX = 'member/';

const TOMBSTONE = new Uint8Array(0);

/** Time within which an append must be answered. */
const APPEND_TIMEOUT_MS = 700;

/** Stores the members of the cell and their claims in a keyed topic. */
export class CellLogStore implements cellMember.CellLog {
  constructor(private readonly topic: keyedTopic.KeyedTopic) {}

  async join(
    member: cellMember.CellMember,
    firstOffset: number | undefined,
    expectedEnd: number,
  ): Promise<boolean> {
    const registration = {
      ...member,
      firstOffset,
      heedsExemptions: true,
      heedsWitnesses: true,
    };
    const record = {
      key: MEMBER_PREFIX + member.address,
      value: jsonDocument.encode(registration),
    };
    const outcome = await this.topic.append(
      [record],
      firstOffset === undefined ? {} : {ifEnd: expectedEnd},
      APPEND_TIMEOUT_MS,
    );
    return outcome.kind === 'appended';
  }

  async probe(): Promise<boolean> {
    const outcome = await this.topic.readNewest();
    return outcome.kind === 'read';
  }

  async claim(
    member: cellMember.CellMember,
    expectedEnd: number,
    grantors: cellMember.Grantors | undefined,
  ): Promise<cellMember.ClaimOutcome> {
    const value = jsonDocument.encode({
      ...member,
      grantorEnd: grantors?.grantorEnd,
      exempt: grantors?.exempt,
    });
    const record = {key: CLAIM_KEY, value};
    const outcome = await this.topic.append(
      [record],
      {ifEnd: expectedEnd},
      APPEND_TIMEOUT_MS,
    );
    switch (outcome.kind) {
      case 'appended':
        return {kind: 'won', term: outcome.offset + 1};
      case 'rejected':
        return {kind: 'refused', detail: outcome.detail};
      case 'refused':
      case 'unanswered':
        return outcome;
      default:
        return {kind: 'lost'};
    }
  }

  async reportProgress(
    progress: cellMember.LeaderProgress,
    expectedEnd: number,
    timeoutMs: number,
  ): Promise<cellMember.ProgressOutcome> {
    const records = progressRecords(progress);
    const outcome = await this.topic.append(
      records,
      {ifEnd: expectedEnd},
      timeoutMs,
    );
    switch (outcome.kind) {
      case 'appended':
        return {kind: 'stored', end: outcome.offset + records.length};
      case 'conditionFailed':
        return this.readNewRecords(expectedEnd);
      default:
        return {kind: 'unavailable'};
    }
  }

  /** Reads the records that preceded a progress record. */
  private async readNewRecords(
    from: number,
  ): Promise<cellMember.ProgressOutcome> {
    const outcome = await this.topic.read(from, 0);
    if (outcome.kind !== 'read') return {kind: 'unavailable'};
    const content = decodeCellLog(outcome.records, false);
    return {kind: 'outdated', content, end: outcome.end};
  }
}

/**
 * Returns the records of a leader's progress, which are stored all or not at
 * all. The witnesses have a key of their own, because they seldom change.
 */
function progressRecords({
  witnesses,
  departed = [],
  ...progress
}: cellMember.LeaderProgress): ReadonlyArray<keyedTopic.KeyedRecord> {
  const records: keyedTopic.KeyedRecord[] = departed.map(address => ({
    key: MEMBER_PREFIX + address,
    value: TOMBSTONE,
  }));
  if (witnesses !== undefined) {
    const value = jsonDocument.encode(witnesses);
    records.push({key: WITNESSES_KEY, value});
  }
  return [
    ...records,
    {key: PROGRESS_KEY, value: jsonDocument.encode(progress)},
  ];
}

/** Decodes records of the cell's log; skips unknown kinds. */
export function decodeCellLog(
  records: ReadonlyArray<keyedTopic.TopicRecord>,
  isSnapshot: boolean,
): cellMember.CellLogContent {
  const members = new Map<string, cellMember.CellMember>();
  const memberOffsets = new Map<string, number>();
  const departed = new Set<string>();
  let claim: cellMember.Claim | undefined;
  let progress: cellMember.LeaderProgress | undefined;
  let witnesses: ReadonlyArray<string> | undefined;
  for (const record of records) {
    if (isMemberKey(record.key)) {
      const address = record.key.slice(MEMBER_PREFIX.length);
      if (record.value.length === 0) {
        members.delete(address);
        memberOffsets.delete(address);
        departed.add(address);
        continue;
      }
      departed.delete(address);
      const member = decodeMember(record);
      if (member !== undefined) members.set(address, member);
      memberOffsets.set(address, member?.firstOffset ?? record.offset);
    } else if (record.key === CLAIM_KEY) {
      claim = decodeClaim(record) ?? claim;
    } else if (record.key === WITNESSES_KEY) {
      witnesses = decodeWitnesses(record) ?? witnesses;
    } else if (record.key === PROGRESS_KEY && !isSnapshot) {
      // The progress in a snapshot may be from long ago.
      progress = decodeProgress(record) ?? progress;
    }
  }
  const leaderRecord = findLeaderRecord(records);
  return {
    members: [...members.values()],
    claim,
    progress,
    memberOffsets,
    leaderRecord,
    witnesses,
    departed: [...departed],
    isComplete: isSnapshot,
  };
}

function isMemberKey(key: string): boolean {
  return key.startsWith(MEMBER_PREFIX);
}

/** Returns the last claim or progress record; undefined if there is none. */
function findLeaderRecord(
  records: ReadonlyArray<keyedTopic.TopicRecord>,
): cellMember.LeaderRecord | undefined {
  let last: keyedTopic.TopicRecord | undefined;
  for (const record of records) {
    const isLeaderRecord =
      record.key === CLAIM_KEY || record.key === PROGRESS_KEY;
    if (!isLeaderRecord) continue;
    if (last === undefined || record.offset > last.offset) last = record;
  }
  if (last === undefined) return undefined;
  const {offset, value} = last;
  const record = jsonDocument.decode(value, typeGuards.isObject).extract();
  const grantorEnd = record?.['grantorEnd'];
  const exempt = record?.['exempt'];
  return {
    offset,
    grantorEnd: typeGuards.isNonNegativeInteger(grantorEnd)
      ? grantorEnd
      : offset,
    exempt: recordChecks.isTextList(exempt) ? exempt : [],
  };
}

function decodeMember(
  record: keyedTopic.TopicRecord,
): cellMember.CellMember | undefined {
  return jsonDocument.decode(record.value, recordChecks.isCellMember).extract();
}

function decodeClaim(
  record: keyedTopic.TopicRecord,
): cellMember.Claim | undefined {
  const member = decodeMember(record);
  if (member === undefined) return undefined;
  const {node, incarnation, address} = member;
  return {term: record.offset + 1, node, incarnation, address};
}

function decodeWitnesses(
  record: keyedTopic.TopicRecord,
): ReadonlyArray<string> | undefined {
  return jsonDocument.decode(record.value, recordChecks.isTextList).extract();
}

function decodeProgress(
  record: keyedTopic.TopicRecord,
): cellMember.LeaderProgress | undefined {
  return jsonDocument
    .decode(record.value, recordChecks.isLeaderProgress)
    .extract();
}
