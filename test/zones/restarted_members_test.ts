import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as runAudit from '../support/run_audit.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

const MEMBER_COUNT = 3;

/** Longer than any lease or permission of an earlier leader lasts. */
const SETTLED_MS = 180_000;

/** Starts a cell with jobs whose runs outlast a short time only. */
async function startSmallCell(): Promise<simulatedCell.SimulatedCell> {
  const cell = await workingCell.startCell(4, 20_000, MEMBER_COUNT);
  await workingCell.submitJobs(cell, 600);
  return cell;
}

/** Kills all members, so that no leader of an earlier term can act. */
function killAll(cell: simulatedCell.SimulatedCell): void {
  for (const member of cell.members) member.kill();
}

/** Checks that every task has ended with success, once. */
function expectAllDone(cell: simulatedCell.SimulatedCell): void {
  const started = new Set(cell.workers.events.map(({task}) => task));
  const done = new Set(
    cell.workers.events
      .filter(({kind, outcome}) => kind === 'ended' && outcome === 'done')
      .map(({task}) => task),
  );
  assert.deepEqual(
    [...started].filter(task => !done.has(task)),
    [],
  );
  assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
}

describe('a cell whose members all restart while a worker is out of reach', () => {
  // Guards against a successor that waits for hours because a reader of the log
  // finds only registrations that follow the last leader's record.
  test('finishes its tasks if the members restart twice', async () => {
    const cell = await startSmallCell();
    killAll(cell);
    cell.partition([cell.workerEntries[0].address]);
    for (let index = 0; index < MEMBER_COUNT; index += 1) cell.addMember(index);
    await cell.time.advance(150);
    killAll(cell);
    await cell.time.advance(1_000);
    for (let index = 0; index < MEMBER_COUNT; index += 1) cell.addMember(index);
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
  });

  // Control: registrations that precede the last leader's record remain known.
  test('finishes its tasks if the members restart once', async () => {
    const cell = await startSmallCell();
    killAll(cell);
    cell.partition([cell.workerEntries[0].address]);
    for (let index = 0; index < MEMBER_COUNT; index += 1) cell.addMember(index);
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
  });
});
