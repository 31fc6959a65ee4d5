import * as jsonBody from './json_body.js';
import * as typeGuards from './type_guards.js';
import type * as effect from '../contracts/effect.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';
import type * as pooledHttpClient from './pooled_http_client.js';

/** Timeout of calls to the log and the VM list. */
const CALL_TIMEOUT_MS = 2_000;

/** Largest number of records that one read returns. */
const MAXIMUM_RECORDS_PER_READ = 500;

/** Largest response that is accepted. */
const MAXIMUM_RESPONSE_BYTES = 67_108_864;

/** Addresses of the platform's log service and VM list. */
export interface PlatformAddresses {
  readonly log: string;
  readonly vmList: string;
}

/** Dependencies of a platform link. */
export interface PlatformLinkOptions {
  readonly addresses: PlatformAddresses;
  readonly client: pooledHttpClient.PooledHttpClient;
  readonly post: (event: event.Event) => void;
  readonly now: () => number;
  readonly metrics: sinks.MetricsSink;
}

type RecordBatch = Pick<
  Extract<event.PlatformEvent, {kind: 'recordsRead'}>,
  'first' | 'next' | 'records'
>;

interface CachedVmList {
  readonly entityTag: string;
  readonly vms: ReadonlyArray<event.ListedVm>;
}

/** Reads the log, appends to it, and reads the VM list over HTTP. */
export class PlatformLink {
  private cachedList: CachedVmList | undefined;

  constructor(private readonly options: PlatformLinkOptions) {}

  /** Performs one effect and posts its outcome as an event. */
  async perform(platformEffect: effect.PlatformEffect): Promise<void> {
    switch (platformEffect.kind) {
      case 'append':
        return this.append(platformEffect);
      case 'readStream':
        return this.readStream(platformEffect.stream, platformEffect.from);
      case 'readVmList':
        return this.readVmList();
    }
  }

  private async append(
    platformEffect: Extract<effect.PlatformEffect, {kind: 'append'}>,
  ): Promise<void> {
    const outcome = await this.options.client.call({
      method: 'POST',
      address: this.options.addresses.log,
      path: recordsPath(platformEffect.stream),
      body: {records: platformEffect.records},
      headersTimeoutMs: CALL_TIMEOUT_MS,
      bodyTimeoutMs: CALL_TIMEOUT_MS,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
    });
    const appended = outcome.kind === 'answered' && outcome.status === 200;
    if (!appended) this.countFailure('append', 'no_answer');
    this.options.post({
      kind: 'appendAnswered',
      stream: platformEffect.stream,
      append: platformEffect.append,
      answer: appended ? 'appended' : 'lost',
    });
  }

  private async readStream(stream: string, from: number): Promise<void> {
    const sentAt = this.options.now();
    const text = await this.fetchText(
      this.options.addresses.log,
      `${recordsPath(stream)}?from=${from}&limit=${MAXIMUM_RECORDS_PER_READ}`,
    );
    const batch = text === undefined ? undefined : parseRecords(text);
    if (batch === undefined) {
      const reason = text === undefined ? 'no_answer' : 'malformed';
      this.countFailure('read', reason);
      this.options.post({kind: 'readFailed', stream});
      return;
    }
    this.options.post({kind: 'recordsRead', stream, sentAt, ...batch});
  }

  /** Transfers the list only if it has changed, because it has a row per VM. */
  private async readVmList(): Promise<void> {
    const sentAt = this.options.now();
    const cached = this.cachedList;
    const outcome = await this.options.client.call({
      ...toGetRequest(this.options.addresses.vmList, '/vms'),
      knownEntityTag: cached?.entityTag,
    });
    const unchanged = outcome.kind === 'answered' && outcome.status === 304;
    const vms = unchanged ? cached?.vms : this.parseAndCacheList(outcome);
    if (vms === undefined) {
      const answered = outcome.kind === 'answered' && outcome.status === 200;
      this.countFailure('vm_list', answered ? 'malformed' : 'no_answer');
      this.options.post({kind: 'vmListFailed'});
      return;
    }
    this.options.post({kind: 'vmListRead', sentAt, vms});
  }

  private parseAndCacheList(
    outcome: pooledHttpClient.PooledHttpOutcome,
  ): ReadonlyArray<event.ListedVm> | undefined {
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    const vms = parseVms(outcome.text);
    const {entityTag} = outcome;
    if (vms !== undefined) {
      this.cachedList = entityTag === undefined ? undefined : {entityTag, vms};
    }
    return vms;
  }

  private async fetchText(
    address: string,
    path: string,
  ): Promise<string | undefined> {
    const outcome = await this.options.client.call(toGetRequest(address, path));
    if (outcome.kind !== 'answered' || outcome.status !== 200) return undefined;
    return outcome.text;
  }

  private countFailure(call: string, reason: string): void {
    this.options.metrics.count('platform_call_failed', {call, reason}, 1);
  }
}

function toGetRequest(
  address: string,
  path: string,
): pooledHttpClient.PooledHttpRequest {
  return {
    method: 'GET',
    address,
    path,
    headersTimeoutMs: CALL_TIMEOUT_MS,
    bodyTimeoutMs: CALL_TIMEOUT_MS,
    maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
  };
}

function recordsPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

/** Parses records; returns undefined if out of order or out of bounds. */
function parseRecords(text: string): RecordBatch | undefined {
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
  let minimumOffset = first;
  for (const record of records) {
    if (record.offset < minimumOffset || record.offset >= next) {
      return undefined;
    }
    minimumOffset = record.offset + 1;
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
 * Parses the VM list. Returns undefined when any row is malformed, because
 * skipping a row would mean that its VM no longer exists.
 */
function parseVms(text: string): ReadonlyArray<event.ListedVm> | undefined {
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
