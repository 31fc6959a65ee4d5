import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellLogStore from '../../src/links/cell_log_store.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';

const {describe, test} = nodeTest;

const GRANTORS: cellMember.Grantors = {grantorEnd: 5, exempt: ['b:1']};

const MEMBER: cellMember.CellMember = {
  node: 'one',
  incarnation: 'one-1',
  address: 'one:1',
  zone: 'kigali-a',
  processors: 4,
};

function storeWith(
  outcome: keyedTopic.AppendOutcome,
): cellLogStore.CellLogStore {
  const topic = {append: async () => outcome};
  return new cellLogStore.CellLogStore(
    topic as unknown as keyedTopic.KeyedTopic,
  );
}

describe('cell log store', () => {
  // Guards against a member that never claims again: after a lost claim it
  // waits for the record that came first, and a refused claim has none.
  test('tells a refused claim from a lost one', async () => {
    const refused = {kind: 'refused', detail: 'status 503'} as const;
    assert.deepEqual(
      await storeWith(refused).claim(MEMBER, 7, GRANTORS),
      refused,
    );
    const preceded = storeWith({kind: 'conditionFailed', end: 8});
    assert.deepEqual(await preceded.claim(MEMBER, 7, GRANTORS), {
      kind: 'lost',
    });
  });

  // Guards against a successor that counts members which an earlier leader does
  // not know or need.
  test('keeps the grantors of a claim and of a progress record', async () => {
    const appended: keyedTopic.KeyedRecord[] = [];
    const topic = {
      append: async (records: ReadonlyArray<keyedTopic.KeyedRecord>) => {
        appended.push(...records);
        return {kind: 'appended', offset: 7};
      },
    };
    const store = new cellLogStore.CellLogStore(
      topic as unknown as keyedTopic.KeyedTopic,
    );
    await store.join(MEMBER, undefined, 0);
    await store.claim(MEMBER, 1, GRANTORS);
    const progress = {
      term: 2,
      leading: true,
      resigning: false,
      takeoverStep: 1,
      hearsMajority: true,
    };
    await store.reportProgress({...progress, ...GRANTORS}, 2, 100);
    await store.reportProgress(progress, 3, 100);
    const records = appended.map((record, offset) => ({...record, offset}));
    const read = (count: number): cellMember.CellLogContent =>
      cellLogStore.decodeCellLog(records.slice(0, count), true);
    assert.equal(read(1).leaderRecord, undefined);
    assert.deepEqual(read(2).leaderRecord, {offset: 1, ...GRANTORS});
    assert.deepEqual(read(3).leaderRecord, {offset: 2, ...GRANTORS});
    assert.deepEqual(read(4).leaderRecord, {
      offset: 3,
      grantorEnd: 3,
      exempt: [],
    });
    assert.deepEqual([...read(4).memberOffsets], [[MEMBER.address, 0]]);
    // A restarted member is known since its first process registered.
    await store.join(MEMBER, 0, 4);
    records.push({...appended[4], offset: 9});
    assert.deepEqual([...read(5).memberOffsets], [[MEMBER.address, 0]]);
  });

  // Guards against a successor that takes the witnesses of one leader for those
  // of another, because they were stored without the rest of its record.
  test('stores witnesses together with the progress that names them', async () => {
    const appends: Array<ReadonlyArray<keyedTopic.KeyedRecord>> = [];
    const topic = {
      append: async (records: ReadonlyArray<keyedTopic.KeyedRecord>) => {
        appends.push(records);
        return {kind: 'appended', offset: 7};
      },
    };
    const store = new cellLogStore.CellLogStore(
      topic as unknown as keyedTopic.KeyedTopic,
    );
    const progress = {
      term: 2,
      leading: true,
      resigning: false,
      takeoverStep: 1,
      hearsMajority: true,
    };
    const plain = await store.reportProgress(progress, 7, 100);
    assert.deepEqual(plain, {kind: 'stored', end: 8});
    const witnesses = ['w1', 'w2'];
    const named = {...progress, witnesses};
    const outcome = await store.reportProgress(named, 7, 100);
    assert.deepEqual(outcome, {kind: 'stored', end: 9});
    assert.equal(appends.length, 2);
    const records = appends[1].map((record, offset) => ({...record, offset}));
    const content = cellLogStore.decodeCellLog(records, false);
    assert.deepEqual(content.witnesses, witnesses);
    assert.deepEqual(content.progress, progress);
  });
});
