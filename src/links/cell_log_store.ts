import * as jsonDocument from './json_document.js';
import type * as cellMember from '../zones/cell_member.js';
import type * as keyedTopic from './keyed_topic.js';

const CLAIM_KEY = 'claim';
const MEMBER_PREFIX = 'member/';

/** Time within which an append must be answered. */
const APPEND_TIMEOUT_MS = 700;

/** Stores the members of the cell and their claims in a keyed topic. */
export class CellLogStore implements cellMember.CellLog {
  constructor(private readonly topic: keyedTopic.KeyedTopic) {}

  async join(member: cellMember.CellMember): Promise<boolean> {
    const record = {
      key: MEMBER_PREFIX + member.address,
      value: jsonDocument.encode(member),
    };
    const outcome = await this.topic.append([record], {}, APPEND_TIMEOUT_MS);
    return outcome.kind === 'appended';
  }

  async probe(): Promise<boolean> {
    const outcome = await this.topic.readNewest();
    return outcome.kind === 'read';
  }

  async claim(
    member: cellMember.CellMember,
    expectedEnd: number,
  ): Promise<cellMember.ClaimOutcome> {
    const record = {key: CLAIM_KEY, value: jsonDocument.encode(member)};
    const outcome = await this.topic.append(
      [record],
      {ifEnd: expectedEnd},
      APPEND_TIMEOUT_MS,
    );
    switch (outcome.kind) {
      case 'appended':
        return {kind: 'won', term: outcome.offset + 1};
      case 'refused':
      case 'unanswered':
        return outcome;
      default:
        return {kind: 'lost'};
    }
  }
}

/** Decoded record of the cell's log. */
export type CellRecord =
  | {readonly kind: 'member'; readonly member: cellMember.CellMember}
  | {readonly kind: 'claim'; readonly claim: cellMember.Claim};

/** Decodes a record; returns undefined for an unknown kind of record. */
export function decodeCellRecord(
  record: keyedTopic.TopicRecord,
): CellRecord | undefined {
  const member = jsonDocument
    .decode<cellMember.CellMember>(record.value)
    .extract();
  if (member === undefined) return undefined;
  if (record.key.startsWith(MEMBER_PREFIX)) return {kind: 'member', member};
  if (record.key !== CLAIM_KEY) return undefined;
  const {node, incarnation, address} = member;
  const term = record.offset + 1;
  return {kind: 'claim', claim: {term, node, incarnation, address}};
}
