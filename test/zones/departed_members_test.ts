import * as assert from 'node:assert/strict';
import * as departedMembers from '../../src/zones/departed_members.js';
import * as nodeTest from 'node:test';
import * as smallCell from '../support/small_cell.js';
import * as workingCell from '../support/working_cell.js';
import type * as simulatedCell from '../support/simulated_cell.js';

const {describe, test} = nodeTest;

const {MEMBER_COUNT, expectAllDone, startSmallCell} = smallCell;

/** Longer than a member has to be silent to count as departed. */
const DEPARTED_MS = 12_000;

/** Longer than a leader acts without the log and without a majority. */
const OUTAGE_MS = 10_000;

/** More than a cell has members, so that those that are gone outnumber it. */
const REPLACEMENT_COUNT = 2 * MEMBER_COUNT + 1;

/** Time between two replacements. */
const REPLACEMENT_INTERVAL_MS = 2_500;

/** Longer than the last lease of a leader that is surely gone. */
const LEASES_OVER_MS = 9_500;

const SETTLED_MS = 60_000;

/** Replaces one member after the other, each at another address. */
async function replaceMembers(
  cell: simulatedCell.SimulatedCell,
): Promise<void> {
  for (let index = 0; index < REPLACEMENT_COUNT; index += 1) {
    cell.addMember(MEMBER_COUNT + index);
    await cell.time.advance(REPLACEMENT_INTERVAL_MS);
    cell.members[index].kill();
  }
}

describe('a cell from which more members have gone than it has', () => {
  // Guards against a successor that counts members which are gone for good, and
  // waits 20 s longer for the tasks of a worker that is lost with its leader.
  test('starts the tasks of a lost worker after a succession again', async () => {
    const cell = await startSmallCell();
    await replaceMembers(cell);
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

  // Guards against a leader that never hears a majority again, because it counts
  // members that are gone, and whose runs lapse as soon as the log is away.
  test('keeps its runs in an outage of the store', async () => {
    const cell = await startSmallCell();
    await replaceMembers(cell);
    await cell.time.advance(DEPARTED_MS);
    await workingCell.submitJobs(cell, 600);
    const eventCount = cell.workers.events.length;
    cell.partition([], {main: false, cutOff: false});
    await cell.time.advance(OUTAGE_MS);
    const ends = cell.workers.events
      .slice(eventCount)
      .filter(({outcome}) => outcome === 'lapsed');
    assert.deepEqual(ends, []);
  });
});

describe('a member that was out of reach for long', () => {
  // Guards against a member that nobody counts any more after a cut.
  test('registers again once it reads that it was dropped', async () => {
    const cell = await workingCell.startCell(5, 60_000);
    const [member] = cell.followers();
    const {address} = member.self;
    cell.partition([address], {main: true, cutOff: false});
    await cell.time.advance(DEPARTED_MS);
    cell.partition([]);
    await cell.time.advance(5_000);
    const sizes = cell.store.records
      .filter(({key}) => key === `member/${address}`)
      .map(({value}) => (value.length === 0 ? 'dropped' : 'registered'));
    assert.deepEqual(sizes, ['registered', 'dropped', 'registered']);
  });
});

describe('departed members', () => {
  const PEERS = ['a', 'b', 'c', 'd'];

  /** Reviews the members each 100 ms, with the times at which each was heard. */
  function reviewUntil(
    members: departedMembers.DepartedMembers,
    heardAt: Readonly<Record<string, number>>,
    untilMs: number,
    fromMs = 0,
  ): ReadonlyArray<string> {
    let departed: ReadonlyArray<string> = [];
    for (let now = fromMs; now <= untilMs; now += 100) {
      departed = members.review(PEERS, address => heardAt[address] ?? 0, now);
    }
    return departed;
  }

  // Guards against a member that is dropped for a short silence.
  test('have been silent for 10 s', () => {
    const members = new departedMembers.DepartedMembers();
    members.restart(0);
    const heardAt = {a: Infinity, b: Infinity, c: Infinity, d: 500};
    assert.deepEqual(reviewUntil(members, heardAt, 10_400), []);
    assert.deepEqual(reviewUntil(members, heardAt, 10_600, 10_500), ['d']);
    assert.equal(members.isNominated('d'), true);
  });

  // Guards against a leader that shrinks the cell to itself in a cut.
  test('leave a majority behind', () => {
    const members = new departedMembers.DepartedMembers();
    members.restart(0);
    const heardAt = {a: Infinity};
    assert.equal(reviewUntil(members, heardAt, 12_000).length, 2);
  });

  // Guards against members that are dropped after a pause of the leader itself.
  test('had the chance to be heard', () => {
    const members = new departedMembers.DepartedMembers();
    members.restart(0);
    assert.deepEqual(
      members.review(PEERS, () => 0, 500),
      [],
    );
    assert.deepEqual(
      members.review(PEERS, () => 0, 15_000),
      [],
    );
  });

  // Guards against a member that is kept in one record and dropped in the next,
  // while the first one may still be stored.
  test('stay nominated until the log shows that they are dropped', () => {
    const members = new departedMembers.DepartedMembers();
    members.restart(0);
    const silent = {a: Infinity, b: Infinity, c: Infinity, d: 0};
    assert.deepEqual(reviewUntil(members, silent, 11_000), ['d']);
    const heard = {...silent, d: Infinity};
    assert.deepEqual(reviewUntil(members, heard, 11_200, 11_100), ['d']);
  });
});
