import * as assert from 'node:assert/strict';
import * as runAudit from './run_audit.js';
import * as workingCell from './working_cell.js';
import type * as simulatedCell from './simulated_cell.js';

/** Number of members of a small cell. */
export const MEMBER_COUNT = 3;

/** Starts a cell with jobs whose runs outlast a short time only. */
export async function startSmallCell(): Promise<simulatedCell.SimulatedCell> {
  const cell = await workingCell.startCell(4, 20_000, MEMBER_COUNT);
  await workingCell.submitJobs(cell, 600);
  return cell;
}

/** Kills all members, so that no leader of an earlier term can act. */
export function killAll(cell: simulatedCell.SimulatedCell): void {
  for (const member of cell.members) member.kill();
}

/** Checks that every task has ended with success, once. */
export function expectAllDone(cell: simulatedCell.SimulatedCell): void {
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
