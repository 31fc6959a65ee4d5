import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as partitionedCell from '../support/partitioned_cell.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

const {LONG_OUTAGE_MS, expectNoRepeatedRun, startWithLongRuns} =
  partitionedCell;

/** Outlasts every partition. */
const RUN_TIME_MS = 3 * LONG_OUTAGE_MS;

/** Time in which a newcomer claims, takes over and writes its progress. */
const SUCCESSION_MS = 6_000;

/** Starts a cell of which all members, and one worker, are cut off. */
async function startCutOff(): Promise<simulatedCell.SimulatedCell> {
  const cell = await startWithLongRuns(RUN_TIME_MS);
  const addresses = cell.members.map(({self}) => self.address);
  cell.partition([...addresses, cell.workerEntries[0].address]);
  return cell;
}

describe('two successions of newcomers while a leader hears all its members', () => {
  // Guards against a successor that is known to the leader before it, a newcomer,
  // and takes the leases of the leader before that one for expired.
  test('start no task that the first leader still runs', async () => {
    const cell = await startCutOff();
    const first = cell.leader();
    cell.addMember(cell.members.length);
    await cell.time.advance(SUCCESSION_MS);
    const second = cell.leader();
    assert.notEqual(second, first, 'no first successor');
    cell.addMember(cell.members.length);
    await cell.time.advance(SUCCESSION_MS);
    second.kill();
    await cell.time.advance(LONG_OUTAGE_MS);
    assert.equal(cell.leader(), cell.members.at(-1), 'no second successor');
    await expectNoRepeatedRun(cell);
  });

  // Guards against the same for a newcomer that restarts: it succeeds itself.
  test('start no such task after a restart of the newcomer', async () => {
    const cell = await startCutOff();
    const index = cell.members.length;
    const newcomer = cell.addMember(index);
    await cell.time.advance(SUCCESSION_MS);
    assert.equal(cell.leader(), newcomer, 'no successor');
    newcomer.kill();
    cell.addMember(index);
    await cell.time.advance(LONG_OUTAGE_MS);
    await expectNoRepeatedRun(cell);
  });
});

describe('members that join while a leader hears a majority without the store', () => {
  // Guards against a successor that counts the newcomers as informed members:
  // the leader, which knows none of them, still finds its majority.
  test('shorten no wait for what that leader may run', async () => {
    const cell = await startWithLongRuns(RUN_TIME_MS);
    const leader = cell.leader();
    const withStore = cell.followers().slice(0, 3);
    const cutOff = cell.members
      .filter(member => !withStore.includes(member))
      .map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    for (let count = 0; count < 3; count += 1) {
      cell.addMember(cell.members.length);
    }
    await cell.time.advance(17_000);
    assert.ok(withStore.includes(cell.leader()), 'not replaced');
    assert.ok(leader.node.runsScheduler, 'the leader has stopped');
    await expectNoRepeatedRun(cell);
  });
});

describe('a leader of a cell that has just started', () => {
  // Guards against members that register in the cut and follow one another as
  // leaders, while the first leader hears all of the few that it has read.
  test('shares no run with the members that register in the cut', async () => {
    const cell = await workingCell.startCell(4, RUN_TIME_MS, 3);
    await workingCell.submitJobs(cell, 600);
    const first = cell.leader();
    const cutOff = cell.members.map(({self}) => self.address);
    cell.partition([...cutOff, cell.workerEntries[0].address]);
    for (let index = 3; index < 9; index += 1) cell.addMember(index);
    await cell.time.advance(SUCCESSION_MS);
    const second = cell.leader();
    assert.notEqual(second, first, 'no first successor');
    second.kill();
    await cell.time.advance(LONG_OUTAGE_MS);
    assert.notEqual(cell.leader(), second, 'no second successor');
    assert.ok(first.node.runsScheduler, 'the first leader has stopped');
    await expectNoRepeatedRun(cell);
  });
});

describe('a newcomer that leads while a leader hears all its members', () => {
  // Guards against runs that the old leader gives up, and starts again, because
  // no member that it knows has heard of the newcomer, which reaches their
  // workers and extends their leases. In a small cell it claims before these end.
  test('shares no run that it has adopted with the old leader', async () => {
    const cell = await startWithLongRuns(RUN_TIME_MS, 3);
    const first = cell.leader();
    const addresses = cell.members.map(({self}) => self.address);
    // The worker on the old leader's side has room for other workers' runs.
    const idle = cell.workerEntries.find(({address}) =>
      cell.workers.events.every(({worker}) => !address.startsWith(worker)),
    );
    assert.ok(idle !== undefined, 'no worker is idle');
    cell.partition([...addresses, idle.address]);
    cell.addMember(cell.members.length);
    await cell.time.advance(LONG_OUTAGE_MS);
    assert.equal(cell.leader(), cell.members.at(-1), 'no successor');
    assert.ok(first.node.runsScheduler, 'the first leader has stopped');
    await expectNoRepeatedRun(cell);
  });
});
