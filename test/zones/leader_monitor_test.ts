import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as leaderMonitor from '../../src/zones/leader_monitor.js';
import type * as cellMember from '../../src/zones/cell_member.js';

const {describe, test} = nodeTest;

const CLAIM: cellMember.Claim = {
  term: 5,
  node: 'one',
  incarnation: 'one-1',
  address: 'one:1',
};

const PROGRESS: cellMember.LeaderProgress = {
  term: 5,
  leading: true,
  resigning: false,
  takeoverStep: 4,
  hearsMajority: true,
};

const STATUS: leaderMonitor.LeadershipStatus = {
  incarnation: 'one-1',
  leading: true,
  resigning: false,
  storeSilentMs: 0,
};

/** Creates a monitor that observes the leader's term from time 0 on. */
function createMonitor(): leaderMonitor.LeaderMonitor {
  const created = new leaderMonitor.LeaderMonitor(0);
  created.observeTerm(CLAIM, 0);
  return created;
}

describe('leader monitor', () => {
  // Guards against the replacement of a leader whose replies are late.
  test('takes progress for a sign of life', () => {
    const monitor = createMonitor();
    monitor.recordProgress(PROGRESS, 800);
    assert.equal(monitor.suspicion(1_699), undefined);
    const silence = {reason: 'silence', since: 1_700};
    assert.deepEqual(monitor.suspicion(1_700), silence);
  });

  // Guards against a leader that only reaches the store and so cannot be
  // reached by its callers.
  test('ignores progress of a leader that hears no majority', () => {
    const monitor = createMonitor();
    monitor.recordProgress(PROGRESS, 800);
    monitor.recordProgress({...PROGRESS, hearsMajority: false}, 1_000);
    const noContact = {reason: 'noContact', since: 1_000};
    assert.deepEqual(monitor.suspicion(1_000), noContact);
    monitor.recordStatus(STATUS, 1_100);
    assert.equal(monitor.suspicion(1_100), undefined);
  });

  // Guards against a record of an earlier term that hides a lost leader.
  test('ignores progress of another term', () => {
    const monitor = createMonitor();
    monitor.recordProgress({...PROGRESS, term: 3}, 800);
    assert.equal(monitor.suspicion(900)?.reason, 'silence');
  });

  // Guards against the replacement of a leader that takes over much state.
  test('allows each step of a takeover its time', () => {
    const monitor = createMonitor();
    const takingOver = {...STATUS, leading: false};
    const progress = {...PROGRESS, leading: false, takeoverStep: 0};
    monitor.recordProgress({...progress, takeoverStep: 1}, 2_400);
    monitor.recordStatus(takingOver, 4_800);
    assert.equal(monitor.suspicion(4_800), undefined);
    monitor.recordProgress({...progress, takeoverStep: 1}, 5_000);
    assert.equal(monitor.suspicion(5_000)?.reason, 'takeoverTimeout');
    monitor.recordProgress({...progress, takeoverStep: 2}, 5_100);
    assert.equal(monitor.suspicion(5_100), undefined);
  });

  // Guards against members that wait for a reply to learn of a resignation,
  // and against progress that hides it or a closed port.
  test('suspects a leader that resigns or refuses connections', () => {
    const resigned = createMonitor();
    resigned.recordProgress({...PROGRESS, resigning: true}, 100);
    resigned.recordProgress(PROGRESS, 200);
    assert.equal(resigned.suspicion(200)?.reason, 'resigned');
    const closed = createMonitor();
    closed.markRefused(100);
    closed.recordProgress(PROGRESS, 200);
    assert.equal(closed.suspicion(200)?.reason, 'refused');
  });

  // Guards against the replacement of a busy leader that read the store's answer
  // late, although its records show that the store answers it.
  test('trusts a record more than an earlier report of a silent store', () => {
    const monitor = createMonitor();
    monitor.recordStatus({...STATUS, storeSilentMs: 1_100}, 100);
    assert.equal(monitor.suspicion(100)?.reason, 'storeSilent');
    monitor.recordProgress({...PROGRESS, term: 3}, 110);
    assert.equal(monitor.suspicion(110)?.reason, 'storeSilent');
    monitor.recordProgress(PROGRESS, 120);
    assert.equal(monitor.suspicion(120), undefined);
    monitor.recordStatus({...STATUS, storeSilentMs: 1_300}, 300);
    const storeSilent = {reason: 'storeSilent', since: 300};
    assert.deepEqual(monitor.suspicion(300), storeSilent);
  });

  // Guards against the replacement of a leader that refused one member's
  // connection, but goes on and hears the others.
  test('trusts a record after a refused connection if a majority is heard', () => {
    const monitor = createMonitor();
    monitor.markRefused(100);
    monitor.recordProgress({...PROGRESS, hearsMajority: false}, 600);
    assert.equal(monitor.suspicion(600)?.reason, 'refused');
    monitor.recordProgress(PROGRESS, 900);
    assert.equal(monitor.suspicion(900), undefined);
  });

  // Guards against a killed leader that is replaced late, because its last
  // record was read after its port had closed.
  test('keeps a refusal that a record on its way precedes', () => {
    const monitor = createMonitor();
    monitor.markRefused(100);
    monitor.recordProgress(PROGRESS, 400);
    assert.deepEqual(monitor.suspicion(400), {reason: 'refused', since: 100});
  });

  // Guards against a process that takes the lag of its own loop for silence.
  test('does not count time in which this process could not read', () => {
    const monitor = createMonitor();
    monitor.recordStatus(STATUS, 500);
    monitor.excludeLostTime(2_000, 3_000);
    assert.equal(monitor.suspicion(3_399), undefined);
    assert.equal(monitor.suspicion(3_400)?.reason, 'silence');
  });
});
