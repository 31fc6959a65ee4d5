import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as ownership from '../../src/zones/ownership.js';

function replay(
  records: ReadonlyArray<ownership.ZoneRecord>,
): ownership.OwnershipTable {
  const table = new ownership.OwnershipTable();
  records.forEach((record, offset) =>
    table.apply({offset, data: JSON.stringify(record)}),
  );
  return table;
}

function join(process: string): ownership.ZoneRecord {
  return {kind: 'join', process, vm: process, address: `${process}:7000`};
}

function claim(claimant: string, item: string, epoch: number) {
  return {kind: 'claim', claimant, items: [{item, epoch}]} as const;
}

nodeTest.describe('ownership table', () => {
  nodeTest.test(
    'only the first of two claims at one epoch is valid: guards against two ' +
      'owners after a race or a repeated append',
    () => {
      const first = claim('a', 'w1', 0);
      const table = replay([join('a'), join('b'), first, claim('b', 'w1', 0)]);
      assert.equal(table.ownership('w1')?.owner, 'a');
      assert.equal(table.ownership('w1')?.epoch, 1);
    },
  );

  nodeTest.test(
    'a delayed copy of a transfer changes nothing: guards against a worker ' +
      'that is returned to an earlier receiver',
    () => {
      const items = [{item: 'w1', epoch: 1}];
      const moved = {kind: 'transfer', from: 'a', to: 'b', items} as const;
      const back = {
        kind: 'transfer',
        from: 'b',
        to: 'a',
        items: [{item: 'w1', epoch: 2}],
      } as const;
      const joins = [join('a'), join('b'), claim('a', 'w1', 0)];
      const table = replay([...joins, moved, back, moved]);
      assert.equal(table.ownership('w1')?.owner, 'a');
    },
  );

  nodeTest.test(
    'a claimed process neither joins nor claims again: guards against a ' +
      'paused process that resumes under its old incarnation',
    () => {
      const table = replay([
        join('a'),
        join('b'),
        claim('b', 'process:a', 1),
        join('a'),
        claim('a', 'w1', 0),
      ]);
      assert.equal(table.members().has('a'), false);
      assert.equal(table.endedMembers().get('a')?.how, 'claimed');
      assert.equal(table.ownership('w1'), undefined);
    },
  );

  nodeTest.test(
    'a replica moves with its worker, and a snapshot restores the table: ' +
      'guards against a replica without the owner of its worker and against ' +
      'a snapshot that loses records',
    () => {
      const on = {item: 'replica:t/s/0', epoch: 0, on: 'w1'};
      const items = [{item: 'w1', epoch: 1}];
      const table = replay([
        join('a'),
        join('b'),
        claim('a', 'w1', 0),
        {kind: 'claim', claimant: 'a', items: [on]},
        {kind: 'transfer', from: 'a', to: 'b', items},
      ]);
      assert.equal(table.ownership('replica:t/s/0')?.owner, 'b');
      const restored = new ownership.OwnershipTable();
      restored.restore(table.snapshot());
      assert.equal(restored.snapshot(), table.snapshot());
    },
  );
});
