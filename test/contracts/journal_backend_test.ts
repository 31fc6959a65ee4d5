import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as journalBackend from '../../src/contracts/journal_backend.js';
import * as requestJournal from '../../src/contracts/request_journal.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as processDirectory from '../../src/contracts/process_directory.js';

const STREAM = 'journal/home';

function buildEntry(identity: string): journalBackend.JournalEntry {
  return {kind: 'offered', identity, client: 'alice', process: 'peer'};
}

function buildRecord(number: number): journalBackend.JournalRecord {
  return {number, entry: buildEntry(`id-${number}`)};
}

function appendAnswered(
  append: number,
  answer: 'appended' | 'lost',
): event.Event {
  return {kind: 'appendAnswered', stream: STREAM, append, answer};
}

function recordsRead(
  sentAt: number,
  records: ReadonlyArray<journalBackend.JournalRecord>,
): event.Event {
  return {
    kind: 'recordsRead',
    stream: STREAM,
    sentAt,
    first: 0,
    next: records.length,
    records: records.map((item, offset) => ({
      offset,
      data: journalBackend.encodeRecord(item),
    })),
  };
}

function appendsIn(
  effects: ReadonlyArray<effect.Effect>,
): ReadonlyArray<Extract<effect.Effect, {kind: 'append'}>> {
  return effects.filter(
    (item): item is Extract<effect.Effect, {kind: 'append'}> =>
      item.kind === 'append',
  );
}

function directoryOf(
  ...names: ReadonlyArray<string>
): processDirectory.ProcessDirectory {
  return {
    members: () => names.map(process => ({process, address: process})),
    offerCandidates: () => [],
    isMember: () => true,
    address: process => process,
    relayFor: () => undefined,
    hasJoined: () => true,
    hasSuccessor: () => false,
    joinedBefore: () => true,
    markUnreachable: () => {},
  };
}

nodeTest.describe('log journal', () => {
  nodeTest.test(
    'has at most one open append and batches later entries in the next one; ' +
      'guards against flooding the log with appends',
    () => {
      const log = new journalBackend.LogJournal('home', () => 100);
      log.record(buildRecord(1));
      assert.equal(appendsIn(log.flush(0)).length, 1);
      log.record(buildRecord(2));
      log.record(buildRecord(3));
      assert.deepEqual(log.flush(150), []);
      const output = log.handle(appendAnswered(1, 'appended'), 160);
      assert.deepEqual(output.recorded, [1]);
      const [next] = appendsIn(output.effects);
      assert.equal(next.records.length, 2);
      log.record(buildRecord(4));
      const early = log.handle(appendAnswered(2, 'appended'), 170);
      assert.deepEqual(early.effects, [], 'the append interval is kept');
      assert.equal(appendsIn(log.flush(260)).length, 1);
    },
  );

  nodeTest.test(
    'reads the stream after a lost answer and appends only missing entries',
    () => {
      const log = new journalBackend.LogJournal('home', () => 0);
      log.record(buildRecord(1));
      log.record(buildRecord(2));
      log.flush(0);
      const lost = log.handle(appendAnswered(1, 'lost'), 10);
      assert.equal(lost.effects[0].kind, 'readStream');
      const early = log.handle(recordsRead(5, [buildRecord(1)]), 11);
      assert.deepEqual(early.recorded, [], 'the read is older than the loss');
      const output = log.handle(recordsRead(11, [buildRecord(1)]), 12);
      assert.deepEqual(output.recorded, [1]);
      const [again] = appendsIn(output.effects);
      assert.deepEqual(again.records, [
        journalBackend.encodeRecord(buildRecord(2)),
      ]);
    },
  );
});

nodeTest.describe('witness journal', () => {
  nodeTest.test(
    'reports an entry as recorded only after every member has stored it; ' +
      'guards against a witness that was always a member but lacks it',
    () => {
      const witnesses = new journalBackend.WitnessJournal(
        directoryOf('a', 'b'),
      );
      witnesses.record(buildRecord(1));
      assert.equal(witnesses.flush(0).length, 2);
      const stored = {kind: 'witnessAnswered', batch: 1} as const;
      const first = {...stored, peer: 'a', stored: true};
      assert.deepEqual(witnesses.handle(first, 1).recorded, []);
      const refused = {...stored, peer: 'b', stored: false};
      assert.deepEqual(witnesses.handle(refused, 2).recorded, []);
      const second = {...stored, peer: 'b', stored: true};
      assert.deepEqual(witnesses.handle(second, 3).recorded, [1]);
    },
  );
});

nodeTest.describe('journal of a process', () => {
  nodeTest.test(
    'sends entries whose append may be lost to witnesses in a log outage, ' +
      'and appends them to the log after the outage',
    () => {
      const processJournal = new requestJournal.RequestJournal(
        'home',
        directoryOf('a'),
      );
      const number = processJournal.record(buildEntry('id'));
      processJournal.flush(0);
      processJournal.handle(appendAnswered(1, 'lost'), 2_000);
      const failed = {kind: 'readFailed', stream: STREAM} as const;
      const outage = processJournal.handle(failed, 4_000);
      const [sent] = outage.effects.filter(item => item.kind === 'sendWitness');
      assert.equal(sent.entries.length, 1);
      const stored = {kind: 'witnessAnswered', peer: 'a', batch: 1} as const;
      const output = processJournal.handle({...stored, stored: true}, 4_001);
      assert.deepEqual(output.recorded, [number]);
      const back = processJournal.handle(recordsRead(9_000, []), 9_001);
      assert.equal(appendsIn(back.effects).length, 1);
      assert.deepEqual(back.recorded, []);
    },
  );

  nodeTest.test('is unavailable in a log outage without other members', () => {
    const processJournal = new requestJournal.RequestJournal(
      'home',
      directoryOf(),
    );
    processJournal.record(buildEntry('id'));
    processJournal.flush(0);
    processJournal.handle(appendAnswered(1, 'lost'), 2_000);
    assert.equal(processJournal.isAvailable(), true);
    processJournal.handle({kind: 'readFailed', stream: STREAM}, 4_000);
    assert.equal(processJournal.isAvailable(), false);
  });
});
