import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as ownership from '../../src/zones/ownership.js';
import * as zoneStream from '../../src/zones/zone_stream.js';

const JOIN = {kind: 'join', process: 'a', vm: 'a', address: 'a:1'} as const;

function create(): zoneStream.ZoneStream {
  const table = new ownership.OwnershipTable();
  return new zoneStream.ZoneStream('zone/z', 'a', table);
}

function read(sentAt: number, data: ReadonlyArray<string> = []) {
  return {
    kind: 'recordsRead',
    stream: 'zone/z',
    sentAt,
    first: 0,
    next: data.length,
    records: data.map((text, offset) => ({offset, data: text})),
  } as const;
}

function lost(append: number) {
  return {
    kind: 'appendAnswered',
    stream: 'zone/z',
    append,
    answer: 'lost',
  } as const;
}

nodeTest.describe('zone stream', () => {
  nodeTest.test(
    'an append whose answer was lost is repeated only after a later read ' +
      'does not show it: guards against lost and duplicate records',
    () => {
      const stream = create();
      const first = stream.append([JOIN], 0);
      stream.handleAppendAnswer(lost(1), 2_000);
      stream.applyRead(read(1_900), 2_100);
      const early = stream.poll(2_200).map(item => item.kind);
      assert.equal(early.includes('append'), false);
      stream.applyRead(read(2_300), 2_400);
      const again = stream.poll(2_500).find(({kind}) => kind === 'append');
      assert.ok(first.kind === 'append' && again?.kind === 'append');
      assert.deepEqual(again.records, first.records);
      stream.applyRead(read(2_600, first.records), 2_700);
      assert.equal(stream.hasPendingRecords, false);
    },
  );

  nodeTest.test(
    'a read that ends before the applied records does not count as current: ' +
      'guards against permits from a lagging log',
    () => {
      const stream = create();
      assert.equal(stream.applyRead(read(10, ['{}', '{}']), 20), true);
      assert.equal(stream.applyRead(read(30, ['{}']), 40), false);
      assert.equal(stream.lastTailReadSentAt, 10);
    },
  );

  nodeTest.test(
    'a snapshot is due after a number of records or a time: guards against ' +
      'a zone whose records expire before a snapshot',
    () => {
      const stream = create();
      stream.applyRead(read(10, ['{}']), 20);
      assert.equal(stream.dueSnapshot(20, 1), undefined);
      const late = 30 + zoneStream.SNAPSHOT_INTERVAL_MS;
      assert.equal(stream.dueSnapshot(late, 1)?.through, 0);
      const many = Array<string>(zoneStream.SNAPSHOT_RECORDS + 1).fill('{}');
      stream.applyRead(read(40, many), 50);
      assert.equal(stream.dueSnapshot(50, 1)?.through, many.length - 1);
    },
  );
});
