import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as httpClientSupport from '../support/http_client.js';
import * as listen from '../../src/links/listen.js';
import * as platformStore from '../../stand_ins/platform_store.js';
import * as storeTopic from '../../platform/store_topic.js';

const {describe, test} = nodeTest;

const TIMEOUT_MS = 300;

function record(key: string, value: string): {key: string; value: Buffer} {
  return {key, value: Buffer.from(value)};
}

async function withTopic(
  body: (
    topic: storeTopic.StoreTopic,
    store: platformStore.PlatformStore,
  ) => Promise<void>,
): Promise<void> {
  const store = new platformStore.PlatformStore();
  const client = httpClientSupport.createHttpClient(4);
  const address = await store.listen();
  try {
    await body(new storeTopic.StoreTopic(client, address, 'keyed.x'), store);
  } finally {
    client.close();
    store.close();
  }
}

/** Runs a test body with a topic whose store answers all calls alike. */
async function withAnswer(
  answer: string | Uint8Array,
  body: (topic: storeTopic.StoreTopic) => Promise<void>,
): Promise<void> {
  const server = http.createServer((request, response) => {
    request.resume().on('end', () => response.end(answer));
  });
  const port = await listen.listen(server, '127.0.0.1', 0);
  const client = httpClientSupport.createHttpClient(4);
  try {
    await body(
      new storeTopic.StoreTopic(client, `127.0.0.1:${port}`, 'keyed.x'),
    );
  } finally {
    client.close();
    server.closeAllConnections();
    server.close();
  }
}

const PAGE = JSON.stringify({
  items: [{key: 'a', value: 'MQ==', offset: 4}],
  more_pages: false,
  end: 6,
});

/** Pages that are cut, or of another form. */
const UNREADABLE_PAGES: ReadonlyArray<string> = [
  '',
  'null',
  '[]',
  '{}',
  PAGE.slice(0, -1),
  PAGE.replace('"a"', '7'),
  PAGE.replace('"MQ=="', 'null'),
  PAGE.replace(':4', ':-1'),
  PAGE.replace(':6', ':1e999'),
  PAGE.replace('false', '1'),
  '{"items":{},"more_pages":false,"end":6}',
  '{"items":[7],"more_pages":false,"end":6}',
];

/** Returns the answer to a read: both offsets, then records. */
function answerToRead(topicEnd: number, ...records: Buffer[]): Buffer {
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(topicEnd), 0);
  return Buffer.concat([header, ...records]);
}

/** Returns a record of a topic with its length before it. */
function framed(content: Uint8Array): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

describe('store topic', () => {
  // Guards against records that are changed or reordered by their encoding.
  test('returns appended records in order, and the newest of each key', () =>
    withTopic(async topic => {
      const first = await topic.append(
        [record('a', '1'), record('b', '2'), record('a', '3')],
        {},
        TIMEOUT_MS,
      );
      assert.deepEqual(first, {kind: 'appended', offset: 0});
      const read = await topic.read(1, 0);
      assert.ok(read.kind === 'read');
      assert.deepEqual(
        read.records.map(({key, value, offset}) => [
          key,
          Buffer.from(value).toString(),
          offset,
        ]),
        [
          ['b', '2', 1],
          ['a', '3', 2],
        ],
      );
      const newest = await topic.readNewest();
      assert.ok(newest.kind === 'read');
      assert.equal(newest.end, 3);
      assert.deepEqual(newest.records.map(({key}) => key).sort(), ['a', 'b']);
    }));

  // Guards against two members that both believe that they won a term.
  test('appends conditionally only at the expected end', () =>
    withTopic(async topic => {
      await topic.append([record('a', '1')], {}, TIMEOUT_MS);
      const lost = await topic.append(
        [record('b', '')],
        {ifEnd: 0},
        TIMEOUT_MS,
      );
      assert.deepEqual(lost, {kind: 'conditionFailed', end: 1});
      const won = await topic.append([record('b', '')], {ifEnd: 1}, TIMEOUT_MS);
      assert.equal(won.kind, 'appended');
    }));

  // Guards against writes by a leader that has been replaced, and against a
  // batch that is stored twice because it was repeated after a lost response.
  test('fences lower epochs and ignores repeated sequence numbers', () =>
    withTopic(async topic => {
      const at = (epoch: number, sequence: number): object => ({
        producer: {name: 'p', epoch, sequence},
      });
      await topic.append([], at(3, 0), TIMEOUT_MS);
      await topic.append([record('a', '1')], at(3, 1), TIMEOUT_MS);
      await topic.append([record('a', '1')], at(3, 1), TIMEOUT_MS);
      const read = await topic.read(0, 0);
      assert.ok(read.kind === 'read' && read.records.length === 1);
      const fenced = await topic.append([], at(2, 9), TIMEOUT_MS);
      assert.deepEqual(fenced, {kind: 'fenced'});
    }));

  // Guards against a caller that waits forever for a silent store, and against
  // reporting that nothing was stored.
  test('reports an append to a silent store as unanswered', () =>
    withTopic(async (topic, store) => {
      store.silent = true;
      const outcome = await topic.append([record('a', '1')], {}, TIMEOUT_MS);
      assert.equal(outcome.kind, 'unanswered');
    }));

  // Guards against records that are delivered only by the next read.
  test('completes a waiting read as soon as a record is appended', () =>
    withTopic(async topic => {
      const waiting = topic.read(0, 2_000);
      await topic.append([record('a', '1')], {}, TIMEOUT_MS);
      const read = await waiting;
      assert.ok(read.kind === 'read' && read.records.length === 1);
    }));
});

describe('unreadable answer of the store', () => {
  // Guards against a successor that takes over without any job, and against
  // workers that count as gone, because a page was cut.
  test('a page that is not whole was read as an empty topic', async () => {
    for (const page of UNREADABLE_PAGES) {
      await withAnswer(page, async topic => {
        const outcome = await topic.readNewest();
        assert.equal(outcome.kind, 'unavailable', page);
      });
    }
    await withAnswer(PAGE, async topic => {
      const outcome = await topic.readNewest();
      assert.ok(outcome.kind === 'read');
      assert.equal(outcome.end, 6);
      assert.equal(Buffer.from(outcome.records[0].value).toString(), '1');
    });
  });

  // Guards against a claim that is won with term 1, below all earlier ones.
  test('an append without a readable offset counted as stored at 0', async () => {
    for (const answer of ['', '{', '{}', '{"offset":"7"}', '{"offset":-1}']) {
      await withAnswer(answer, async topic => {
        const outcome = await topic.append([], {}, TIMEOUT_MS);
        assert.equal(outcome.kind, 'unanswered', answer);
      });
    }
  });

  // Guards against a record that is never read again because its first half
  // counted as the whole.
  test('a record that was cut counted as read', async () => {
    const whole = framed(Buffer.from('\u0001a1'));
    const cut = whole.subarray(0, whole.length - 1);
    await withAnswer(answerToRead(9, whole, cut), async topic => {
      const outcome = await topic.read(7, 0);
      assert.ok(outcome.kind === 'read');
      assert.equal(outcome.records.length, 1);
      assert.equal(outcome.end, 8);
    });
    for (let length = 1; length < whole.length; length += 1) {
      const answer = answerToRead(9, whole.subarray(0, length));
      await withAnswer(answer, async topic => {
        const outcome = await topic.read(8, 0);
        assert.equal(outcome.kind, 'unavailable', `${length} bytes`);
      });
    }
  });

  // Guards against a feed that never gets past a record without a key, or takes
  // it for the deletion of a key that it doesn't hold.
  test('a record without a whole key was not counted', async () => {
    const odd = [framed(Buffer.alloc(0)), framed(Buffer.from('\u0009a'))];
    const good = framed(Buffer.from('\u0001a1'));
    for (const record of odd) {
      await withAnswer(answerToRead(2, good, record), async topic => {
        const outcome = await topic.read(0, 0);
        assert.ok(outcome.kind === 'read');
        assert.equal(outcome.end, 2);
        assert.deepEqual(
          outcome.records.map(({key}) => key),
          ['a', ''],
        );
      });
    }
  });
});
