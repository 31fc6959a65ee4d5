import * as nodeTest from 'node:test';
import * as smallCell from '../support/small_cell.js';
import * as workingCell from '../support/working_cell.js';

const {describe, test} = nodeTest;

const {MEMBER_COUNT, expectAllDone, killAll, startSmallCell} = smallCell;

/** Longer than any lease or permission of an earlier leader lasts. */
const SETTLED_MS = 180_000;

describe('a cell whose members are all replaced while a worker is out of reach', () => {
  // Guards against a successor that waits for hours for members which are
  // gone for good, so that the lost worker's tasks are never started again.
  test('finishes its tasks if the new members have other addresses', async () => {
    const cell = await startSmallCell();
    killAll(cell);
    cell.partition([cell.workerEntries[0].address]);
    for (let index = MEMBER_COUNT; index < 2 * MEMBER_COUNT; index += 1) {
      cell.addMember(index);
    }
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
  });

  // Guards against a cell that works after such a replacement, but starts no
  // lost task again after any later succession.
  test('finishes the tasks of a worker that is lost with a later leader', async () => {
    const cell = await startSmallCell();
    killAll(cell);
    for (let index = MEMBER_COUNT; index < 2 * MEMBER_COUNT + 1; index += 1) {
      cell.addMember(index);
    }
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
    await workingCell.submitJobs(cell, 600);
    cell.leader().kill();
    cell.partition([cell.workerEntries[0].address]);
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
  });
});
