import * as http from 'node:http';
import * as listen from '../src/links/listen.js';
import * as jsonBody from '../src/links/json_body.js';

interface StoreRecord {
  readonly key: string;
  readonly value: Buffer;
}

interface Topic {
  readonly records: StoreRecord[];
  readonly producers: Map<string, {epoch: number; sequence: number}>;
  waitingReaders: Array<() => void>;
}

const LENGTH_PREFIX_BYTES = 4;
const OFFSET_BYTES = 8;

/**
 * Stand-in for the platform's store with the calls that the scheduler uses:
 * conditional appends to keyed topics, long-polling reads, and the newest
 * record of each key.
 */
export class PlatformStore {
  /** When set, calls have no effect and get no answer. */
  silent = false;
  private readonly topics = new Map<string, Topic>();
  private readonly server: http.Server;

  constructor() {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  /** Starts listening on a free port and returns the address. */
  async listen(host = '127.0.0.1'): Promise<string> {
    const port = await listen.listen(this.server, host, 0);
    return `${host}:${port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record without HTTP; an undefined value deletes the key. */
  put(topic: string, key: string, value: unknown): void {
    this.putText(topic, key, value === undefined ? '' : JSON.stringify(value));
  }

  /** Appends a record of any text, as another writer may. */
  putText(topic: string, key: string, text: string): void {
    this.addRecords(this.topic(topic), [{key, value: Buffer.from(text)}]);
  }

  /** Returns the newest value of each key that is not deleted. */
  newestValues(topic: string): ReadonlyMap<string, Buffer> {
    const newest = new Map<string, Buffer>();
    for (const {key, value} of this.topic(topic).records) {
      if (value.length > 0) newest.set(key, value);
      else newest.delete(key);
    }
    return newest;
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.silent) return;
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    switch (url.pathname) {
      case '/log-append':
        this.append(topic, url.searchParams, Buffer.concat(chunks), response);
        return;
      case '/log-read':
        await this.read(topic, url.searchParams, response);
        return;
      case '/log-newest':
        this.sendNewest(topic, response);
        return;
      default:
        jsonBody.sendJson(response, 404, {});
    }
  }

  private append(
    topic: Topic,
    query: URLSearchParams,
    body: Buffer,
    response: http.ServerResponse,
  ): void {
    const end = topic.records.length;
    const expectedEnd = query.get('at');
    if (expectedEnd !== null && Number(expectedEnd) !== end) {
      jsonBody.sendJson(response, 412, {end});
      return;
    }
    const records = decodeRecords(body);
    const producer = query.get('producer');
    if (producer !== null) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('seq'));
      const lastAppend = topic.producers.get(producer) ?? {
        epoch: -1,
        sequence: 0,
      };
      if (epoch < lastAppend.epoch) {
        jsonBody.sendJson(response, 409, {reason: 'fenced'});
        return;
      }
      const repeated =
        epoch === lastAppend.epoch &&
        sequence <= lastAppend.sequence &&
        records.length > 0;
      if (repeated) {
        jsonBody.sendJson(response, 200, {offset: end, end});
        return;
      }
      topic.producers.set(producer, {epoch, sequence});
    }
    this.addRecords(topic, records);
    jsonBody.sendJson(response, 200, {offset: end, end: topic.records.length});
  }

  private async read(
    topic: Topic,
    query: URLSearchParams,
    response: http.ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms'));
    if (topic.records.length <= from) await waitForRecords(topic, waitMs);
    if (this.silent) return;
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }

  private sendNewest(topic: Topic, response: http.ServerResponse): void {
    const newest = new Map<
      string,
      {key: string; value: string; offset: number}
    >();
    for (const [offset, {key, value}] of topic.records.entries()) {
      newest.delete(key);
      if (value.length === 0) continue;
      newest.set(key, {key, value: value.toString('base64'), offset});
    }
    jsonBody.sendJson(response, 200, {
      items: [...newest.values()],
      more_pages: false,
      end: topic.records.length,
    });
  }

  private addRecords(topic: Topic, records: ReadonlyArray<StoreRecord>): void {
    topic.records.push(...records);
    const {waitingReaders} = topic;
    topic.waitingReaders = [];
    for (const wake of waitingReaders) wake();
  }

  private topic(name: string): Topic {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created: Topic = {
      records: [],
      producers: new Map(),
      waitingReaders: [],
    };
    this.topics.set(name, created);
    return created;
  }
}

function waitForRecords(topic: Topic, timeoutMs: number): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, timeoutMs);
    topic.waitingReaders.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function encodeRecord({key, value}: StoreRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_PREFIX_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_PREFIX_BYTES);
  return Buffer.concat([header, keyBytes, value]);
}

function decodeRecords(body: Buffer): ReadonlyArray<StoreRecord> {
  const records: StoreRecord[] = [];
  let position = 0;
  while (position < body.length) {
    const end = position + LENGTH_PREFIX_BYTES + body.readUInt32BE(position);
    const keyStart = position + LENGTH_PREFIX_BYTES + 1;
    const keyEnd = keyStart + body.readUInt8(keyStart - 1);
    records.push({
      key: body.toString('utf8', keyStart, keyEnd),
      value: body.subarray(keyEnd, end),
    });
    position = end;
  }
  return records;
}
