import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as grantorTable from '../../src/zones/grantor_table.js';

const {describe, test} = nodeTest;

describe('grantors for the end of earlier leaders', () => {
  test('are all members before the first leader', () => {
    const table = new grantorTable.GrantorTable();
    assert.equal(table.grantors, undefined);
    assert.equal(table.isGrantor('a:1', table.grantors), true);
  });

  // Guards against a member that is known to the last leader, but not to one
  // before it that may still act.
  test('are those that registered before the end that the record names', () => {
    const table = new grantorTable.GrantorTable();
    const offsets = new Map([
      ['a:1', 2],
      ['d:1', 7],
      ['e:1', 9],
    ]);
    table.applyLog(offsets, {offset: 8, grantorEnd: 5, exempt: []});
    const {grantors} = table;
    assert.equal(table.isGrantor('a:1', grantors), true);
    assert.equal(table.isGrantor('d:1', grantors), false);
    assert.equal(table.isKnownToLeader('d:1'), true);
    assert.equal(table.isKnownToLeader('e:1'), false);
    assert.equal(table.isGrantor('unknown:1', grantors), false);
  });

  // Guards against a successor that takes a member for one whose word the leader
  // needs, although that leader acts without it.
  test('are not those without which the leader acts', () => {
    const table = new grantorTable.GrantorTable();
    const offsets = new Map([
      ['a:1', 2],
      ['b:1', 3],
    ]);
    table.applyLog(offsets, {offset: 8, grantorEnd: 8, exempt: ['b:1']});
    assert.equal(table.isGrantor('a:1', table.grantors), true);
    assert.equal(table.isGrantor('b:1', table.grantors), false);
  });

  // Guards against a member that counts as a newcomer for ever because it was
  // restarted: its leader doesn't hear the process that it knows.
  test('stay grantors when they register again', () => {
    const table = new grantorTable.GrantorTable();
    table.applyLog(new Map([['a:1', 2]]), {
      offset: 4,
      grantorEnd: 4,
      exempt: [],
    });
    table.applyLog(new Map([['a:1', 5]]), undefined);
    assert.equal(table.isGrantor('a:1', table.grantors), true);
  });

  // Guards against the answers of two reads that arrive in reverse order.
  test('are not those of an older record that is read late', () => {
    const table = new grantorTable.GrantorTable();
    table.applyLog(new Map(), {offset: 8, grantorEnd: 3, exempt: []});
    table.applyLog(new Map(), {offset: 6, grantorEnd: 6, exempt: []});
    assert.equal(table.grantors?.grantorEnd, 3);
  });
});
