import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as witnessTable from '../../src/zones/witness_table.js';

const {describe, test} = nodeTest;

describe('witnesses for the end of earlier leaders', () => {
  test('are all members before the first leader', () => {
    const table = new witnessTable.WitnessTable();
    assert.equal(table.witnesses, undefined);
    assert.equal(table.isWitness('a:1', table.witnesses), true);
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
    table.applyLog(offsets, {offset: 8, witnessEnd: 5, exempt: []});
    const {witnesses} = table;
    assert.equal(table.isWitness('a:1', witnesses), true);
    assert.equal(table.isWitness('d:1', witnesses), false);
    assert.equal(table.isKnownToLeader('d:1'), true);
    assert.equal(table.isKnownToLeader('e:1'), false);
    assert.equal(table.isWitness('unknown:1', witnesses), false);
  });

  // Guards against a successor that takes a member for one whose word the leader
  // needs, although that leader acts without it.
  test('are not those without which the leader acts', () => {
    const table = new witnessTable.WitnessTable();
    const offsets = new Map([
      ['a:1', 2],
      ['b:1', 3],
    ]);
    table.applyLog(offsets, {offset: 8, witnessEnd: 8, exempt: ['b:1']});
    assert.equal(table.isWitness('a:1', table.witnesses), true);
    assert.equal(table.isWitness('b:1', table.witnesses), false);
  });

  // Guards against a member that counts as a newcomer for ever because it was
  // restarted: its leader doesn't hear the process that it knows.
  test('stay witnesses when they register again', () => {
    const table = new witnessTable.WitnessTable();
    table.applyLog(new Map([['a:1', 2]]), {
      offset: 4,
      witnessEnd: 4,
      exempt: [],
    });
    table.applyLog(new Map([['a:1', 5]]), undefined);
    assert.equal(table.isWitness('a:1', table.witnesses), true);
  });

  // Guards against the answers of two reads that arrive in reverse order.
  test('are not those of an older record that is read late', () => {
    const table = new witnessTable.WitnessTable();
    table.applyLog(new Map(), {offset: 8, witnessEnd: 3, exempt: []});
    table.applyLog(new Map(), {offset: 6, witnessEnd: 6, exempt: []});
    assert.equal(table.witnesses?.witnessEnd, 3);
  });
});
