import * as assert from 'node:assert/strict';
import * as runAudit from './run_audit.js';
import * as workingCell from './working_cell.js';
import type * as simulatedCell from './simulated_cell.js';

/** Longer than the wait of a successor for workers that it can't reach. */
export const PARTITION_MS = 12_000;

/** Longer than a leader may act on the word of a majority alone. */
export const LONG_OUTAGE_MS = 32_000;

/** Starts a cell whose runs were all started just now. */
export async function startWithLongRuns(
  runTimeMs: number,
  memberCount?: number,
): Promise<simulatedCell.SimulatedCell> {
  const cell = await workingCell.startCell(4, runTimeMs, memberCount);
  await workingCell.submitJobs(cell, 600);
  return cell;
}

/** Ends the partition and checks that no task has run twice. */
export async function expectNoRepeatedRun(
  cell: simulatedCell.SimulatedCell,
): Promise<void> {
  cell.heal();
  await cell.time.advance(10_000);
  assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
}
