import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as cellLogStore from '../../src/links/cell_log_store.js';
import * as configurationDecoder from '../../platform/configuration_decoder.js';
import * as jobDecoder from '../../platform/job_decoder.js';
import * as platformCell from '../../stand_ins/platform_cell.js';
import * as platformFeeds from '../../platform/platform_feeds.js';
import * as registryEntryDecoder from '../../platform/registry_entry_decoder.js';
import * as simulatedClock from '../support/simulated_clock.js';
import * as topicJournalStore from '../../src/links/topic_journal_store.js';
import * as wait from '../support/wait.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';

const {describe, test} = nodeTest;

const SEED = 20_261_205;

/** Nesting that overflows the stack of a recursive reader. */
const DEEP_NESTING = 200_000;

const NESTED = '['.repeat(DEEP_NESTING) + ']'.repeat(DEEP_NESTING);

const WORKER = {
  service_name: 'dispatch',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_left_ms: 0,
  seq: 3,
  capacity: {cpu: 16_000, mem_mb: 32_768},
  labels: ['a'],
  born: 7,
  machine: 'm-1',
};

/** Entries that another writer may leave in a list, as text. */
const ODD_ENTRIES: ReadonlyArray<string> = [
  '',
  'null',
  '[]',
  '7',
  '{',
  NESTED,
  `{"labels":${NESTED}}`,
  JSON.stringify(WORKER).replace('["a"]', NESTED),
  JSON.stringify(WORKER).replace(':80', ':99999'),
  JSON.stringify(WORKER).replace('"born":7', '"born":1e999'),
  JSON.stringify(WORKER).replace('16000', '1e999'),
  '{"node":"x","incarnation":"y","address":5,"zone":"z","processors":1}',
  '{"node":"x","incarnation":"y","address":"127.0.0.1:99999","zone":"z","processors":1}',
  '{"id":"x","queue":"q","payload":"","steps":"none"}',
  '{"id":"x","queue":"q","payload":"","steps":[{"count":1e999}]}',
  '{"outcome":"open","started":true,"steps":[{"done":7}]}',
  '{"term":1e999,"leading":true}',
  '{"entry":{"id":"x"},"closedJobs":7}',
];

function topicOf(
  records: ReadonlyArray<keyedTopic.TopicRecord>,
): keyedTopic.KeyedTopic {
  const end = records.length;
  return {
    append: async () => ({kind: 'refused', detail: ''}),
    read: async () => ({kind: 'read', records: [], end, topicEnd: end}),
    readNewest: async () => ({kind: 'read', records, end, topicEnd: end}),
  };
}

/** JSON-like bytes with values at the limits of their types. */
const ODD_BYTES = fastCheck.oneof(
  fastCheck.uint8Array(),
  fastCheck
    .json({maxDepth: 6})
    .map(text => Buffer.from(text.replaceAll('1', '1e999'))),
  fastCheck.constantFrom(...ODD_ENTRIES).map(text => Buffer.from(text)),
);

async function readJournal(value: Uint8Array): Promise<void> {
  const keys = ['d/x', 'p/x', 'w/x', 'workers'];
  const records = keys.map((key, offset) => ({key, value, offset}));
  const store = new topicJournalStore.TopicJournalStore(topicOf(records));
  const content = await store.load();
  assert.ok(content);
  for (const {definition} of content.jobs) {
    assert.ok(Array.isArray(definition.steps));
  }
  for (const {entry} of content.workers) {
    assert.equal(typeof entry.id, 'string');
  }
}

describe('decoders of what others write', () => {
  // Guards against bytes that end the process or are taken for a valid record.
  test('neither throw nor accept odd bytes', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(ODD_BYTES, async value => {
        const entry = registryEntryDecoder.decodeRegistryEntry('i-1', value);
        if (entry !== undefined) {
          assert.ok(Number.isFinite(entry.capacity.processors));
          assert.ok(Number.isSafeInteger(entry.born));
        }
        configurationDecoder
          .decodeConfiguration(value)
          .ifRight(({version}) => assert.ok(Number.isSafeInteger(version)));
        jobDecoder.decodeJob('a', 'q', value);
        const records = ['member/x', 'claim', 'progress'].map(
          (key, offset) => ({key, value, offset}),
        );
        for (const isSnapshot of [true, false]) {
          const read = cellLogStore.decodeCellLog(records, isSnapshot);
          for (const {address} of read.members) {
            assert.equal(typeof address, 'string');
          }
        }
        await readJournal(value);
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  // Guards against a worker that is lost because a snapshot shows only a later,
  // malformed entry under its id.
  test('a malformed entry in a snapshot replaces no good one', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const good = Buffer.from(JSON.stringify(WORKER));
    const odd = Buffer.from('{"state":7}');
    let value = good;
    const seen: Array<ReadonlyArray<remoteWorker.RegistryEntry>> = [];
    const topic: keyedTopic.KeyedTopic = {
      append: async () => ({kind: 'refused', detail: ''}),
      // Each read finds its records expired, so that a snapshot follows.
      read: async () => ({kind: 'expired'}),
      readNewest: async () => {
        await clock.delay(5);
        const records = [{key: 'i-1', value, offset: 0}];
        return {kind: 'read', records, end: 1, topicEnd: 1};
      },
    };
    const registry = new platformFeeds.PlatformWorkerRegistry(topic, {
      clock,
      delay: milliseconds => clock.delay(milliseconds),
      log: {event: () => {}},
      counters: {count: () => {}, observe: () => {}},
    });
    const subscription = registry.follow(entries => void seen.push(entries));
    await clock.advance(50);
    value = odd;
    await clock.advance(1_000);
    subscription.close();
    assert.ok(seen.length > 1);
    assert.deepEqual(
      seen.at(-1)?.map(({id}) => id),
      ['i-1'],
    );
  });
});

describe('configuration feed', () => {
  // Guards against a valid version that is passed over because an invalid one
  // was read with it.
  test('takes the newest valid version of those in one answer', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const texts = ['{"version":3}', '{"version":4}', '{"version":1e999}'];
    const records = texts.map((text, offset) => ({
      key: 'config',
      value: Buffer.from(text),
      offset,
    }));
    const events: string[] = [];
    const topic: keyedTopic.KeyedTopic = {
      ...topicOf(records),
      read: async () => {
        await clock.delay(1_000);
        return {kind: 'read', records: [], end: 3, topicEnd: 3};
      },
    };
    const source = new platformFeeds.PlatformConfigurationSource(topic, 2_500, {
      clock,
      delay: milliseconds => clock.delay(milliseconds),
      log: {event: (_level, name) => void events.push(name)},
      counters: {count: () => {}, observe: () => {}},
    });
    const versions: Array<number | undefined> = [];
    source.follow(configuration => void versions.push(configuration?.version));
    await clock.advance(1);
    assert.equal(versions[0], 4);
    assert.deepEqual(events, ['configurationUnreadable']);
  });
});

describe('process that reads odd entries', () => {
  // Guards against processes that end again and again, or stop following a
  // list, because of one odd entry of another writer.
  test('keeps running and following all its lists', async () => {
    const cell = await platformCell.PlatformCell.start({
      processCount: 2,
      runPlan: () => ({runTimeMs: 50, outcome: 'done'}),
    });
    try {
      for (const [index, text] of ODD_ENTRIES.entries()) {
        cell.store.putText('keyed.servers', `odd-${index}`, text);
        cell.store.putText('keyed.cell', `member/odd-${index}`, text);
        cell.store.putText('keyed.jobs', `d/odd-${index}`, text);
        cell.store.putText('keyed.jobs', `p/odd-${index}`, text);
        cell.store.putText('keyed.jobs', `w/odd-${index}`, text);
        cell.store.putText('keyed.status', `odd-${index}`, text);
        if (text !== '') cell.store.putText('keyed.op', 'config', text);
      }
      cell.store.putText('keyed.jobs', 'workers', NESTED);
      cell.publishConfiguration(2);
      const leader = cell.leader();
      for (const {child} of cell.processes) {
        await child.waitForLine(/event=configurationTaken version=2/);
      }
      // The successor reads all lists from the beginning.
      await leader.child.kill();
      cell.processes.splice(cell.processes.indexOf(leader), 1);
      const [successor] = cell.processes;
      const body = {spec: 'x', steps: [{count: 2, cpu: 500, mem_mb: 64}]};
      const id = platformCell.jobIdOf(7);
      await wait.until('the job is accepted', async () => {
        const answer = await cell.callJobApi(successor, 'POST', id, body);
        return answer.status === 200 ? true : undefined;
      });
      await wait.until('the job is completed', async () => {
        const answer = await cell.callJobApi(successor, 'GET', id);
        return answer.body['state'] === 'completed' ? true : undefined;
      });
      assert.equal(cell.startEventsOf(id).length, 2);
    } finally {
      await cell.stop();
    }
  });
});
