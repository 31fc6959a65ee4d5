import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as smallCell from '../support/small_cell.js';
import * as workingCell from '../support/working_cell.js';

const {describe, test} = nodeTest;

const {MEMBER_COUNT, expectAllDone, startSmallCell} = smallCell;

/** More than a cell has members, so that those that are gone outnumber it. */
const REPLACEMENT_COUNT = 2 * MEMBER_COUNT + 1;

/** Time between two replacements. */
const REPLACEMENT_INTERVAL_MS = 2_500;

/** Longer than the last lease of a leader that is surely gone. */
const LEASES_OVER_MS = 9_500;

const SETTLED_MS = 60_000;

describe('a cell from which more members have gone than it has', () => {
  // Guards against a successor that counts members which are gone for good, and
  // waits 20 s longer for the tasks of a worker that is lost with its leader.
  test('starts the tasks of a lost worker after a succession again', async () => {
    const cell = await startSmallCell();
    for (let index = 0; index < REPLACEMENT_COUNT; index += 1) {
      cell.addMember(MEMBER_COUNT + index);
      await cell.time.advance(REPLACEMENT_INTERVAL_MS);
      cell.members[index].kill();
    }
    await cell.time.advance(REPLACEMENT_INTERVAL_MS);
    await workingCell.submitJobs(cell, 600);
    const lost = cell.workerEntries[0].address;
    const startCount = cell.workers.events.filter(
      ({kind}) => kind === 'started',
    ).length;
    cell.leader().kill();
    cell.partition([lost]);
    await cell.time.advance(LEASES_OVER_MS);
    const restarted = cell.workers.events
      .filter(({kind}) => kind === 'started')
      .slice(startCount);
    assert.notEqual(restarted.length, 0, 'no task was started again');
    await cell.time.advance(SETTLED_MS);
    expectAllDone(cell);
  });
});
