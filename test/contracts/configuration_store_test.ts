import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationStoreHarness from '../support/configuration_store_harness.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

interface PublicationFields {
  readonly call?: number;
  readonly document?: string;
  readonly base?: number;
  readonly content?: string;
  readonly publication?: string;
}

function publishArrived(fields: PublicationFields): event.Event {
  return {
    kind: 'publishArrived',
    call: fields.call ?? 1,
    document: fields.document ?? 'team/a',
    baseVersion: fields.base ?? 0,
    content: fields.content ?? 'a first',
    publication: fields.publication ?? 'publication-1',
  };
}

function countAppends(effects: ReadonlyArray<effect.Effect>): number {
  return effects.filter(item => item.kind === 'append').length;
}

function confirmationWith(version: number): event.Event {
  const status = {
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
    status,
  };
}

function documentsFromPeer(version: number, content: string): event.Event {
  const documents = [{name: 'team/a', version, content}];
  return {kind: 'documentsArrived', documents};
}

/** Creates a store that has read an empty log to its end. */
function createStore(): {
  readonly log: configurationStoreHarness.TrimmedLog;
  readonly store: configurationStoreHarness.ConfigurationStoreHarness;
  readonly now: number;
} {
  const log = new configurationStoreHarness.TrimmedLog();
  const store = new configurationStoreHarness.ConfigurationStoreHarness(log);
  return {log, store, now: store.settle(0)};
}

nodeTest.describe('publication', () => {
  nodeTest.test(
    'a publication is answered when it is read back, and repeats get the ' +
      'same answer; guards against a second version from a repeat',
    () => {
      const {log, store, now} = createStore();
      store.handle(publishArrived({call: 1}), now);
      assert.equal(store.replies.has(1), false);
      store.handle(publishArrived({call: 2}), now);
      const later = store.settle(now);
      store.handle(publishArrived({call: 3}), later);
      for (const call of [1, 2, 3]) {
        assert.equal(store.replies.get(call)?.code, 0);
        assert.equal(store.replies.get(call)?.version, 1);
      }
      assert.equal(log.history.length, 1);
    },
  );

  nodeTest.test(
    'a wrong base and invalid content are refused without an append; guards ' +
      'against filling the log with records that are never accepted',
    () => {
      const {store, now} = createStore();
      store.handle(publishArrived({}), now);
      const later = store.settle(now);
      const wrong = publishArrived({call: 2, publication: 'p-2', base: 0});
      assert.equal(countAppends(store.handle(wrong, later)), 0);
      assert.equal(store.replies.get(2)?.code, 6001);
      const faulty = publishArrived({
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
    'of two publications from one base through two processes, one succeeds ' +
      'and one gets 6001; guards against reporting success to both operators',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationStoreHarness.ConfigurationStoreHarness(
        log,
      );
      other.settle(0);
      store.handle(publishArrived({publication: 'p-1'}), now);
      other.handle(
        publishArrived({publication: 'p-2', content: 'a second'}),
        now,
      );
      store.settle(now);
      other.settle(now);
      const codes = [store, other].map(item => item.replies.get(1)?.code);
      assert.deepEqual(codes.sort(), [0, 6001]);
    },
  );

  nodeTest.test(
    'a lost answer to an append is resolved by reading the log; guards ' +
      'against reporting a failure after the append took effect',
    () => {
      const {log, store, now} = createStore();
      store.handle(publishArrived({}), now);
      store.serve(0, now, true);
      store.deliver(0, now, false);
      store.settle(now);
      assert.equal(store.replies.get(1)?.code, 0);
      const distinctRecords = new Set(log.history.map(record => record.data));
      assert.equal(distinctRecords.size, 1);
    },
  );

  nodeTest.test(
    'without an answer of the log the caller gets 6004 after 10 s, and a ' +
      'repeat gets the outcome later; guards against a guessed outcome',
    () => {
      const {store, now} = createStore();
      store.handle(publishArrived({}), now);
      store.handle({kind: 'timePassed'}, now + 9_999);
      assert.equal(store.replies.has(1), false);
      store.handle({kind: 'timePassed'}, now + 10_000);
      assert.equal(store.replies.get(1)?.code, 6004);
      const later = store.settle(now + 10_000);
      store.handle(publishArrived({call: 2}), later);
      assert.equal(store.replies.get(2)?.code, 0);
    },
  );

  nodeTest.test(
    'large documents are appended one after another; guards against an ' +
      'append that the log rejects for its size',
    () => {
      const {log, store, now} = createStore();
      const sent: number[] = [];
      for (const name of ['a', 'b', 'c']) {
        const content = `${name} ${'x'.repeat(600_000)}`;
        const document = `team/${name}`;
        const change = {document, content, publication: `p-${name}`};
        sent.push(countAppends(store.handle(publishArrived(change), now)));
      }
      store.settle(now);
      assert.deepEqual(sent, [1, 0, 0]);
      assert.equal(log.appendCount, 3);
      assert.equal(store.versions().size, 3);
    },
  );

  nodeTest.test(
    'an identity that was used for another change is refused; guards ' +
      'against reporting a change as in force that was never appended',
    () => {
      const {store, now} = createStore();
      store.handle(publishArrived({}), now);
      const later = store.settle(now);
      store.handle(publishArrived({call: 2, content: 'a other'}), later);
      assert.equal(store.replies.get(2)?.code, 1010);
    },
  );

  nodeTest.test(
    'a repeat is not refused while only a peer has the accepted version; ' +
      'guards against 6001 for an accepted publication',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationStoreHarness.ConfigurationStoreHarness(
        log,
      );
      const time = other.settle(0);
      store.handle(publishArrived({}), now);
      store.settle(now);
      other.handle(documentsFromPeer(1, 'a first'), time);
      other.handle(publishArrived({}), time);
      assert.equal(other.replies.has(1), false);
      other.settle(time);
      assert.equal(other.replies.get(1)?.code, 0);
    },
  );

  nodeTest.test(
    'a base that this process has not read yet is validated after the next ' +
      'read; guards against refusing an operator who knows a newer version',
    () => {
      const {log, store, now} = createStore();
      const other = new configurationStoreHarness.ConfigurationStoreHarness(
        log,
      );
      const time = other.settle(0);
      store.handle(publishArrived({}), now);
      store.settle(now);
      const second = {publication: 'p-2', content: 'a second'};
      other.handle(publishArrived({...second, base: 1}), time);
      other.handle(
        publishArrived({call: 2, publication: 'p-3', base: 9}),
        time,
      );
      other.settle(time);
      assert.equal(other.replies.get(1)?.code, 0);
      assert.equal(other.replies.get(2)?.code, 6001);
    },
  );
});

nodeTest.describe('documents from peers', () => {
  nodeTest.test(
    'a process that starts during a log outage uses the documents of a peer; ' +
      'guards against a zone without configuration',
    () => {
      const log = new configurationStoreHarness.TrimmedLog();
      const store = new configurationStoreHarness.ConfigurationStoreHarness(
        log,
      );
      store.handle({kind: 'timePassed'}, 0);
      const early = store.handle(confirmationWith(7), 1_900);
      assert.ok(!early.some(item => item.kind === 'fetchDocuments'));
      const late = store.handle(confirmationWith(7), 2_100);
      assert.ok(late.some(item => item.kind === 'fetchDocuments'));
      assert.equal(store.store.isLoaded(), false);
      store.handle(documentsFromPeer(7, 'a seventh'), 2_200);
      assert.equal(store.store.isLoaded(), true);
      assert.equal(store.versions().get('team/a'), 7);
    },
  );

  nodeTest.test(
    'a process that knows no members fetches from the listed entry VMs in ' +
      'turn, own zone first; guards against a start that waits for the log',
    () => {
      const log = new configurationStoreHarness.TrimmedLog();
      const store = new configurationStoreHarness.ConfigurationStoreHarness(
        log,
      );
      const askedAddresses: string[] = [];
      const pass = (now: number): void => {
        for (const item of store.handle({kind: 'timePassed'}, now)) {
          if (item.kind === 'fetchDocuments') askedAddresses.push(item.address);
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
      assert.deepEqual(askedAddresses, ['near:1', 'far:1', 'near:1']);
      store.handle(documentsFromPeer(7, 'a seventh'), 4_100);
      pass(5_100);
      assert.equal(askedAddresses.length, 3);
    },
  );

  nodeTest.test(
    'a lower version is ignored, and reading the record of a higher one from ' +
      'the log changes nothing; guards against a reverted change',
    () => {
      const {log, store, now} = createStore();
      store.handle(publishArrived({}), now);
      let time = store.settle(now);
      const change = {publication: 'p-2', base: 1, content: 'a second'};
      log.append([
        JSON.stringify({...publishArrived(change), kind: 'publish'}),
      ]);
      store.handle(documentsFromPeer(2, 'a second'), time);
      store.handle(documentsFromPeer(1, 'a first'), time);
      assert.equal(store.versions().get('team/a'), 2);
      time = store.settle(time);
      assert.equal(store.versions().get('team/a'), 2);
      const third = {publication: 'p-3', base: 2, content: 'a third'};
      store.handle(publishArrived({call: 9, ...third}), time);
      store.settle(time);
      assert.equal(store.replies.get(9)?.code, 0);
    },
  );

  nodeTest.test(
    'nothing is fetched while the log delivers changes in time; guards ' +
      'against transferring each change twice',
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
    'workloads are listed by team; guards against a listing call that is ' +
      'never answered',
    () => {
      const {store, now} = createStore();
      store.handle(publishArrived({}), now);
      const later = store.settle(now);
      store.handle({kind: 'workloadsArrived', call: 5}, later);
      const content = [{team: 'a', workloads: []}];
      assert.deepEqual(store.replies.get(5)?.content, content);
    },
  );
});

nodeTest.describe('retention', () => {
  nodeTest.test(
    'a snapshot with a document that cannot be parsed restores the others; ' +
      'guards against a release with stricter rules that starts without any',
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
    'a snapshot is appended before half of the retention time has passed; ' +
      'guards against losing documents when their records expire',
    () => {
      const {log, store, now} = createStore();
      store.handle(publishArrived({}), now);
      let time = now;
      const half = now + configurationStoreHarness.RETENTION_MS / 2;
      while (log.history.length < 2 && time < half) time = store.settle(time);
      assert.ok(time < half);
      log.trim(1);
      store.restart();
      store.settle(time);
      assert.equal(store.versions().get('team/a'), 1);
    },
  );
});
