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
}

function createFixture(term = 1): Fixture {
  const time = new simulatedClock.SimulatedClock();
  const store = new fakeJournalStore.FakeJournalStore(time);
  let superseded = 0;
  const journal = new jobJournal.JobJournal(store, term, time, time, () => {
    superseded += 1;
  });
  return {time, store, journal, superseded: () => superseded};
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
