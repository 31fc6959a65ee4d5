import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as httpClientSupport from '../support/http_client.js';
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
