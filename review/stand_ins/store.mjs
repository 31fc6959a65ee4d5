import * as http from 'node:http';

/** Time that the store takes for an append (`append_ms`). */
const APPEND_MS = 3;

/** Most bytes of a record (`record_bytes`) and of a call (`call_bytes`). */
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;

/** Most items of one page of `/log-newest`. */
const PAGE_ITEMS = 500;

/** Most bytes of history that a partition keeps (`part_mb`), and for how long. */
const HISTORY_BYTES = 200_000_000;
const HISTORY_MS = 20_000;

/** Producers' repeats that get their first response again. */
const REMEMBERED_APPENDS = 5;

/**
 * Stand-in for the platform's metadata store: keyed topics with one partition,
 * conditional appends, producers with epochs, long reads and the newest record
 * of each key. It loses nothing and has no faults of its own.
 */
export class Store {
  constructor() {
    this.topics = new Map();
    this.refusedAppends = 0;
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Appends a record as the operator or a worker does. */
  put(topicName, key, value) {
    const bytes = Buffer.from(value === undefined ? '' : JSON.stringify(value));
    this.addRecords(this.topic(topicName), [{key, value: bytes}]);
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {records: [], first: 0, bytes: 0, newest: new Map()};
      topic.producers = new Map();
      topic.readers = new Set();
      topic.turn = Promise.resolve();
      this.topics.set(name, topic);
    }
    return topic;
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    if (url.pathname === '/log-append') {
      // A partition processes its appends one at a time.
      topic.turn = topic.turn.then(() => delay(APPEND_MS));
      await topic.turn;
      this.append(topic, url.searchParams, body, response);
    } else if (url.pathname === '/log-read') {
      await this.read(topic, url.searchParams, response);
    } else if (url.pathname === '/log-newest') {
      this.sendNewest(topic, url.searchParams, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  append(topic, query, body, response) {
    const end = endOf(topic);
    const records = decodeRecords(body);
    const isTooLarge = records.some(({size}) => size > RECORD_BYTES);
    if (isTooLarge || body.length > CALL_BYTES) {
      this.refusedAppends += 1;
      sendJson(response, 413, {});
      return;
    }
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const seq = Number(query.get('seq'));
    const known = topic.producers.get(producer);
    if (producer !== null && known !== undefined) {
      if (epoch < known.epoch) {
        sendJson(response, 409, {reason: 'fenced'});
        return;
      }
      const earlier = known.answers.find(
        answer => answer.epoch === epoch && answer.seq === seq,
      );
      if (earlier !== undefined && body.length > 0) {
        sendJson(response, 200, earlier.body);
        return;
      }
      const isNext = epoch > known.epoch || seq === known.seq + 1;
      if (body.length > 0 && !isNext) {
        sendJson(response, 409, {reason: 'seq', seq: known.seq + 1});
        return;
      }
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== end) {
      sendJson(response, 412, {end});
      return;
    }
    this.addRecords(topic, records);
    const answer = {offset: end, end: endOf(topic)};
    if (producer !== null) {
      this.recordProducer(topic, producer, epoch, seq, body, answer);
    }
    sendJson(response, 200, answer);
  }

  recordProducer(topic, producer, epoch, seq, body, answer) {
    const known = topic.producers.get(producer);
    const isNewEpoch = known === undefined || epoch > known.epoch;
    const answers = isNewEpoch ? [] : known.answers;
    if (body.length > 0) answers.push({epoch, seq, body: answer});
    const lastSeq = isNewEpoch || body.length > 0 ? seq : known.seq;
    topic.producers.set(producer, {
      epoch,
      seq: lastSeq,
      answers: answers.slice(-REMEMBERED_APPENDS),
    });
  }

  async read(topic, query, response) {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from < topic.first) {
      sendJson(response, 410, {first: topic.first});
      return;
    }
    if (endOf(topic) <= from && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        topic.readers.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(endOf(topic)), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    const start = Math.max(0, from - topic.first);
    const records = topic.records.slice(start).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }

  sendNewest(topic, query, response) {
    const all = [...topic.newest.values()].sort((left, right) =>
      left.key < right.key ? -1 : 1,
    );
    const after = query.get('after');
    const rest = after === null ? all : all.filter(item => item.key > after);
    sendJson(response, 200, {
      items: rest.slice(0, PAGE_ITEMS).map(({key, value, offset}) => {
        return {key, value: value.toString('base64'), offset};
      }),
      more_pages: rest.length > PAGE_ITEMS,
      end: endOf(topic),
    });
  }

  addRecords(topic, records) {
    if (records.length === 0) return;
    const now = performance.now();
    for (const {key, value} of records) {
      const offset = endOf(topic);
      topic.records.push({key, value, at: now});
      topic.bytes += value.length;
      if (value.length > 0) topic.newest.set(key, {key, value, offset});
      else topic.newest.delete(key);
    }
    expire(topic, now);
    const readers = [...topic.readers];
    topic.readers.clear();
    for (const wake of readers) wake();
  }
}

function endOf(topic) {
  return topic.first + topic.records.length;
}

/** Drops the oldest records; the newest of each key is kept besides. */
function expire(topic, now) {
  let count = 0;
  for (const {value, at} of topic.records) {
    const isOld = now - at > HISTORY_MS || topic.bytes > HISTORY_BYTES;
    if (!isOld) break;
    topic.bytes -= value.length;
    count += 1;
  }
  if (count === 0) return;
  topic.records.splice(0, count);
  topic.first += count;
}

function delay(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
}

function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    const end = position + 4 + body.readUInt32BE(position);
    const keyStart = position + 5;
    const keyEnd = keyStart + body.readUInt8(position + 4);
    records.push({
      key: body.toString('utf8', keyStart, keyEnd),
      value: body.subarray(keyEnd, end),
      size: end - position - 4,
    });
    position = end;
  }
  return records;
}
