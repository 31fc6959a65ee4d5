import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as witnessTable from '../../src/zones/witness_table.js';

const {describe, test} = nodeTest;

describe('witnesses for the end of earlier leaders', () => {
  test('are all members before the first leader', () => {
    const table = new witnessTable.WitnessTable();
    assert.equal(table.witnessEnd, undefined);
    assert.equal(table.isRegisteredBefore('a:1', table.witnessEnd), true);
  });

  // Guards against a member that is known to the last leader, but not to one
  // before it that may still act.
  test('are those that registered before the end that the record names', () => {
    const table = new witnessTable.WitnessTable();
    const offsets = new Map([
      ['a:1', 2],
      ['d:1', 7],
      ['e:1', 9],
    ]);
    table.applyLog(offsets, {offset: 8, witnessEnd: 5});
    const {witnessEnd} = table;
    assert.equal(table.isRegisteredBefore('a:1', witnessEnd), true);
    assert.equal(table.isRegisteredBefore('d:1', witnessEnd), false);
    assert.equal(table.isKnownToLeader('d:1'), true);
    assert.equal(table.isKnownToLeader('e:1'), false);
    assert.equal(table.isRegisteredBefore('unknown:1', witnessEnd), false);
  });

  // Guards against a member that counts as a newcomer for ever because it was
  // restarted: its leader doesn't hear the process that it knows.
  test('stay witnesses when they register again', () => {
    const table = new witnessTable.WitnessTable();
    table.applyLog(new Map([['a:1', 2]]), {offset: 4, witnessEnd: 4});
    table.applyLog(new Map([['a:1', 5]]), undefined);
    assert.equal(table.isRegisteredBefore('a:1', table.witnessEnd), true);
  });

  // Guards against the answers of two reads that arrive in reverse order.
  test('are not those of an older record that is read late', () => {
    const table = new witnessTable.WitnessTable();
    table.applyLog(new Map(), {offset: 8, witnessEnd: 3});
    table.applyLog(new Map(), {offset: 6, witnessEnd: 6});
    assert.equal(table.witnessEnd, 3);
  });
});
