import * as jsonBody from './json_body.js';
import * as typeGuards from './type_guards.js';
import type * as effect from '../contracts/effect.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';
import type * as pooledHttpClient from './pooled_http_client.js';

/** Deadline of calls to the log and the VM list. */
const CALL_DEADLINE_MS = 2_000;

/** Most records that one read returns. */
const READ_LIMIT = 500;

/** Largest answer, in bytes. */
const LARGEST_ANSWER = 67_108_864;

/** Where the platform's services are. */
export interface PlatformAddresses {
  readonly log: string;
  readonly vmList: string;
}

/** What a platform link is made with. */
export interface PlatformLinkOptions {
  readonly addresses: PlatformAddresses;
  readonly client: pooledHttpClient.PooledHttpClient;
  readonly post: (event: event.Event) => void;
  readonly now: () => number;
  readonly metrics: sinks.MetricsSink;
}

type ReadRecords = Pick<
  Extract<event.PlatformEvent, {kind: 'recordsRead'}>,
  'first' | 'next' | 'records'
>;

interface TaggedList {
  readonly tag: string;
  readonly vms: ReadonlyArray<event.ListedVm>;
}

/** Reads and appends to the log and reads the VM list over HTTP. */
export class PlatformLink {
  private lastList: TaggedList | undefined;

  constructor(private readonly parts: PlatformLinkOptions) {}

  /** Performs one effect; the answer comes as an event. */
  async perform(wanted: effect.PlatformEffect): Promise<void> {
    switch (wanted.kind) {
      case 'append':
        return this.append(wanted);
      case 'readStream':
        return this.readStream(wanted.stream, wanted.from);
      case 'readVmList':
        return this.readVmList();
    }
  }

  private async append(
    wanted: Extract<effect.PlatformEffect, {kind: 'append'}>,
  ): Promise<void> {
    const outcome = await this.parts.client.call({
      method: 'POST',
      address: this.parts.addresses.log,
      path: recordsPath(wanted.stream),
      body: {records: wanted.records},
      headersTimeoutMs: CALL_DEADLINE_MS,
      bodyTimeoutMs: CALL_DEADLINE_MS,
      maxResponseBytes: LARGEST_ANSWER,
    });
    const appended = outcome.kind === 'answered' && outcome.status === 200;
    if (!appended) this.countFailure('append', 'no_answer');
    this.parts.post({
      kind: 'appendAnswered',
      stream: wanted.stream,
      append: wanted.append,
      answer: appended ? 'appended' : 'lost',
    });
  }

  private async readStream(stream: string, from: number): Promise<void> {
    const sentAt = this.parts.now();
    const text = await this.get(
      this.parts.addresses.log,
      `${recordsPath(stream)}?from=${from}&limit=${READ_LIMIT}`,
    );
    const read = text === undefined ? undefined : readRecords(text);
    if (read === undefined) {
      const reason = text === undefined ? 'no_answer' : 'malformed';
      this.countFailure('read', reason);
      this.parts.post({kind: 'readFailed', stream});
      return;
    }
    this.parts.post({kind: 'recordsRead', stream, sentAt, ...read});
  }

  /** Transfers the list only when it has changed; it has a row for each VM. */
  private async readVmList(): Promise<void> {
    const sentAt = this.parts.now();
    const known = this.lastList;
    const outcome = await this.parts.client.call({
      ...getCall(this.parts.addresses.vmList, '/vms'),
      knownEntityTag: known?.tag,
    });
    const unchanged = outcome.kind === 'answered' && outcome.status === 304;
    const vms = unchanged ? known?.vms : this.takeList(outcome);
    if (vms === undefined) {
      const answered = outcome.kind === 'answered' && outcome.status === 200;
      this.countFailure('vm_list', answered ? 'malformed' : 'no_answer');
      this.parts.post({kind: 'vmListFailed'});
      return;
    }
    this.parts.post({kind: 'vmListRead', sentAt, vms});
  }

  private takeList(
    outcome: pooledHttpClient.PooledHttpOutcome,
  ): ReadonlyArray<event.ListedVm> | undefined {
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    const vms = readVms(outcome.text);
    const {tag} = outcome;
    if (vms !== undefined) {
      this.lastList = tag === undefined ? undefined : {tag, vms};
    }
    return vms;
  }

  private async get(
    address: string,
    path: string,
  ): Promise<string | undefined> {
    const outcome = await this.parts.client.call(getCall(address, path));
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    return outcome.text;
  }

  private countFailure(call: string, reason: string): void {
    this.parts.metrics.count('platform_call_failed', {call, reason}, 1);
  }
}

function getCall(
  address: string,
  path: string,
): pooledHttpClient.PooledHttpRequest {
  return {
    method: 'GET',
    address,
    path,
    headersTimeoutMs: CALL_DEADLINE_MS,
    bodyTimeoutMs: CALL_DEADLINE_MS,
    maxResponseBytes: LARGEST_ANSWER,
  };
}

function recordsPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

/** Reads records; undefined unless they are in order and within the bounds. */
function readRecords(text: string): ReadRecords | undefined {
  const raw = jsonBody.parseJsonObject(text);
  if (raw === undefined) return undefined;
  const {first, next, records} = raw;
  if (
    !typeGuards.isNonNegativeInteger(first) ||
    !typeGuards.isNonNegativeInteger(next) ||
    first > next
  ) {
    return undefined;
  }
  if (!Array.isArray(records) || !records.every(isRecord)) return undefined;
  let least = first;
  for (const record of records) {
    if (record.offset < least || record.offset >= next) return undefined;
    least = record.offset + 1;
  }
  return {first, next, records};
}

function isRecord(value: unknown): value is event.StreamRecord {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['offset']) &&
    typeof value['data'] === 'string'
  );
}

/**
 * Reads the VM list; undefined when any row is malformed, because a row that
 * were left out would say that its VM no longer exists.
 */
function readVms(text: string): ReadonlyArray<event.ListedVm> | undefined {
  const vms = jsonBody.parseJsonObject(text)?.['vms'];
  if (!Array.isArray(vms) || !vms.every(isListedVm)) return undefined;
  return vms;
}

function isListedVm(value: unknown): value is event.ListedVm {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonEmptyString(value['vm']) &&
    (value['role'] === 'entry' || value['role'] === 'worker') &&
    typeGuards.isNonEmptyString(value['zone']) &&
    typeof value['address'] === 'string' &&
    (value['state'] === 'live' || value['state'] === 'leaving')
  );
}
