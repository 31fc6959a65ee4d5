import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fakeJournalStore from '../support/fake_journal_store.js';
import * as jobJournal from '../../src/jobs/job_journal.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as jobRecord from '../../src/jobs/job_record.js';

const {describe, test} = nodeTest;

interface Scene {
  readonly time: simulatedClock.SimulatedClock;
  readonly store: fakeJournalStore.FakeJournalStore;
  readonly writer: jobJournal.JobJournal;
  readonly superseded: () => number;
}

function scene(term = 1): Scene {
  const time = new simulatedClock.SimulatedClock();
  const store = new fakeJournalStore.FakeJournalStore(time);
  let superseded = 0;
  const writer = new jobJournal.JobJournal(store, term, time, time, () => {
    superseded += 1;
  });
  return {time, store, writer, superseded: () => superseded};
}

function progressOf(started: boolean): jobRecord.JobProgress {
  return {outcome: 'open', started, steps: []};
}

describe('the journal', () => {
  // Guards against a call to the store for each change.
  test('sends what gathers during a call in the next one', async () => {
    const {time, store, writer} = scene();
    let stored = 0;
    for (let index = 0; index < 20; index += 1) {
      const id = `job${index}`;
      writer.put(
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
    assert.ok(store.appends <= 6, `${store.appends} calls`);
  });

  // Guards against stale progress that overwrites newer.
  test('reads a change when it sends it', async () => {
    const {time, store, writer} = scene();
    let started = false;
    const put = (): void =>
      writer.put('a', () => ({
        kind: 'progress',
        id: 'a',
        progress: progressOf(started),
      }));
    put();
    started = true;
    await time.advance(50);
    assert.equal(store.progress.get('a')?.started, true);
  });

  // Guards against an acknowledgement for what is not stored.
  test('reports a change only once it is stored', async () => {
    const {time, store, writer} = scene();
    store.lostAnswers = 3;
    let stored = false;
    writer.put(
      'a',
      () => ({kind: 'dropped', id: 'a'}),
      () => {
        stored = true;
      },
    );
    await time.advance(300);
    assert.equal(stored, false);
    assert.ok(writer.unansweredMs(time.now()) >= 300);
    await time.advance(300);
    assert.equal(stored, true);
    assert.equal(writer.unansweredMs(time.now()), 0);
  });

  // Guards against writes after a later term has begun.
  test('ends with a later term', async () => {
    const {time, store, writer, superseded} = scene(1);
    await Promise.all([store.open(2), time.advance(50)]);
    writer.put('a', () => ({kind: 'dropped', id: 'a'}));
    writer.put('b', () => ({kind: 'dropped', id: 'b'}));
    await time.advance(500);
    assert.equal(superseded(), 1);
    assert.equal(store.appends, 0);
  });

  // Guards against "not stored" for a change that may still be.
  test('lets a change be withdrawn only while it surely is not stored', async () => {
    const {time, store, writer} = scene();
    store.refusing = true;
    writer.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(60);
    assert.equal(writer.withdraw('a'), true);
    store.refusing = false;
    store.down = true;
    writer.put('b', () => ({kind: 'dropped', id: 'b'}));
    await time.advance(300);
    assert.equal(writer.withdraw('b'), false);
  });

  // Guards against a second without starts and acceptances after the store is
  // back, in which another process claims to schedule.
  test('notices within half a second that the store is back', async () => {
    const {time, store, writer} = scene();
    store.down = true;
    writer.put('a', () => ({kind: 'dropped', id: 'a'}));
    await time.advance(3_950);
    store.down = false;
    await time.advance(500);
    assert.equal(writer.unansweredMs(time.now()), 0);
  });
});
