import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as runAudit from '../support/run_audit.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

const RUN_TIME_MS = 2_000;

/** Shorter than a lease, longer than a proof of leadership holds. */
const SUSPENSION_MS = 4_300;

/** Longer than the wait of a successor for workers that it can't reach. */
const PARTITION_MS = 12_000;

/** Longer than a leader may act on the word of a majority alone. */
const LONG_OUTAGE_MS = 32_000;

/** Returns a leader and the members of its availability zone. */
function zoneOfLeader(
  cell: simulatedCell.SimulatedCell,
): ReadonlyArray<simulatedMember.SimulatedMember> {
  const {zone} = cell.leader().self;
  return cell.members.filter(({self}) => self.zone === zone);
}

/** Starts a cell whose runs, all started just now, outlast every partition. */
async function startWithLongRuns(): Promise<simulatedCell.SimulatedCell> {
  const cell = await workingCell.startCell(4, 2 * LONG_OUTAGE_MS);
  await workingCell.submitJobs(cell, 600);
  return cell;
}

/** Ends the partition and checks that no task has run twice. */
async function expectNoRepeatedRun(
  cell: simulatedCell.SimulatedCell,
): Promise<void> {
  cell.heal();
  await cell.time.advance(10_000);
  assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
}

describe('a leader that is cut off with its availability zone', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against the incident of issue 35: the members that are cut off with
    // the leader know no later term, and their pings extended its permission for
    // as long as the cut lasted.
    test(`starts no task that its successor starts too (seed ${seed})`, async () => {
      const cell = await workingCell.startCell(seed, RUN_TIME_MS);
      await workingCell.submitJobs(cell, 3_000);
      const cutOff = zoneOfLeader(cell).map(({self}) => self.address);
      const claimCount = cell.wonClaims.length;
      cell.partition([...cutOff, cell.workerEntries[0].address]);
      await workingCell.submitJobs(cell, PARTITION_MS);
      assert.equal(cell.wonClaims.length, claimCount + 1, 'not replaced once');
      await expectNoRepeatedRun(cell);
    });
  }

  // Guards against a record of an incident from which nobody can tell whether the
  // leader was allowed to start tasks while it was cut off.
  test('logs for how long it was not allowed to start tasks', async () => {
    const cell = await workingCell.startCell(1, RUN_TIME_MS);
    await workingCell.submitJobs(cell, 3_000);
    const cutOff = zoneOfLeader(cell).map(({self}) => self.address);
    const oldTerm = cell.leader().node.leader?.term;
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    await workingCell.submitJobs(cell, PARTITION_MS);
    cell.heal();
    await cell.time.advance(10_000);
    const ended = cell.endedTerms.find(({term}) => term === oldTerm);
    const {withoutPermissionMs = 0} = ended ?? {};
    // The permission ends 2 s after the last proof before the partition.
    assert.ok(withoutPermissionMs > PARTITION_MS - 2_500);
    assert.ok(withoutPermissionMs < PARTITION_MS);
  });

  // Guards against leases that outlast the successor's wait for a worker that it
  // can't reach.
  test('extends no lease beyond the wait of its successor', async () => {
    const cell = await startWithLongRuns();
    const cutOff = zoneOfLeader(cell).map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    await cell.time.advance(PARTITION_MS);
    await expectNoRepeatedRun(cell);
  });
});

describe('a member that joins while the leader and all others are cut off', () => {
  // Guards against a successor of which no member that the leader hears knows.
  test('starts no task that the leader still runs', async () => {
    const cell = await startWithLongRuns();
    const addresses = cell.members.map(({self}) => self.address);
    cell.partition([...addresses, cell.workerEntries[0].address]);
    cell.addMember(cell.members.length);
    await cell.time.advance(LONG_OUTAGE_MS);
    assert.equal(cell.leader(), cell.members.at(-1), 'no successor');
    await expectNoRepeatedRun(cell);
  });
});

describe('a member that restarts on the side of a leader without the store', () => {
  // Guards against a witness that has forgotten the later term which its last
  // incarnation was told.
  test('gives that leader no proof', async () => {
    const cell = await startWithLongRuns();
    const leader = cell.leader();
    const [successorSide, other] = [0, 1].map(half =>
      cell.followers().filter((_member, index) => index % 2 === half),
    );
    const [worker] = cell.workerEntries;
    cell.partition([leader.self.address, worker.address]);
    await cell.time.advance(3_000);
    assert.notEqual(cell.leader(), leader, 'not replaced');
    // All but the successor's half restart on the other side.
    const moved = other.filter(member => member !== cell.leader());
    cell.partition([
      leader.self.address,
      worker.address,
      ...moved.map(({self}) => self.address),
    ]);
    for (const member of moved) {
      member.kill();
      cell.addMember(cell.members.indexOf(member));
    }
    assert.ok(successorSide.length > 0);
    await cell.time.advance(PARTITION_MS);
    await expectNoRepeatedRun(cell);
  });
});

/** Cuts the leader, most members and half of the workers off from the store. */
function cutOffWithMostMembers(cell: simulatedCell.SimulatedCell): void {
  const {zone} = cell.leader().self;
  const withStore = cell.members.filter(({self}) => self.zone !== zone);
  const cutOff = cell.members
    .filter(member => !withStore.slice(0, 3).includes(member))
    .map(({self}) => self.address);
  const [first, second] = cell.workerEntries;
  cell.partition([...cutOff, first.address, second.address]);
}

describe('a leader that is cut off from the store with most members', () => {
  // Guards against a successor that takes the runs of a leader on the larger
  // side of a partition for ended: that leader acts on a majority's word, but
  // not for longer than the successor waits.
  for (const durationMs of [PARTITION_MS, LONG_OUTAGE_MS]) {
    test(`shares no run with its successor in ${durationMs} ms`, async () => {
      const cell = await startWithLongRuns();
      cutOffWithMostMembers(cell);
      await cell.time.advance(durationMs);
      await expectNoRepeatedRun(cell);
    });
  }

  // Guards against runs that this leader gives up, and starts again, although its
  // successor reaches their workers and has extended their leases.
  test('starts no task that its successor has adopted', async () => {
    const cell = await workingCell.startCell(4, RUN_TIME_MS);
    await workingCell.submitJobs(cell, 3_000);
    cutOffWithMostMembers(cell);
    await workingCell.submitJobs(cell, PARTITION_MS);
    await expectNoRepeatedRun(cell);
  });
});

describe('a leader whose VM is suspended while it is cut off', () => {
  // Guards against a permission that outlives the suspension, in which the
  // steady clock stands still.
  test('extends no lease beyond the wait of its successor', async () => {
    const cell = await startWithLongRuns();
    const leader = cell.leader();
    cell.partition([leader.self.address, cell.workerEntries[0].address]);
    leader.suspend(SUSPENSION_MS);
    await cell.time.advance(PARTITION_MS);
    assert.notEqual(cell.leader(), leader, 'not replaced');
    await expectNoRepeatedRun(cell);
  });

  // Guards against a decision by a configuration whose proof seems new only
  // because the clock stood still.
  test('has no proof by the time that it slept through', async () => {
    const cell = await workingCell.startCell(7, RUN_TIME_MS);
    const leader = cell.leader();
    leader.suspend(8_000);
    await cell.time.advance(7_999);
    cell.partition([leader.self.address]);
    await cell.time.advance(150);
    assert.equal(leader.node.countPending(workingCell.QUEUE_NAME), undefined);
    const basis = leader.node.configurationBasis();
    await cell.time.advance(1_000);
    assert.equal((await basis).standing, 'cutOff');
  });
});

describe('a leader whose members all lose the store', () => {
  // Guards against work that lapses in a long outage of the store, in which no
  // other member can claim.
  test('goes on with the running work', async () => {
    const cell = await workingCell.startCell(5, LONG_OUTAGE_MS);
    await workingCell.submitJobs(cell, 600);
    cell.partition([], {main: false, cutOff: false});
    await cell.time.advance(LONG_OUTAGE_MS);
    const ends = cell.workers.events.filter(({kind}) => kind === 'ended');
    assert.ok(ends.length > 0, 'nothing has ended');
    assert.deepEqual(
      ends.filter(({outcome}) => outcome !== 'done'),
      [],
    );
  });
});
