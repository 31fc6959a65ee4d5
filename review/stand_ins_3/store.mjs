// Stand-in for the platform's store: keyed topics with one partition, as the
// users' protocol page describes the calls that the system makes.
import * as http from 'node:http';

const LENGTH_BYTES = 4;
const HEADER_BYTES = 16;
const PAGE_SIZE = 500;
const REMEMBERED_APPENDS = 5;

/** Reads the whole body of a request. */
export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Makes a server listen on a free port; resolves to HOST:PORT. */
export function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

export class Store {
  constructor() {
    this.topics = new Map();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  async listen(host) {
    this.address = await listen(this.server, host);
    return this.address;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record as the operator or a worker does; undefined deletes. */
  put(topicName, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.add(this.topic(topicName), [{key, value: Buffer.from(text)}]);
  }

  /** Returns the newest value of each key that was not deleted. */
  newest(topicName) {
    const values = new Map();
    for (const {key, value} of this.topic(topicName).records) {
      if (value.length > 0) values.set(key, JSON.parse(value.toString()));
      else values.delete(key);
    }
    return values;
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created = {records: [], producers: new Map(), waiting: []};
    this.topics.set(name, created);
    return created;
  }

  add(topic, records) {
    topic.records.push(...records);
    for (const wake of topic.waiting.splice(0)) wake();
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    if (url.pathname === '/log-append') {
      this.append(topic, url.searchParams, body, response);
    } else if (url.pathname === '/log-read') {
      await this.read(topic, url.searchParams, response);
    } else if (url.pathname === '/log-newest') {
      this.sendNewest(topic, url.searchParams.get('after'), response);
    } else sendJson(response, 404, {});
  }

  append(topic, query, body, response) {
    const end = topic.records.length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) {
      sendJson(response, 412, {end});
      return;
    }
    const records = decodeRecords(body);
    const name = query.get('producer');
    const answer = {offset: end, end: end + records.length};
    if (name !== null) {
      const epoch = Number(query.get('epoch'));
      const seq = Number(query.get('seq'));
      const last = topic.producers.get(name);
      if (last !== undefined && epoch < last.epoch) {
        sendJson(response, 409, {reason: 'fenced'});
        return;
      }
      const sameEpoch = last !== undefined && epoch === last.epoch;
      const repeated = sameEpoch ? last.answers.get(seq) : undefined;
      if (repeated !== undefined) {
        sendJson(response, 200, repeated);
        return;
      }
      if (sameEpoch && last.seq !== undefined && seq !== last.seq + 1) {
        sendJson(response, 409, {reason: 'seq', seq: last.seq + 1});
        return;
      }
      const producer = sameEpoch ? last : {epoch, answers: new Map()};
      if (records.length > 0) {
        producer.seq = seq;
        producer.answers.set(seq, answer);
        producer.answers.delete(seq - REMEMBERED_APPENDS);
      }
      topic.producers.set(name, producer);
    }
    this.add(topic, records);
    sendJson(response, 200, answer);
  }

  async read(topic, query, response) {
    const from = Number(query.get('from'));
    if (topic.records.length <= from) {
      await waitForRecords(topic, Number(query.get('wait_ms') ?? 0));
    }
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }

  sendNewest(topic, after, response) {
    const newest = new Map();
    for (const [offset, {key, value}] of topic.records.entries()) {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value: value.toString('base64'), offset});
    }
    const sorted = [...newest.values()]
      .filter(({key}) => after === null || key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    sendJson(response, 200, {
      items: sorted.slice(0, PAGE_SIZE),
      more_pages: sorted.length > PAGE_SIZE,
      end: topic.records.length,
    });
  }
}

function waitForRecords(topic, waitMs) {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, waitMs);
    topic.waiting.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
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
    records.push({
      key: body.toString('utf8', start + 1, keyEnd),
      value: Buffer.from(body.subarray(keyEnd, end)),
    });
    position = end;
  }
  return records;
}
