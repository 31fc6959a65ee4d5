import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as streamReplica from '../../src/contracts/stream_replica.js';
import type * as event from '../../src/contracts/event.js';

/** Collects the records' data, which exposes their order and repeats. */
class CollectedRecords implements streamReplica.ReplicatedState {
  items: string[] = [];

  apply(record: event.StreamRecord): void {
    this.items.push(record.data);
  }

  snapshot(): string {
    return JSON.stringify(this.items);
  }

  restore(snapshot: string): void {
    this.items = JSON.parse(snapshot) as string[];
  }
}

function records(
  first: number,
  ...data: ReadonlyArray<string>
): ReadonlyArray<event.StreamRecord> {
  return data.map((item, index) => ({offset: first + index, data: item}));
}

function read(
  first: number,
  next: number,
  items: ReadonlyArray<event.StreamRecord>,
): Extract<event.Event, {readonly kind: 'recordsRead'}> {
  return {
    kind: 'recordsRead',
    stream: 's',
    sentAt: 0,
    first,
    next,
    records: items,
  };
}

function snapshotText(through: number, ...state: string[]): string {
  return JSON.stringify({
    kind: 'snapshot',
    through,
    state: JSON.stringify(state),
  });
}

function create(): {
  readonly state: CollectedRecords;
  readonly replica: streamReplica.StreamReplica;
} {
  const state = new CollectedRecords();
  return {state, replica: new streamReplica.StreamReplica(state)};
}

nodeTest.describe('replay of a stream', () => {
  nodeTest.test(
    'repeated and stale reads change nothing; guards against applying a ' +
      'record twice and against a position that moves back',
    () => {
      const {state, replica} = create();
      assert.equal(replica.applyRead(read(0, 2, records(0, 'a', 'b'))), 'tail');
      assert.equal(replica.applyRead(read(0, 1, records(0, 'a'))), 'tail');
      assert.equal(
        replica.applyRead(read(0, 4, records(1, 'b', 'c'))),
        'behind',
      );
      assert.deepEqual(state.items, ['a', 'b', 'c']);
      assert.equal(replica.position, 3);
    },
  );

  nodeTest.test(
    'a replica that missed trimmed records waits for a snapshot that covers ' +
      'the gap; guards against a state that lacks records',
    () => {
      const {state, replica} = create();
      replica.applyRead(read(0, 1, records(0, 'a')));
      assert.equal(replica.applyRead(read(3, 4, records(3, 'd'))), 'gap');
      assert.deepEqual(state.items, ['a']);
      const lagging = records(4, snapshotText(1, 'a', 'b'));
      assert.equal(replica.applyRead(read(3, 5, lagging)), 'gap');
      const bridging = records(5, snapshotText(2, 'a', 'b', 'c'));
      assert.equal(replica.applyRead(read(3, 6, bridging)), 'tail');
      assert.deepEqual(state.items, ['a', 'b', 'c', 'd']);
    },
  );

  nodeTest.test(
    'a complete replica ignores snapshots; guards against a lagging process ' +
      'whose snapshot reverts the others',
    () => {
      const {state, replica} = create();
      replica.applyRead(read(0, 3, records(0, 'a', 'b', snapshotText(0, 'a'))));
      assert.deepEqual(state.items, ['a', 'b']);
      assert.equal(replica.lastSnapshotOffset, 2);
      assert.equal(replica.lastSnapshotThrough, 0);
    },
  );

  nodeTest.test(
    'a snapshot that claims later records or cannot be parsed is ignored; ' +
      'guards against records hidden by a faulty snapshot',
    () => {
      const {state, replica} = create();
      replica.applyRead(read(3, 4, records(3, 'd')));
      const faulty = JSON.stringify({
        kind: 'snapshot',
        through: 3,
        state: '{',
      });
      const early = snapshotText(9, 'z');
      replica.applyRead(read(3, 6, records(4, early, faulty)));
      assert.equal(replica.isComplete, false);
      assert.deepEqual(state.items, []);
    },
  );

  nodeTest.test(
    'a snapshot built during a gap ends at the last record before it; guards ' +
      'against a snapshot that claims records its state lacks',
    () => {
      const {replica} = create();
      replica.applyRead(read(0, 2, records(0, 'a', 'b')));
      replica.applyRead(read(5, 6, records(5, 'f')));
      assert.equal(replica.buildSnapshot().through, 1);
    },
  );
});
