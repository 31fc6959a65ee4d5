import * as http from 'node:http';

/** Time that the store takes for an append (`append_ms`). */
const APPEND_MS = 3;

/** Most items of one page of `/log-newest`. */
const PAGE_ITEMS = 500;

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
      topic = {records: [], producers: new Map(), readers: new Set()};
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
    const end = topic.records.length;
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
    this.addRecords(topic, decodeRecords(body));
    const answer = {offset: end, end: topic.records.length};
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
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        topic.readers.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(0n, 8);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }

  sendNewest(topic, query, response) {
    const newest = new Map();
    for (const [offset, {key, value}] of topic.records.entries()) {
      newest.delete(key);
      if (value.length === 0) continue;
      newest.set(key, {key, value: value.toString('base64'), offset});
    }
    const all = [...newest.values()].sort((left, right) =>
      left.key < right.key ? -1 : 1,
    );
    const after = query.get('after');
    const rest = after === null ? all : all.filter(item => item.key > after);
    sendJson(response, 200, {
      items: rest.slice(0, PAGE_ITEMS),
      more_pages: rest.length > PAGE_ITEMS,
      end: topic.records.length,
    });
  }

  addRecords(topic, records) {
    if (records.length === 0) return;
    topic.records.push(...records);
    const readers = [...topic.readers];
    topic.readers.clear();
    for (const wake of readers) wake();
  }
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
    });
    position = end;
  }
  return records;
}
