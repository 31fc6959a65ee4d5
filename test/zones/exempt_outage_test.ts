import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as workingCell from '../support/working_cell.js';

const {describe, test} = nodeTest;

/** Longer than a leader may act on the word of a majority alone. */
const OUTAGE_MS = 39_000;

/** Time in which a leader notices that a member is gone for good. */
const GONE_MS = 10_000;

/** Longer than a member's word may be late before it counts as gone. */
const CUT_MS = 4_000;

describe('a leader that acts without a member in a long outage of the store', () => {
  // Guards against a leader that needs the word of a member which is gone, and
  // which the log names as exempt, because many others were silent for a while.
  test('keeps its runs if half of the others are out of reach for a while', async () => {
    const cell = await workingCell.startCell(5, 60_000);
    await workingCell.submitJobs(cell, 600);
    const followers = cell.followers();
    followers[7].kill();
    await cell.time.advance(GONE_MS);
    cell.partition([], {main: false, cutOff: false});
    await cell.time.advance(3_000);
    const silent = followers.slice(0, 4).map(({self}) => self.address);
    cell.partition(silent, {main: false, cutOff: false});
    await cell.time.advance(CUT_MS);
    cell.partition([], {main: false, cutOff: false});
    await cell.time.advance(OUTAGE_MS - CUT_MS - 3_000);
    const ends = cell.workers.events
      .filter(({kind}) => kind === 'ended')
      .map(({task, outcome}) => `${task} ${outcome}`);
    assert.deepEqual(ends, []);
  });
});
