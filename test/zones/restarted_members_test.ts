import * as nodeTest from 'node:test';
import * as smallCell from '../support/small_cell.js';

const {describe, test} = nodeTest;

const {MEMBER_COUNT, expectAllDone, killAll, startSmallCell} = smallCell;

/** Longer than any lease or permission of an earlier leader lasts. */
const SETTLED_MS = 180_000;

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
