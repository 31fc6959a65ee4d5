// Stand-in of the platform's store: keyed topics with one partition each.
import * as http from 'node:http';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const APPEND_MS = 3;
const ITEMS_PER_PAGE = 500;
const REMEMBERED_APPENDS = 5;

/** Topics that the system may not write to. */
const PLATFORM_TOPICS = new Set(['keyed.op', 'keyed.servers']);

export class Store {
  constructor() {
    this.topics = new Map();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record as the operator or a worker does. */
  put(topicName, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.add(this.topic(topicName), [{key, value: Buffer.from(text)}]);
  }

  topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, {records: [], producers: new Map(), readers: []});
    }
    return this.topics.get(name);
  }

  add(topic, records) {
    topic.records.push(...records);
    const readers = topic.readers.splice(0);
    for (const wake of readers) wake();
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const name = query.get('topic') ?? '';
    const call = `${request.method} ${url.pathname}`;
    if (call === 'POST /log-append') {
      if (PLATFORM_TOPICS.has(name)) return send(response, 403, {});
      await new Promise(resolve => setTimeout(resolve, APPEND_MS));
      return this.append(this.topic(name), query, body, response);
    }
    if (call === 'GET /log-read') {
      return this.read(this.topic(name), query, response);
    }
    if (call === 'GET /log-newest') {
      return this.newest(this.topic(name), query, response);
    }
    return send(response, 404, {});
  }

  append(topic, query, body, response) {
    const end = topic.records.length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return send(response, 412, {end});
    const records = decodeRecords(body);
    const producer = query.get('producer');
    if (producer === null) return this.store(topic, records, response);
    const epoch = Number(query.get('epoch'));
    const seq = Number(query.get('seq'));
    const known = topic.producers.get(producer) ?? {epoch: -1, answers: []};
    if (epoch < known.epoch) {
      return send(response, 409, {reason: 'fenced'});
    }
    if (epoch > known.epoch) {
      topic.producers.set(producer, {epoch, seq, answers: []});
      if (records.length === 0) return send(response, 200, {offset: end, end});
      return this.storeOfProducer(topic, producer, seq, records, response);
    }
    if (records.length === 0) return send(response, 200, {offset: end, end});
    const repeated = known.answers.find(answer => answer.seq === seq);
    if (repeated !== undefined) return send(response, 200, repeated.answer);
    if (seq !== known.seq + 1) {
      return send(response, 409, {reason: 'seq', seq: known.seq + 1});
    }
    return this.storeOfProducer(topic, producer, seq, records, response);
  }

  storeOfProducer(topic, producer, seq, records, response) {
    const known = topic.producers.get(producer);
    known.seq = seq;
    const answer = this.store(topic, records, response);
    known.answers.push({seq, answer});
    known.answers = known.answers.slice(-REMEMBERED_APPENDS);
  }

  store(topic, records, response) {
    const offset = topic.records.length;
    this.add(topic, records);
    const answer = {offset, end: topic.records.length};
    send(response, 200, answer);
    return answer;
  }

  async read(topic, query, response) {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        topic.readers.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const limit = 1024 * Number(query.get('max_kb') ?? 1024);
    const parts = [header];
    let size = 0;
    for (const record of topic.records.slice(from)) {
      const encoded = encodeRecord(record);
      size += encoded.length;
      if (size > limit && parts.length > 1) break;
      parts.push(encoded);
    }
    response.writeHead(200);
    response.end(Buffer.concat(parts));
  }

  newest(topic, query, response) {
    const byKey = new Map();
    for (const [offset, {key, value}] of topic.records.entries()) {
      if (value.length === 0) byKey.delete(key);
      else byKey.set(key, {key, value: value.toString('base64'), offset});
    }
    const after = query.get('after') ?? '';
    const items = [...byKey.values()]
      .filter(({key}) => key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    send(response, 200, {
      items: items.slice(0, ITEMS_PER_PAGE),
      more_pages: items.length > ITEMS_PER_PAGE,
      end: topic.records.length,
    });
  }
}

function send(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([header, keyBytes, value]);
}

function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    const keyEnd = start + 1 + body.readUInt8(start);
    const key = body.toString('utf8', start + 1, keyEnd);
    records.push({key, value: body.subarray(keyEnd, end)});
    position = end;
  }
  return records;
}
