import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as partitionedCell from '../support/partitioned_cell.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

const {PARTITION_MS, LONG_OUTAGE_MS, expectNoRepeatedRun} = partitionedCell;

const RUN_TIME_MS = 2_000;

/** Outlasts every partition. */
const LONG_RUN_TIME_MS = 2 * LONG_OUTAGE_MS;

/** Returns a leader and the members of its availability zone. */
function zoneOfLeader(
  cell: simulatedCell.SimulatedCell,
): ReadonlyArray<simulatedMember.SimulatedMember> {
  const {zone} = cell.leader().self;
  return cell.members.filter(({self}) => self.zone === zone);
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
    const cell = await partitionedCell.startWithLongRuns(LONG_RUN_TIME_MS);
    const cutOff = zoneOfLeader(cell).map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    await cell.time.advance(PARTITION_MS);
    await expectNoRepeatedRun(cell);
  });
});

describe('a member that joins while the leader and all others are cut off', () => {
  // Guards against a successor of which no member that the leader hears knows.
  test('starts no task that the leader still runs', async () => {
    const cell = await partitionedCell.startWithLongRuns(LONG_RUN_TIME_MS);
    const addresses = cell.members.map(({self}) => self.address);
    cell.partition([...addresses, cell.workerEntries[0].address]);
    cell.addMember(cell.members.length);
    await cell.time.advance(LONG_OUTAGE_MS);
    assert.equal(cell.leader(), cell.members.at(-1), 'no successor');
    await expectNoRepeatedRun(cell);
  });
});

describe('a member that restarts on the side of a leader without the store', () => {
  // Guards against a grantor that has forgotten the later term which its last
  // incarnation was told.
  test('gives that leader no proof', async () => {
    const cell = await partitionedCell.startWithLongRuns(LONG_RUN_TIME_MS);
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
