import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCell from '../support/configuration_cell.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

interface Change {
  readonly call?: number;
  readonly document?: string;
  readonly base?: number;
  readonly content?: string;
  readonly publication?: string;
}

function publish(change: Change): event.Event {
  return {
    kind: 'publishArrived',
    call: change.call ?? 1,
    document: change.document ?? 'team/a',
    baseVersion: change.base ?? 0,
    content: change.content ?? 'a first',
    publication: change.publication ?? 'publication-1',
  };
}

function appends(effects: ReadonlyArray<effect.Effect>): number {
  return effects.filter(item => item.kind === 'append').length;
}

function confirmed(version: number): event.Event {
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

function arrived(version: number, content: string): event.Event {
  const documents = [{name: 'team/a', version, content}];
  return {kind: 'documentsArrived', documents};
}

/** One keeper on an empty log, read to the end. */
function start(): {
  readonly log: configurationCell.TrimmedLog;
  readonly keeper: configurationCell.KeeperUnderTest;
  readonly now: number;
} {
  const log = new configurationCell.TrimmedLog();
  const keeper = new configurationCell.KeeperUnderTest(log);
  return {log, keeper, now: keeper.settle(0)};
}

nodeTest.describe('publication', () => {
  nodeTest.test(
    'it is answered when the log shows it, and repeats get the same answer; ' +
      'guards against a second version from one publication',
    () => {
      const {log, keeper, now} = start();
      keeper.handle(publish({call: 1}), now);
      assert.equal(keeper.replies.has(1), false);
      keeper.handle(publish({call: 2}), now);
      const later = keeper.settle(now);
      keeper.handle(publish({call: 3}), later);
      for (const call of [1, 2, 3]) {
        assert.equal(keeper.replies.get(call)?.code, 0);
        assert.equal(keeper.replies.get(call)?.version, 1);
      }
      assert.equal(log.history.length, 1);
    },
  );

  nodeTest.test(
    'a wrong base and a faulty content are refused at once without an ' +
      'append; guards against filling the log with records that lose',
    () => {
      const {keeper, now} = start();
      keeper.handle(publish({}), now);
      const later = keeper.settle(now);
      const wrong = publish({call: 2, publication: 'p-2', base: 0});
      assert.equal(appends(keeper.handle(wrong, later)), 0);
      assert.equal(keeper.replies.get(2)?.code, 6001);
      const faulty = publish({
        call: 3,
        publication: 'p-3',
        base: 1,
        content: 'broken',
      });
      assert.equal(appends(keeper.handle(faulty, later)), 0);
      assert.equal(keeper.replies.get(3)?.code, 6002);
      assert.ok(keeper.counted.includes('refusal,versionConflict'));
      assert.ok(keeper.counted.includes('refusal,invalidDocument'));
    },
  );

  nodeTest.test(
    'of two from one base through two processes one wins and the other gets ' +
      '6001; guards against two operators who both believe they won',
    () => {
      const {log, keeper, now} = start();
      const other = new configurationCell.KeeperUnderTest(log);
      other.settle(0);
      keeper.handle(publish({publication: 'p-1'}), now);
      other.handle(publish({publication: 'p-2', content: 'a second'}), now);
      keeper.settle(now);
      other.settle(now);
      const codes = [keeper, other].map(item => item.replies.get(1)?.code);
      assert.deepEqual(codes.sort(), [0, 6001]);
    },
  );

  nodeTest.test(
    'a lost answer is resolved by reading; guards against reporting a ' +
      'failure after the append took effect',
    () => {
      const {log, keeper, now} = start();
      keeper.handle(publish({}), now);
      keeper.serve(0, now, true);
      keeper.arrive(0, now, false);
      keeper.settle(now);
      assert.equal(keeper.replies.get(1)?.code, 0);
      const winners = new Set(log.history.map(record => record.data));
      assert.equal(winners.size, 1);
    },
  );

  nodeTest.test(
    'without an answer of the log the operator hears 6004 after 10 s, and ' +
      'the same identity later gets the outcome; guards against guessing',
    () => {
      const {keeper, now} = start();
      keeper.handle(publish({}), now);
      keeper.handle({kind: 'timePassed'}, now + 9_999);
      assert.equal(keeper.replies.has(1), false);
      keeper.handle({kind: 'timePassed'}, now + 10_000);
      assert.equal(keeper.replies.get(1)?.code, 6004);
      const later = keeper.settle(now + 10_000);
      keeper.handle(publish({call: 2}), later);
      assert.equal(keeper.replies.get(2)?.code, 0);
    },
  );

  nodeTest.test(
    'large documents go in one append after another; guards against an ' +
      'append that the log refuses for its size',
    () => {
      const {log, keeper, now} = start();
      const sent: number[] = [];
      for (const name of ['a', 'b', 'c']) {
        const content = `${name} ${'x'.repeat(600_000)}`;
        const document = `team/${name}`;
        const change = {document, content, publication: `p-${name}`};
        sent.push(appends(keeper.handle(publish(change), now)));
      }
      keeper.settle(now);
      assert.deepEqual(sent, [1, 0, 0]);
      assert.equal(log.appendCount, 3);
      assert.equal(keeper.versions().size, 3);
    },
  );

  nodeTest.test(
    'an identity that was used for another change is refused; guards ' +
      'against telling an operator that an unseen change is in force',
    () => {
      const {keeper, now} = start();
      keeper.handle(publish({}), now);
      const later = keeper.settle(now);
      keeper.handle(publish({call: 2, content: 'a other'}), later);
      assert.equal(keeper.replies.get(2)?.code, 1010);
    },
  );

  nodeTest.test(
    'a repeat whose success only a peer has shown is not refused; guards ' +
      'against 6001 for a publication that won',
    () => {
      const {log, keeper, now} = start();
      const other = new configurationCell.KeeperUnderTest(log);
      const time = other.settle(0);
      keeper.handle(publish({}), now);
      keeper.settle(now);
      other.handle(arrived(1, 'a first'), time);
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
      const {log, keeper, now} = start();
      const other = new configurationCell.KeeperUnderTest(log);
      const time = other.settle(0);
      keeper.handle(publish({}), now);
      keeper.settle(now);
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
      const keeper = new configurationCell.KeeperUnderTest(log);
      keeper.handle({kind: 'timePassed'}, 0);
      const early = keeper.handle(confirmed(7), 1_900);
      assert.ok(!early.some(item => item.kind === 'fetchDocuments'));
      const wanted = keeper.handle(confirmed(7), 2_100);
      assert.ok(wanted.some(item => item.kind === 'fetchDocuments'));
      assert.equal(keeper.keeper.isLoaded(), false);
      keeper.handle(arrived(7, 'a seventh'), 2_200);
      assert.equal(keeper.keeper.isLoaded(), true);
      assert.equal(keeper.versions().get('team/a'), 7);
    },
  );

  nodeTest.test(
    'a process that knows no members asks the listed entry VMs in turn, its ' +
      'own zone first; guards against a start that waits for the log',
    () => {
      const log = new configurationCell.TrimmedLog();
      const keeper = new configurationCell.KeeperUnderTest(log);
      const asked: string[] = [];
      const pass = (now: number): void => {
        for (const item of keeper.handle({kind: 'timePassed'}, now)) {
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
      keeper.handle({kind: 'vmListRead', sentAt: 0, vms}, 10);
      for (const now of [1_000, 2_000, 3_000, 4_000]) pass(now);
      assert.deepEqual(asked, ['near:1', 'far:1', 'near:1']);
      keeper.handle(arrived(7, 'a seventh'), 4_100);
      pass(5_100);
      assert.equal(asked.length, 3);
    },
  );

  nodeTest.test(
    'a lower version is not taken, and the record of a higher one changes ' +
      'nothing when the log shows it; guards against a reverted change',
    () => {
      const {log, keeper, now} = start();
      keeper.handle(publish({}), now);
      let time = keeper.settle(now);
      const change = {publication: 'p-2', base: 1, content: 'a second'};
      log.append([JSON.stringify({...publish(change), kind: 'publish'})]);
      keeper.handle(arrived(2, 'a second'), time);
      keeper.handle(arrived(1, 'a first'), time);
      assert.equal(keeper.versions().get('team/a'), 2);
      time = keeper.settle(time);
      assert.equal(keeper.versions().get('team/a'), 2);
      const third = {publication: 'p-3', base: 2, content: 'a third'};
      keeper.handle(publish({call: 9, ...third}), time);
      keeper.settle(time);
      assert.equal(keeper.replies.get(9)?.code, 0);
    },
  );

  nodeTest.test(
    'nothing is fetched while the log shows changes in time; guards against ' +
      'paying for each change twice',
    () => {
      const {keeper, now} = start();
      const kinds = (at: number): ReadonlyArray<string> =>
        keeper.handle(confirmed(5), at).map(item => item.kind);
      assert.ok(!kinds(now).includes('fetchDocuments'));
      keeper.handle({kind: 'timePassed'}, now + 2_000);
      keeper.serve(0, now + 2_000, false);
      keeper.arrive(0, now + 2_000, false);
      assert.ok(kinds(now + 2_000).includes('fetchDocuments'));
    },
  );
});

nodeTest.describe('documents in force', () => {
  nodeTest.test(
    'their workloads are listed by team; guards against a call that nobody ' +
      'answers',
    () => {
      const {keeper, now} = start();
      keeper.handle(publish({}), now);
      const later = keeper.settle(now);
      keeper.handle({kind: 'workloadsArrived', call: 5}, later);
      const content = [{team: 'a', workloads: []}];
      assert.deepEqual(keeper.replies.get(5)?.content, content);
    },
  );
});

nodeTest.describe('retention', () => {
  nodeTest.test(
    'a snapshot with a document that cannot be read brings the others; ' +
      'guards against a release with stricter rules that starts with nothing',
    () => {
      const {log, keeper} = start();
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
      keeper.replace();
      keeper.settle(0);
      assert.deepEqual([...keeper.versions()], [['team/b', 2]]);
      const refused = keeper.counted.filter(item => item.includes('refused'));
      assert.equal(refused.length, 1);
    },
  );

  nodeTest.test(
    'a snapshot is appended before half of the retention time; guards ' +
      'against documents that expire with their records',
    () => {
      const {log, keeper, now} = start();
      keeper.handle(publish({}), now);
      let time = now;
      const half = now + configurationCell.RETENTION_MS / 2;
      while (log.history.length < 2 && time < half) time = keeper.settle(time);
      assert.ok(time < half);
      log.trim(1);
      keeper.replace();
      keeper.settle(time);
      assert.equal(keeper.versions().get('team/a'), 1);
    },
  );
});
