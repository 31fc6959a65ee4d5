import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fakeJournalStore from '../support/fake_journal_store.js';
import * as jobJournal from '../../src/jobs/job_journal.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as jobRecord from '../../src/jobs/job_record.js';

const {describe, test} = nodeTest;

interface Fixture {
  readonly time: simulatedClock.SimulatedClock;
  readonly store: fakeJournalStore.FakeJournalStore;
  readonly journal: jobJournal.JobJournal;
  readonly superseded: () => number;
  readonly rejectedKeys: ReadonlyArray<string>;
}

function createFixture(term = 1): Fixture {
  const time = new simulatedClock.SimulatedClock();
  const store = new fakeJournalStore.FakeJournalStore(time);
  let superseded = 0;
  const rejectedKeys: string[] = [];
  const journal = new jobJournal.JobJournal(
    store,
    term,
    time,
    time,
    () => {
      superseded += 1;
    },
    key => rejectedKeys.push(key),
  );
  return {time, store, journal, superseded: () => superseded, rejectedKeys};
}

function progressOf(started: boolean): jobRecord.JobProgress {
  return {outcome: 'open', started, steps: []};
}

describe('the job journal', () => {
  // Guards against one call to the store for each change under load.
  test('batches changes that arrive during a call into the next one', async () => {
    const {time, store, journal} = createFixture();
    let stored = 0;
    for (let index = 0; index < 20; index += 1) {
      const id = `job${index}`;
      journal.put(
        id,
        () => ({kind: 'progress', id, progress: progressOf(true)}),
        () => {
          stored += 1;
        },
      );
      await time.advance(1);
    }
    await time.advance(100);
    assert.equal(stored, 20);
    assert.ok(store.appendCount <= 6, `${store.appendCount} calls`);
  });

  // Guards against a busy leader that refuses jobs, and is replaced, for a
  // silence of the store that is its own: the answer is there and unread.
  test('does not take its own lag for a silent store', async () => {
    const {time, store, journal} = createFixture();
    journal.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(0);
    assert.ok(journal.unansweredMs(time.now() + 3_000) < 1_000);
    await time.advance(50);
    assert.equal(journal.unansweredMs(time.now()), 0);
    store.down = true;
    journal.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(3_000);
    assert.ok(journal.unansweredMs(time.now()) >= 2_900);
  });

  // Guards against storing progress that is stale when the call is sent.
  test('reads a change when it is sent', async () => {
    const {time, store, journal} = createFixture();
    let started = false;
    const put = (): void =>
      journal.put('a', () => ({
        kind: 'progress',
        id: 'a',
        progress: progressOf(started),
      }));
    put();
    started = true;
    await time.advance(50);
    assert.equal(store.progress.get('a')?.started, true);
  });

  // Guards against acknowledging a change that is not stored: the first answers
  // are lost.
  test('reports a change only once it is stored', async () => {
    const {time, store, journal} = createFixture();
    store.lostAnswerCount = 3;
    let stored = false;
    journal.put(
      'a',
      () => ({kind: 'dropped', id: 'a'}),
      () => {
        stored = true;
      },
    );
    await time.advance(300);
    assert.equal(stored, false);
    assert.ok(journal.unansweredMs(time.now()) >= 300);
    await time.advance(300);
    assert.equal(stored, true);
    assert.equal(journal.unansweredMs(time.now()), 0);
  });

  // Guards against writes of a scheduler after a later term has begun.
  test('stops writing once a later term has opened the journal', async () => {
    const {time, store, journal, superseded} = createFixture(1);
    await Promise.all([store.open(2), time.advance(50)]);
    journal.put('a', () => ({kind: 'dropped', id: 'a'}));
    journal.put('b', () => ({kind: 'dropped', id: 'b'}));
    await time.advance(500);
    assert.equal(superseded(), 1);
    assert.equal(store.appendCount, 0);
  });

  // Guards against reporting "not stored" for a change that may still be
  // stored, because a call without an answer may take effect later.
  test('withdraws a change only while it is definitely not stored', async () => {
    const {time, store, journal} = createFixture();
    store.refusing = true;
    journal.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(60);
    assert.equal(journal.withdraw('a'), true);
    store.refusing = false;
    store.down = true;
    journal.put('b', () => ({kind: 'dropped', id: 'b'}));
    await time.advance(300);
    assert.equal(journal.withdraw('b'), false);
  });

  // Guards against a cell that stands still: one record that is too large for the
  // store was sent again for ever, and all others waited behind it.
  for (const limit of ['recordLimitBytes', 'unannouncedLimitBytes'] as const) {
    test(`drops only the change that breaks a limit (${limit})`, async () => {
      const {time, store, journal, rejectedKeys} = createFixture();
      store[limit] = 1_000;
      const stored: string[] = [];
      const put = (id: string): void =>
        journal.put(
          id,
          () => ({kind: 'dropped', id}),
          () => stored.push(id),
        );
      put('a');
      put('large'.repeat(300));
      put('b');
      await time.advance(500);
      assert.deepEqual(stored, ['a', 'b']);
      assert.deepEqual(rejectedKeys, ['large'.repeat(300)]);
      assert.equal(journal.unansweredMs(time.now()), 0);
      put('c');
      await time.advance(100);
      assert.deepEqual(stored, ['a', 'b', 'c']);
    });
  }

  // Guards against a caller that waits for ever for a change that was replaced
  // because the store could not hold it.
  test('reports a rejected change once the one in its place is stored', async () => {
    const {time, store, journal} = createFixture();
    store.recordLimitBytes = 1_000;
    let stored = 0;
    const countStored = (): void => {
      stored += 1;
    };
    journal.put(
      'a',
      () => ({kind: 'dropped', id: 'large'.repeat(300)}),
      countStored,
      () => journal.put('a', () => ({kind: 'dropped', id: 'a'}), countStored),
    );
    await time.advance(100);
    assert.equal(stored, 2);
  });

  // Guards against a call that the store refuses because all its records together
  // are too large.
  test('splits a batch by its size', async () => {
    const {time, store, journal} = createFixture();
    store.measure = () => ({bytes: 400_000});
    for (const id of ['a', 'b', 'c']) {
      journal.put(id, () => ({kind: 'dropped', id}));
    }
    await time.advance(100);
    assert.equal(store.appendCount, 2);
  });

  // Guards against slow detection of a recovered store: for a second, no task
  // was started and no job accepted, and another process claimed to be the
  // leader.
  test('detects within half a second that the store is back', async () => {
    const {time, store, journal} = createFixture();
    store.down = true;
    journal.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(3_950);
    store.down = false;
    await time.advance(500);
    assert.equal(journal.unansweredMs(time.now()), 0);
  });
});
