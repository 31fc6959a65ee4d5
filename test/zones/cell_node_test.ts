import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellNode from '../../src/zones/cell_node.js';
import * as jobAdmission from '../../src/jobs/job_admission.js';
import * as jobCell from '../support/job_cell.js';
import * as loopMeter from '../../src/machines/loop_meter.js';
import * as fakeJournalStore from '../support/fake_journal_store.js';
import * as fakeWorkers from '../support/fake_workers.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as job from '../../src/jobs/job.js';
import type * as configurationSources from '../../src/zones/configuration_source.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as loopLoads from '../../src/machines/loop_load.js';

const {describe, test} = nodeTest;

function memberOf(node: string): cellMember.CellMember {
  return {
    node,
    incarnation: `${node}-1`,
    address: `${node}:1`,
    zone: 'zone-a',
    processors: 1,
  };
}

/** Returns the ping reply of a leader that serves under its claim. */
function pingReplyOf(
  claim: cellMember.Claim,
  storeSilentMs: number,
): cellPeers.PeerCallOutcome<cellPeers.PingReply> {
  return {
    kind: 'answered',
    value: {
      newest: claim,
      incarnation: claim.incarnation,
      leading: true,
      resigning: false,
      storeSilentMs,
      configurationVersion: 0,
      configurationAgeMs: 0,
      overloaded: false,
      sentAt: 0,
    },
  };
}

/** Behaviour of the other members and the store; counts the node's claims. */
interface TestCell {
  readonly answerPing: (
    address: string,
    message: cellPeers.PingMessage,
  ) => cellPeers.PeerCallOutcome<cellPeers.PingReply>;
  /** Returns whether the store answers the node. */
  readonly storeAnswers: () => boolean;
  claimCount: number;
}

const IDLE_LOOP: loopLoads.LoopLoadSource = {
  delayMs: 0,
  times: {active: 0, idle: 0},
};

const NO_CONFIGURATION: configurationSources.ConfigurationSource = {
  follow: () => {},
  readNow: async () => false,
};

/** Creates a node whose claims always win. */
function createNode(
  cell: TestCell,
  clock: simulatedClock.SimulatedClock,
  name: string,
  loopLoad: loopLoads.LoopLoadSource = IDLE_LOOP,
  configurationSource: configurationSources.ConfigurationSource = NO_CONFIGURATION,
): cellNode.CellNode {
  const peers = {
    ping: async (address: string, message: cellPeers.PingMessage) =>
      cell.answerPing(address, message),
    fetchConfiguration: async () => ({kind: 'unanswered', detail: 'silent'}),
  } as unknown as cellPeers.CellPeers;
  return new cellNode.CellNode({
    self: memberOf(name),
    clock,
    wallClock: () => clock.now(),
    retentionTimes: {stateKeptMs: 120_000},
    cellLog: {
      join: async () => true,
      probe: async () => cell.storeAnswers(),
      claim: async () => {
        cell.claimCount += 1;
        return {kind: 'won', term: 7};
      },
      reportProgress: async () => ({kind: 'unavailable'}),
    },
    journalStore: new fakeJournalStore.FakeJournalStore(clock),
    registry: {follow: () => ({close: () => {}})},
    configurationSource,
    configurationMs: 2_500,
    workerClient: new fakeWorkers.FakeWorkers(clock),
    localAdviceClient: {ask: async () => ({kind: 'busy'})},
    peers,
    timer: clock,
    loopLoad,
    linkLoad: {sendDelayMs: 0},
    loopMeter: new loopMeter.LoopMeter(clock),
    log: {event: () => {}},
    counters: {count: () => {}, observe: () => {}},
    defer: pass => clock.runAt(clock.now(), pass),
  });
}

/** Lets a node read a log in which the members precede the leader's claim. */
function readLog(
  node: cellNode.CellNode,
  members: ReadonlyArray<cellMember.CellMember>,
  claim: cellMember.Claim,
): void {
  const offset = claim.term - 1;
  const content = {
    members,
    claim,
    progress: undefined,
    memberOffsets: new Map(members.map(({address}, index) => [address, index])),
    leaderRecord: {offset, grantorEnd: offset, exempt: []},
  };
  node.applyLogContent(content, claim.term);
}

/** Ticks a node that reads nothing new from the log while the store answers. */
function followLog(
  node: cellNode.CellNode,
  cell: TestCell,
  clock: simulatedClock.SimulatedClock,
): void {
  clock.runEvery(100, () => {
    node.tick();
    if (cell.storeAnswers()) node.applyCellLog([], undefined, 3);
  });
}

describe('cell node that met an unexpected error', () => {
  // Guards against a leader that goes on with a scheduler whose state an error
  // has left half changed, and against a cell without a scheduler after that.
  test('discards its scheduler and begins a new term', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const cell: TestCell = {
      answerPing: () => ({kind: 'unanswered', detail: 'silent'}),
      storeAnswers: () => true,
      claimCount: 0,
    };
    const node = createNode(cell, clock, 'one');
    node.applyCellLog([memberOf('one')], undefined, 6);
    await clock.advance(10);
    node.tick();
    await clock.advance(1_000);
    node.tick();
    await clock.advance(50);
    assert.equal(node.servesJobs, true);
    const claimCount = cell.claimCount;
    node.abandonTerm();
    assert.equal(node.runsScheduler, false);
    node.tick();
    await clock.advance(50);
    assert.equal(cell.claimCount, claimCount + 1);
  });
});

describe('cell node that won a claim', () => {
  // Guards against members that forward calls to the old leader for seconds,
  // because their reads of the log hang in a store that has just recovered.
  test('announces its term to all other members at once', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const announcedTerms = new Map<string, number | undefined>();
    const cell: TestCell = {
      answerPing: (address, message) => {
        announcedTerms.set(address, message.newest?.term);
        return {kind: 'unanswered', detail: 'silent'};
      },
      storeAnswers: () => true,
      claimCount: 0,
    };
    const node = createNode(cell, clock, 'one');
    const members = ['one', 'two', 'three', 'four'].map(memberOf);
    node.applyCellLog(members, undefined, 6);
    await clock.advance(10);
    node.tick();
    await clock.advance(1_000);
    node.tick();
    await clock.advance(50);
    assert.deepEqual([...announcedTerms.values()], [7, 7, 7]);
    assert.deepEqual([...announcedTerms.keys()].sort(), [
      'four:1',
      'three:1',
      'two:1',
    ]);
  });
});

describe('cell node that follows a leader', () => {
  // Load: all members call a new leader at once, while it takes over. Guards
  // against connections that are opened only then, and wait for many turns of
  // its loop.
  test('keeps connections to the next leaders open', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const claim = {
      term: 7,
      node: 'two',
      incarnation: 'two-1',
      address: 'two:1',
    };
    const pingedAt = new Map<string, number[]>();
    const cell: TestCell = {
      answerPing: address => {
        const times = pingedAt.get(address) ?? [];
        pingedAt.set(address, [...times, clock.now()]);
        return pingReplyOf(claim, 0);
      },
      storeAnswers: () => true,
      claimCount: 0,
    };
    const node = createNode(cell, clock, 'one');
    const names = ['one', 'two', 'three', 'four', 'five', 'six'];
    node.applyCellLog(names.map(memberOf), claim, 6);
    followLog(node, cell, clock);
    await clock.advance(60_000);
    const addresses = [...pingedAt.keys()].sort();
    assert.deepEqual(addresses, ['five:1', 'four:1', 'six:1', 'two:1']);
    for (const times of pingedAt.values()) {
      const gapsMs = times.map((time, index) => time - (times[index - 1] ?? 0));
      assert.ok(Math.max(...gapsMs) < 20_000, `${Math.max(...gapsMs)} ms`);
    }
    assert.equal(cell.claimCount, 0);
  });
});

describe('cell node after a silence of the store', () => {
  // Guards against an unnecessary failover just after an outage of the store by
  // a member that pings rarely: its last reply is from before the recovery.
  test('pings the leader once more before it claims', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const [leader] = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    const {node, incarnation, address} = leader;
    const claim = {term: 3, node, incarnation, address};
    const recoveryAt = 3_350;
    const cell: TestCell = {
      answerPing: () =>
        pingReplyOf(claim, clock.now() < recoveryAt ? clock.now() : 0),
      storeAnswers: () => clock.now() >= recoveryAt,
      claimCount: 0,
    };
    const lastMember = createNode(cell, clock, 'zed');
    const members = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    readLog(lastMember, members, claim);
    followLog(lastMember, cell, clock);
    await clock.advance(6_000);
    assert.equal(cell.claimCount, 0);
  });

  // Guards against an unnecessary failover to a weak member: a busy leader gave
  // late replies during an outage, and the first reply after it, which told that
  // the leader waits for the store, was reason enough to replace it at once.
  test('waits for a leader that replies late and has no store yet', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const [leader] = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    const {node, incarnation, address} = leader;
    const claim = {term: 3, node, incarnation, address};
    const recoveryAt = 3_350;
    const leaderRecoveryAt = recoveryAt + 300;
    const cell: TestCell = {
      answerPing: () => {
        const now = clock.now();
        if (now > 800 && now < recoveryAt) {
          return {kind: 'unanswered', detail: 'late'};
        }
        return pingReplyOf(claim, now < leaderRecoveryAt ? now : 0);
      },
      storeAnswers: () => clock.now() >= recoveryAt,
      claimCount: 0,
    };
    const lastMember = createNode(cell, clock, 'zed');
    const members = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    readLog(lastMember, members, claim);
    followLog(lastMember, cell, clock);
    await clock.advance(6_000);
    assert.equal(cell.claimCount, 0);
  });

  // Guards against an unnecessary failover just after an outage of the store
  // that the leader noticed before this member did.
  test('waits for the leader although the store answered it earlier', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const members = ['a', 'b', 'c'].map(memberOf);
    const {node, incarnation, address} = members[0];
    const claim = {term: 3, node, incarnation, address};
    const outageAt = 800;
    const recoveryAt = 3_150;
    const leaderRecoveryAt = recoveryAt + 300;
    const storeAnswers = (): boolean =>
      clock.now() < outageAt || clock.now() >= recoveryAt;
    const cell: TestCell = {
      answerPing: () =>
        pingReplyOf(claim, clock.now() < leaderRecoveryAt ? clock.now() : 0),
      storeAnswers,
      claimCount: 0,
    };
    const successor = createNode(cell, clock, 'b');
    readLog(successor, members, claim);
    followLog(successor, cell, clock);
    await clock.advance(6_000);
    assert.equal(cell.claimCount, 0);
  });
});

describe('cell node whose leader cannot write its journal', () => {
  for (const intervalMs of [250, 280, 330, 400]) {
    // Guards against a leader that stays although the store takes its progress
    // records only, because each of them revokes the suspicion.
    test(`claims while a record arrives each ${intervalMs} ms`, async () => {
      const clock = new simulatedClock.SimulatedClock();
      const members = ['a', 'b', 'c'].map(memberOf);
      const {node, incarnation, address} = members[0];
      const claim = {term: 3, node, incarnation, address};
      const cell: TestCell = {
        answerPing: () => pingReplyOf(claim, clock.now()),
        storeAnswers: () => true,
        claimCount: 0,
      };
      const progress: cellMember.LeaderProgress = {
        term: claim.term,
        leading: true,
        resigning: false,
        takeoverStep: 4,
        hearsMajority: true,
      };
      const successor = createNode(cell, clock, 'b');
      readLog(successor, members, claim);
      let end = 3;
      clock.runEvery(100, () => successor.tick());
      clock.runEvery(intervalMs, () => {
        end += 1;
        successor.applyCellLog([], undefined, end, progress);
      });
      await clock.advance(1_500);
      assert.equal(cell.claimCount, 1);
    });
  }
});

describe('cell node that pings the leader rarely', () => {
  // Guards against an unnecessary failover after a single lost ping.
  test('pings the leader once more before it claims', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const members = ['a', 'b', 'c', 'd', 'zed'].map(memberOf);
    const {node, incarnation, address} = members[0];
    const claim = {term: 3, node, incarnation, address};
    const cell: TestCell = {
      answerPing: () =>
        clock.now() > 800 && clock.now() < 1_550
          ? {kind: 'unanswered', detail: 'lost'}
          : pingReplyOf(claim, 0),
      storeAnswers: () => true,
      claimCount: 0,
    };
    const lastMember = createNode(cell, clock, 'zed');
    readLog(lastMember, members, claim);
    clock.runEvery(100, () => lastMember.tick());
    await clock.advance(4_000);
    assert.equal(cell.claimCount, 0);
  });
});

describe('cell node that leads and is behind its fronts', () => {
  // Guards against a leader that accepts and places a job by its old version
  // although the submission has told it of a newer one.
  test('a leader decided by an older version than its front: gets the newer one first', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const cell: TestCell = {
      answerPing: () => ({kind: 'unanswered', detail: 'silent'}),
      storeAnswers: () => true,
      claimCount: 0,
    };
    const source = new scriptedConfigurationSource.ScriptedConfigurationSource(
      clock,
    );
    const node = createNode(cell, clock, 'one', IDLE_LOOP, source);
    node.applyCellLog(['one', 'two'].map(memberOf), undefined, 6);
    node.followConfiguration();
    const {configurationOf} = scriptedConfigurationSource;
    source.stored = configurationOf(1, [jobCell.QUEUE]);
    source.deliver();
    clock.runEvery(100, () => {
      node.tick();
      node.applyCellLog([], undefined, 7, undefined, clock.now());
    });
    await clock.advance(2_000);
    assert.equal(node.servesJobs, true);
    source.stored = configurationOf(2, [{...jobCell.QUEUE, service: 'annex'}]);
    const outcome = node.submit(jobCell.jobOf('a1', {}), 2);
    assert.equal(node.configurationVersion, 1);
    await clock.advance(50);
    assert.deepEqual(await outcome, {kind: 'accepted'});
    assert.equal(node.configurationVersion, 2);
    // A newer version that nobody can deliver.
    source.answers = false;
    const refused = node.submit(jobCell.jobOf('a2', {}), 3);
    await clock.advance(700);
    assert.equal((await refused)?.kind, 'refused');
    const repeated = node.submit(jobCell.jobOf('a1', {}), 3);
    await clock.advance(700);
    assert.deepEqual(await repeated, {kind: 'accepted'});
  });
});

describe('cell node that leads and is overloaded', () => {
  // Guards against a cut-off leader that tells a caller that its job never
  // runs, although its successor has accepted it.
  test('refuses no job without proof that it leads', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const cell: TestCell = {
      answerPing: () => ({kind: 'unanswered', detail: 'silent'}),
      storeAnswers: () => true,
      claimCount: 0,
    };
    const loop = {delayMs: 0, times: {active: 0, idle: 0}};
    const source = new scriptedConfigurationSource.ScriptedConfigurationSource(
      clock,
    );
    const node = createNode(cell, clock, 'one', loop, source);
    const members = ['one', 'two', 'three'].map(memberOf);
    node.applyCellLog(members, undefined, 6);
    node.followConfiguration();
    source.stored = scriptedConfigurationSource.configurationOf(1, [
      jobCell.QUEUE,
    ]);
    source.deliver();
    let isConnected = true;
    clock.runEvery(100, () => {
      node.tick();
      if (!isConnected) return;
      node.applyCellLog([], undefined, 7, undefined, clock.now());
    });
    await clock.advance(2_000);
    loop.delayMs = 3_000;
    for (let index = 0; index < 30; index += 1) {
      void node.submit(jobCell.jobOf(`load-${index}`, {}), 1);
      await clock.advance(100);
    }
    const jobsOf = (prefix: string): ReadonlyArray<job.JobDefinition> =>
      Array.from({length: 40}, (_unused, index) =>
        jobCell.jobOf(`${prefix}-${index}`, {}),
      );
    const screened = jobsOf('proved').map(jobAdmission.toScreenedJob);
    const outcomes = node.screen(screened) ?? [];
    assert.ok(outcomes.some(({refusal}) => refusal !== undefined));
    isConnected = false;
    await clock.advance(2_100);
    assert.equal(node.runsScheduler, true);
    assert.equal(node.screen(screened), undefined);
    const answers = jobsOf('unproved').map(unproved =>
      node.submit(unproved, 1),
    );
    assert.ok(answers.includes(undefined));
  });
});
