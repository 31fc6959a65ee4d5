import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as runAudit from '../support/run_audit.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

const MEMBER_COUNT = 30;

/** Longer than a leader may act on the word of a majority alone. */
const OUTAGE_MS = 39_000;

/** Time in which a leader notices that a member is gone for good. */
const GONE_MS = 10_000;

/** Loop of a follower that is busy: long turns with short gaps between them. */
const TURN_MS = 1_300;
const TURN_INTERVAL_MS = 1_500;

/** Starts a cell whose runs, all started just now, last for `runTimeMs`. */
async function startLargeCell(): Promise<simulatedCell.SimulatedCell> {
  const cell = await workingCell.startCell(5, 60_000, MEMBER_COUNT);
  await workingCell.submitJobs(cell, 600);
  return cell;
}

/** Takes the store away from all members, and returns the ends of runs. */
async function endsInOutage(
  cell: simulatedCell.SimulatedCell,
): Promise<ReadonlyArray<string>> {
  cell.partition([], {main: false, cutOff: false});
  await cell.time.advance(OUTAGE_MS);
  return cell.workers.events
    .filter(({kind}) => kind === 'ended')
    .map(({task, outcome}) => `${task} ${outcome}`);
}

describe('a large cell in a long outage of the store', () => {
  // Guards against runs that lapse because one member, which is gone for good,
  // can't tell the leader that it knows no later term.
  test('keeps its runs if a member has left before', async () => {
    const cell = await startLargeCell();
    cell.followers()[7].kill();
    await cell.time.advance(GONE_MS);
    assert.deepEqual(await endsInOutage(cell), []);
  });

  // Guards against the same for a member whose answers are late.
  test('keeps its runs if a member is busy', async () => {
    const cell = await startLargeCell();
    const busy = cell.followers()[7];
    cell.time.runEvery(TURN_INTERVAL_MS, () => busy.block(TURN_MS));
    await cell.time.advance(GONE_MS);
    assert.deepEqual(await endsInOutage(cell), []);
  });
});

describe('a member without which the leader acts', () => {
  // Guards against a successor that relies on its own knowledge of its term,
  // although the leader goes on without the word of this member.
  test('starts nothing that the leader still runs', async () => {
    const cell = await workingCell.startCell(5, 60_000);
    await workingCell.submitJobs(cell, 600);
    const leader = cell.leader();
    const [member] = cell.followers();
    cell.partition([member.self.address], {main: true, cutOff: true});
    await cell.time.advance(GONE_MS);
    assert.equal(cell.leader(), leader, 'replaced too early');
    const cutOff = cell.members
      .filter(other => other !== member)
      .map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    await cell.time.advance(OUTAGE_MS);
    assert.equal(cell.leader(), member, 'no successor');
    assert.ok(leader.node.runsScheduler, 'the leader has stopped');
    cell.heal();
    await cell.time.advance(10_000);
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });
});
