import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellLogStore from '../../src/links/cell_log_store.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';

const {describe, test} = nodeTest;

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
    assert.deepEqual(await storeWith(refused).claim(MEMBER, 7, 5), refused);
    const preceded = storeWith({kind: 'conditionFailed', end: 8});
    assert.deepEqual(await preceded.claim(MEMBER, 7, 5), {kind: 'lost'});
  });
});
