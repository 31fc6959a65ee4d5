import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as jobCell from '../support/job_cell.js';
import * as jsonDocument from '../../src/links/json_document.js';
import * as topicJournalStore from '../../src/links/topic_journal_store.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';

const {describe, test} = nodeTest;

const APPEND_TIMEOUT_MS = 100;

const JOB_COUNT = 5_000;

const MINIMUM_LOAD_TURNS = 20;

/** Keyed topic in memory, with an offset for each record. */
class FakeTopic implements keyedTopic.KeyedTopic {
  private readonly newest = new Map<string, keyedTopic.TopicRecord>();
  private end = 0;

  /** Appends a record, like a process of another version. */
  write(key: string, value: Uint8Array): void {
    this.newest.set(key, {key, value, offset: this.end});
    this.end += 1;
  }

  async append(
    records: ReadonlyArray<keyedTopic.KeyedRecord>,
  ): Promise<keyedTopic.AppendOutcome> {
    const offset = this.end;
    for (const {key, value} of records) this.write(key, value);
    return {kind: 'appended', offset};
  }

  async read(): Promise<keyedTopic.ReadOutcome> {
    return this.readNewest();
  }

  async readNewest(): Promise<keyedTopic.ReadOutcome> {
    return {
      kind: 'read',
      records: [...this.newest.values()],
      end: this.end,
      topicEnd: this.end,
    };
  }
}

function workerNamed(
  name: string,
  closedJobs?: ReadonlyArray<string>,
): jobJournal.StoredWorker {
  const entry = jobCell.registryEntry(name);
  return closedJobs === undefined ? {entry} : {entry, closedJobs};
}

describe('the stored jobs of the journal topic', () => {
  // Guards against a job that counts as new after each takeover.
  test('keep the time of their arrival', async () => {
    const topic = new FakeTopic();
    const store = new topicJournalStore.TopicJournalStore(topic);
    const definition = jobCell.jobOf('job', {});
    await store.append(
      1,
      1,
      [{kind: 'definition', definition, arrivedAtUnixMs: 1_234}],
      APPEND_TIMEOUT_MS,
    );
    const content = await store.load();
    assert.deepEqual(content?.jobs, [
      {definition, progress: undefined, arrivedAtUnixMs: 1_234},
    ]);
  });

  // Guards against the loss of jobs that an earlier version has stored.
  test('are read without a time of arrival', async () => {
    const topic = new FakeTopic();
    const definition = jobCell.jobOf('job', {});
    topic.write('d/job', jsonDocument.encode(definition));
    const store = new topicJournalStore.TopicJournalStore(topic);
    const content = await store.load();
    assert.deepEqual(content?.jobs, [
      {definition, progress: undefined, arrivedAtUnixMs: undefined},
    ]);
  });

  // Guards against a successor that answers no ping while it decodes thousands
  // of jobs.
  test('are decoded over several turns of the loop', async () => {
    const topic = new FakeTopic();
    for (let index = 0; index < JOB_COUNT; index += 1) {
      const definition = jobCell.jobOf(`job${index}`, {});
      topic.write(`d/job${index}`, jsonDocument.encode(definition));
    }
    const store = new topicJournalStore.TopicJournalStore(topic);
    let content: jobJournal.JournalContent | undefined;
    void store.load().then(loaded => {
      content = loaded;
    });
    let turnCount = 0;
    while (content === undefined) {
      await timers.setImmediate();
      turnCount += 1;
    }
    assert.equal(content.jobs.length, JOB_COUNT);
    assert.ok(turnCount >= MINIMUM_LOAD_TURNS, `${turnCount} turns`);
  });
});

describe('the stored workers of the journal topic', () => {
  // Guards against tasks that run twice after an update of the program: a
  // successor that doesn't read the list of earlier versions waits for no worker.
  test('include the list that earlier versions stored', async () => {
    const topic = new FakeTopic();
    const combined = [workerNamed('one'), workerNamed('two')];
    topic.write('workers', jsonDocument.encode(combined));
    const store = new topicJournalStore.TopicJournalStore(topic);
    assert.deepEqual((await store.load())?.workers, combined);
    const closed = workerNamed('two', ['job']);
    const change = {kind: 'worker', worker: closed} as const;
    await store.append(1, 1, [change], APPEND_TIMEOUT_MS);
    assert.deepEqual((await store.load())?.workers, [combined[0], closed]);
    const drop = {kind: 'combinedWorkersDropped'} as const;
    await store.append(1, 2, [drop], APPEND_TIMEOUT_MS);
    assert.deepEqual((await store.load())?.workers, [closed]);
  });

  // Guards against a job that runs twice after a rolling update: a scheduler of
  // an earlier version has opened a worker again that a later one had closed.
  test('are as in the list of an earlier version that was written last', async () => {
    const topic = new FakeTopic();
    const store = new topicJournalStore.TopicJournalStore(topic);
    const changes = [workerNamed('one', []), workerNamed('two', ['job'])].map(
      worker => ({kind: 'worker', worker}) as const,
    );
    const removed = {kind: 'workerRemoved', id: 'three'} as const;
    await store.append(1, 1, [...changes, removed], APPEND_TIMEOUT_MS);
    const listed = [workerNamed('one'), workerNamed('three')];
    topic.write('workers', jsonDocument.encode(listed));
    const byId = new Map(
      (await store.load())?.workers.map(worker => [worker.entry.id, worker]),
    );
    const expected = [...listed, workerNamed('two', ['job'])];
    assert.equal(byId.size, expected.length);
    for (const worker of expected) {
      assert.deepEqual(byId.get(worker.entry.id), worker);
    }
  });

  // Guards against successors that wait for a worker that has left since an
  // earlier version listed it.
  test('lack a listed worker that was removed later', async () => {
    const topic = new FakeTopic();
    const store = new topicJournalStore.TopicJournalStore(topic);
    const listed = [workerNamed('one'), workerNamed('two')];
    topic.write('workers', jsonDocument.encode(listed));
    const removed = {kind: 'workerRemoved', id: 'one'} as const;
    await store.append(1, 1, [removed], APPEND_TIMEOUT_MS);
    assert.deepEqual((await store.load())?.workers, [listed[1]]);
  });

  // Guards against successors that wait for the leases of a worker that has left.
  test('lack a worker that was removed', async () => {
    const store = new topicJournalStore.TopicJournalStore(new FakeTopic());
    const stored = ['one', 'two'].map(name => ({
      kind: 'worker' as const,
      worker: workerNamed(name),
    }));
    const removed = {kind: 'workerRemoved', id: 'one'} as const;
    await store.append(1, 1, [...stored, removed], APPEND_TIMEOUT_MS);
    assert.deepEqual((await store.load())?.workers, [workerNamed('two')]);
  });
});
