import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCell from '../support/configuration_cell.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

interface PublicationFields {
  readonly call?: number;
  readonly document?: string;
  readonly base?: number;
  readonly content?: string;
  readonly publication?: string;
}

function publish(change: PublicationFields): event.Event {
  return {
    kind: 'publishArrived',
    call: change.call ?? 1,
    document: change.document ?? 'team/a',
    baseVersion: change.base ?? 0,
    content: change.content ?? 'a first',
    publication: change.publication ?? 'publication-1',
  };
}

function countAppends(effects: ReadonlyArray<effect.Effect>): number {
  return effects.filter(item => item.kind === 'append').length;
}

function confirmationWith(version: number): event.Event {
  const news = {
    from: 'peer-1',
    zone: 'z',
    address: 'host:1',
    documents: [{name: 'team/a', version}],
    leavingWorkers: [],
    summaries: [],
    leaving: false,
  };
  return {
    kind: 'confirmAnswered',
    peer: 'peer-1',
    sentAt: 0,
    confirmed: true,
    zoneRecords: [],
    news,
  };
}

function documentsFromPeer(version: number, content: string): event.Event {
  const documents = [{name: 'team/a', version, content}];
  return {kind: 'documentsArrived', documents};
}

/** One store on an empty log, read to the end. */
function createStore(): {
  readonly log: configurationCell.TrimmedLog;
  readonly store: configurationCell.StoreUnderTest;
  readonly now: number;
} {
  const log = new configurationCell.TrimmedLog();
  const store = new configurationCell.StoreUnderTest(log);
  return {log, store, now: store.settle(0)};
}

nodeTest.describe('publication', () => {
  nodeTest.test(
    'it is answered when the log shows it, and repeats get the same answer; ' +
      'guards against a second version from one publication',
    () => {
      const {log, store, now} = createStore();
      store.handle(publish({call: 1}), now);
      assert.equal(store.replies.has(1), false);
      store.handle(publish({call: 2}), now);
      const later = store.settle(now);
      store.handle(publish({call: 3}), later);
      for (const call of [1, 2, 3]) {
        assert.equal(store.replies.get(call)?.code, 0);
        assert.equal(store.replies.get(call)?.version, 1);
      }
      assert.equal(log.history.length, 1);
    },
  );

  nodeTest.test(
    'a wrong base and a faulty content are refused at once without an ' +
      'append; guards against filling the log with records that lose',
    () => {
      const {store, now} = createStore();
      store.handle(publish({}), now);
      const later = store.settle(now);
      const wrong = publish({call: 2, publication: 'p-2', base: 0});
      assert.equal(countAppends(store.handle(wrong, later)), 0);
      assert.equal(store.replies.get(2)?.code, 6001);
      const faulty = publish({
        call: 3,
        publication: 'p-3',
        base: 1,
        content: 'broken',
      });
      assert.equal(countAppends(store.handle(faulty, later)), 0);
      assert.equal(store.replies.get(3)?.code, 6002);
      assert.ok(store.counts.includes('refusal,versionConflict'));
      assert.ok(store.counts.includes('refusal,invalidDocument'));
    },
  );

  nodeTest.test(
    'of two from one base through two processes one wins and the other gets ' +
      '6001; guards against two operators who both believe they won',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationCell.StoreUnderTest(log);
      other.settle(0);
      store.handle(publish({publication: 'p-1'}), now);
      other.handle(publish({publication: 'p-2', content: 'a second'}), now);
      store.settle(now);
      other.settle(now);
      const codes = [store, other].map(item => item.replies.get(1)?.code);
      assert.deepEqual(codes.sort(), [0, 6001]);
    },
  );

  nodeTest.test(
    'a lost answer is resolved by reading; guards against reporting a ' +
      'failure after the append took effect',
    () => {
      const {log, store, now} = createStore();
      store.handle(publish({}), now);
      store.serve(0, now, true);
      store.deliver(0, now, false);
      store.settle(now);
      assert.equal(store.replies.get(1)?.code, 0);
      const winners = new Set(log.history.map(record => record.data));
      assert.equal(winners.size, 1);
    },
  );

  nodeTest.test(
    'without an answer of the log the operator hears 6004 after 10 s, and ' +
      'the same identity later gets the outcome; guards against guessing',
    () => {
      const {store, now} = createStore();
      store.handle(publish({}), now);
      store.handle({kind: 'timePassed'}, now + 9_999);
      assert.equal(store.replies.has(1), false);
      store.handle({kind: 'timePassed'}, now + 10_000);
      assert.equal(store.replies.get(1)?.code, 6004);
      const later = store.settle(now + 10_000);
      store.handle(publish({call: 2}), later);
      assert.equal(store.replies.get(2)?.code, 0);
    },
  );

  nodeTest.test(
    'large documents go in one append after another; guards against an ' +
      'append that the log refuses for its size',
    () => {
      const {log, store, now} = createStore();
      const sent: number[] = [];
      for (const name of ['a', 'b', 'c']) {
        const content = `${name} ${'x'.repeat(600_000)}`;
        const document = `team/${name}`;
        const change = {document, content, publication: `p-${name}`};
        sent.push(countAppends(store.handle(publish(change), now)));
      }
      store.settle(now);
      assert.deepEqual(sent, [1, 0, 0]);
      assert.equal(log.appendCount, 3);
      assert.equal(store.versions().size, 3);
    },
  );

  nodeTest.test(
    'an identity that was used for another change is refused; guards ' +
      'against telling an operator that an unseen change is in force',
    () => {
      const {store, now} = createStore();
      store.handle(publish({}), now);
      const later = store.settle(now);
      store.handle(publish({call: 2, content: 'a other'}), later);
      assert.equal(store.replies.get(2)?.code, 1010);
    },
  );

  nodeTest.test(
    'a repeat whose success only a peer has shown is not refused; guards ' +
      'against 6001 for a publication that won',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationCell.StoreUnderTest(log);
      const time = other.settle(0);
      store.handle(publish({}), now);
      store.settle(now);
      other.handle(documentsFromPeer(1, 'a first'), time);
      other.handle(publish({}), time);
      assert.equal(other.replies.has(1), false);
      other.settle(time);
      assert.equal(other.replies.get(1)?.code, 0);
    },
  );

  nodeTest.test(
    'a base that this process has not read yet is judged after the next ' +
      'read; guards against refusing an operator who is ahead',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationCell.StoreUnderTest(log);
      const time = other.settle(0);
      store.handle(publish({}), now);
      store.settle(now);
      const second = {publication: 'p-2', content: 'a second'};
      other.handle(publish({...second, base: 1}), time);
      other.handle(publish({call: 2, publication: 'p-3', base: 9}), time);
      other.settle(time);
      assert.equal(other.replies.get(1)?.code, 0);
      assert.equal(other.replies.get(2)?.code, 6001);
    },
  );
});

nodeTest.describe('documents from peers', () => {
  nodeTest.test(
    'a process that starts during a log outage serves with the documents of ' +
      'a peer; guards against a zone without configuration',
    () => {
      const log = new configurationCell.TrimmedLog();
      const store = new configurationCell.StoreUnderTest(log);
      store.handle({kind: 'timePassed'}, 0);
      const early = store.handle(confirmationWith(7), 1_900);
      assert.ok(!early.some(item => item.kind === 'fetchDocuments'));
      const wanted = store.handle(confirmationWith(7), 2_100);
      assert.ok(wanted.some(item => item.kind === 'fetchDocuments'));
      assert.equal(store.store.isLoaded(), false);
      store.handle(documentsFromPeer(7, 'a seventh'), 2_200);
      assert.equal(store.store.isLoaded(), true);
      assert.equal(store.versions().get('team/a'), 7);
    },
  );

  nodeTest.test(
    'a process that knows no members asks the listed entry VMs in turn, its ' +
      'own zone first; guards against a start that waits for the log',
    () => {
      const log = new configurationCell.TrimmedLog();
      const store = new configurationCell.StoreUnderTest(log);
      const asked: string[] = [];
      const pass = (now: number): void => {
        for (const item of store.handle({kind: 'timePassed'}, now)) {
          if (item.kind === 'fetchDocuments') asked.push(item.address);
        }
      };
      const role = 'entry';
      const state = 'live';
      const vms: ReadonlyArray<event.ListedVm> = [
        {vm: 'far', role, zone: 'z-2', address: 'far:1', state},
        {vm: 'own', role, zone: 'z-1', address: 'own:1', state},
        {vm: 'near', role, zone: 'z-1', address: 'near:1', state},
      ];
      pass(0);
      store.handle({kind: 'vmListRead', sentAt: 0, vms}, 10);
      for (const now of [1_000, 2_000, 3_000, 4_000]) pass(now);
      assert.deepEqual(asked, ['near:1', 'far:1', 'near:1']);
      store.handle(documentsFromPeer(7, 'a seventh'), 4_100);
      pass(5_100);
      assert.equal(asked.length, 3);
    },
  );

  nodeTest.test(
    'a lower version is not taken, and the record of a higher one changes ' +
      'nothing when the log shows it; guards against a reverted change',
    () => {
      const {log, store, now} = createStore();
      store.handle(publish({}), now);
      let time = store.settle(now);
      const change = {publication: 'p-2', base: 1, content: 'a second'};
      log.append([JSON.stringify({...publish(change), kind: 'publish'})]);
      store.handle(documentsFromPeer(2, 'a second'), time);
      store.handle(documentsFromPeer(1, 'a first'), time);
      assert.equal(store.versions().get('team/a'), 2);
      time = store.settle(time);
      assert.equal(store.versions().get('team/a'), 2);
      const third = {publication: 'p-3', base: 2, content: 'a third'};
      store.handle(publish({call: 9, ...third}), time);
      store.settle(time);
      assert.equal(store.replies.get(9)?.code, 0);
    },
  );

  nodeTest.test(
    'nothing is fetched while the log shows changes in time; guards against ' +
      'paying for each change twice',
    () => {
      const {store, now} = createStore();
      const kinds = (at: number): ReadonlyArray<string> =>
        store.handle(confirmationWith(5), at).map(item => item.kind);
      assert.ok(!kinds(now).includes('fetchDocuments'));
      store.handle({kind: 'timePassed'}, now + 2_000);
      store.serve(0, now + 2_000, false);
      store.deliver(0, now + 2_000, false);
      assert.ok(kinds(now + 2_000).includes('fetchDocuments'));
    },
  );
});

nodeTest.describe('documents in force', () => {
  nodeTest.test(
    'their workloads are listed by team; guards against a call that nobody ' +
      'answers',
    () => {
      const {store, now} = createStore();
      store.handle(publish({}), now);
      const later = store.settle(now);
      store.handle({kind: 'workloadsArrived', call: 5}, later);
      const content = [{team: 'a', workloads: []}];
      assert.deepEqual(store.replies.get(5)?.content, content);
    },
  );
});

nodeTest.describe('retention', () => {
  nodeTest.test(
    'a snapshot with a document that cannot be read brings the others; ' +
      'guards against a release with stricter rules that starts with nothing',
    () => {
      const {log, store} = createStore();
      const documents = [
        {name: 'team/a', version: 1, content: 'broken'},
        {name: 'team/b', version: 2, content: 'b first'},
      ];
      const state = JSON.stringify({documents, publications: []});
      log.append([
        '1',
        '2',
        JSON.stringify({kind: 'snapshot', through: 1, state}),
      ]);
      log.trim(2);
      store.restart();
      store.settle(0);
      assert.deepEqual([...store.versions()], [['team/b', 2]]);
      const refused = store.counts.filter(item => item.includes('refused'));
      assert.equal(refused.length, 1);
    },
  );

  nodeTest.test(
    'a snapshot is appended before half of the retention time; guards ' +
      'against documents that expire with their records',
    () => {
      const {log, store, now} = createStore();
      store.handle(publish({}), now);
      let time = now;
      const half = now + configurationCell.RETENTION_MS / 2;
      while (log.history.length < 2 && time < half) time = store.settle(time);
      assert.ok(time < half);
      log.trim(1);
      store.restart();
      store.settle(time);
      assert.equal(store.versions().get('team/a'), 1);
    },
  );
});
