import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as election from '../../src/zones/election.js';
import type * as cellMember from '../../src/zones/cell_member.js';
import type * as leaderMonitor from '../../src/zones/leader_monitor.js';

const {describe, test} = nodeTest;

function member(name: string, processors = 1): cellMember.CellMember {
  return {
    node: name,
    incarnation: `${name}-1`,
    address: `${name}:1`,
    zone: 'a',
    processors,
  };
}

function claimOf(name: string, term: number): cellMember.Claim {
  const {node, incarnation, address} = member(name);
  return {term, node, incarnation, address};
}

const HEALTHY_STATUS: leaderMonitor.LeadershipStatus = {
  incarnation: 'one-1',
  leading: true,
  resigning: false,
  storeSilentMs: 0,
};

/** Records that members registered before the leader's newest record. */
function registerBeforeLeader(
  candidate: election.Election,
  names: ReadonlyArray<string>,
): void {
  const offset = names.length;
  candidate.recordRegistrations(
    new Map(names.map((name, index) => [member(name).address, index])),
    {offset, grantorEnd: offset, exempt: []},
  );
}

/** Creates the election of a member of a cell of three; `one` is the leader. */
function electionOf(name: string): election.Election {
  const created = new election.Election(member(name), 0);
  const names = ['one', 'two', 'three'];
  for (const other of names) created.addMember(member(other));
  registerBeforeLeader(created, names);
  created.recordClaim(claimOf('one', 5), 0);
  return created;
}

/** Returns when a member that gets no replies claims. */
function timeOfClaim(candidate: election.Election): number {
  let now = 0;
  while (!candidate.tryBeginClaim(now)) now += 10;
  return now;
}

describe('election', () => {
  // Guards against a cell that has no leader after its first start.
  test('claims if there is no leader', () => {
    const candidate = new election.Election(member('one'), 0);
    candidate.addMember(member('one'));
    assert.equal(candidate.tryBeginClaim(0), true);
    assert.equal(candidate.tryBeginClaim(100), false, 'one claim at a time');
  });

  // Guards against an unnecessary failover.
  test('does not claim while the leader answers', () => {
    const candidate = electionOf('two');
    for (let now = 0; now < 5_000; now += 200) {
      candidate.recordStatus(HEALTHY_STATUS, now);
      assert.equal(candidate.tryBeginClaim(now), false);
    }
  });

  // Guards against jobs that wait for a lost leader.
  test('claims after 0.9 s of silence, by rank', () => {
    const second = electionOf('two');
    const third = electionOf('three');
    const times = [timeOfClaim(second), timeOfClaim(third)].sort(
      (a, b) => a - b,
    );
    assert.equal(times[0], 900);
    assert.equal(times[1], 1_100);
  });

  // Guards against a leader whose VM is too slow to take over, while a larger
  // member would have claimed a moment later.
  test('delays the claim of a weak member by a second', () => {
    const weak = new election.Election(member('weak', 0.4), 0);
    for (const other of ['one', 'two']) weak.addMember(member(other));
    weak.addMember(member('weak', 0.4));
    registerBeforeLeader(weak, ['one', 'two', 'weak']);
    weak.recordClaim(claimOf('one', 5), 0);
    assert.equal(timeOfClaim(weak), 900 + 200 + 1_000);
  });

  // Guards against a newcomer that leads although a member could which knows when
  // the last leader's leases have ended.
  test('delays the claim of a member that the leader did not know by 3 s', () => {
    const newcomer = new election.Election(member('four'), 0);
    newcomer.addMember(member('one'));
    registerBeforeLeader(newcomer, ['one']);
    newcomer.recordClaim(claimOf('one', 5), 0);
    newcomer.addMember(member('four'));
    newcomer.recordRegistrations(new Map([['four:1', 2]]), undefined);
    assert.equal(newcomer.isKnownToLeader, false);
    assert.equal(timeOfClaim(newcomer), 900 + 3_000);
    registerBeforeLeader(newcomer, ['one', 'two', 'three']);
    assert.equal(newcomer.isKnownToLeader, true);
  });

  // Guards against jobs that wait for a lost leader because its cell is large.
  test('waits no longer for the leader of a larger cell', () => {
    const candidate = new election.Election(member('m10'), 0);
    const names = Array.from({length: 36}, (_item, index) => `m${index + 10}`);
    for (const name of names) candidate.addMember(member(name));
    registerBeforeLeader(candidate, names);
    candidate.recordClaim(claimOf('m11', 5), 0);
    assert.equal(timeOfClaim(candidate), 900);
  });

  // Guards against a second term of a leader that had begun two claims while
  // the first one waited for an answer to a ping.
  test('does not claim or suspect anybody while this member leads', () => {
    const leader = electionOf('two');
    assert.equal(leader.isLeaderSuspected(1_000), true);
    leader.recordClaim(claimOf('two', 9), 1_000);
    assert.equal(leader.suspicion(5_000), undefined);
    assert.equal(leader.tryBeginClaim(5_000), false);
  });

  // Guards against waiting for a leader that was restarted or has stopped.
  test('claims at once on a new incarnation or a refused connection', () => {
    const restarted = electionOf('three');
    restarted.recordStatus({...HEALTHY_STATUS, incarnation: 'one-2'}, 100);
    assert.equal(restarted.tryBeginClaim(100), true);
    const closed = electionOf('three');
    closed.markRefused(100);
    assert.equal(closed.tryBeginClaim(100), true);
  });

  // Guards against a leader that cannot reach the store while others can.
  test('replaces a leader that the store has not answered for a second', () => {
    const candidate = electionOf('three');
    candidate.recordStatus({...HEALTHY_STATUS, storeSilentMs: 900}, 100);
    assert.equal(candidate.tryBeginClaim(400), false);
    candidate.recordStatus({...HEALTHY_STATUS, storeSilentMs: 1_100}, 500);
    assert.equal(candidate.tryBeginClaim(700), true);
  });

  // Guards against a burst of claims by a process that has not read the end of
  // the log, so that each of them is lost.
  test('retries a lost claim only after a further read of the log', () => {
    const candidate = electionOf('three');
    candidate.markRefused(100);
    assert.equal(candidate.tryBeginClaim(100), true);
    candidate.recordLostClaim(12);
    candidate.recordLogEnd(12);
    assert.equal(candidate.tryBeginClaim(150), false);
    candidate.recordLogEnd(13);
    assert.equal(candidate.tryBeginClaim(160), true);
  });

  // Guards against a failover when the store recovers: the leader will reach it
  // as well.
  test('distinguishes a suspicion that only concerns the store', () => {
    const candidate = electionOf('three');
    candidate.recordStatus({...HEALTHY_STATUS, storeSilentMs: 1_100}, 500);
    assert.equal(candidate.suspectsStoreOnly(700), true);
    candidate.recordStatus({...HEALTHY_STATUS, resigning: true}, 900);
    assert.equal(candidate.suspectsStoreOnly(900), false);
  });

  // Guards against an outdated message that reverts a failover.
  test('keeps the newest claim', () => {
    const candidate = electionOf('two');
    assert.equal(candidate.recordClaim(claimOf('three', 9), 10), true);
    assert.equal(candidate.recordClaim(claimOf('one', 7), 20), false);
    assert.equal(candidate.newestClaim?.node, 'three');
  });

  // Guards against a record of an incident in which a leader that was replaced
  // looks like a process that was restarted.
  test('names why a member claims while its own claim is the newest', () => {
    const leader = electionOf('one');
    leader.invalidateOwnClaim();
    assert.equal(leader.suspicion(100)?.reason, 'ownTermEnded');
    const restarted = new election.Election(
      {...member('one'), incarnation: 'one-2'},
      0,
    );
    restarted.recordClaim(claimOf('one', 5), 0);
    assert.equal(restarted.suspicion(100)?.reason, 'ownRestart');
  });

  // Guards against a restarted process that takes its earlier claim for a
  // current one, so that the cell has no leader.
  test('claims again if the process was the leader before its restart', () => {
    const self = {...member('one'), incarnation: 'one-2'};
    const candidate = new election.Election(self, 0);
    candidate.addMember(self);
    candidate.recordClaim(claimOf('one', 5), 0);
    assert.equal(candidate.isLeader, false);
    assert.equal(candidate.tryBeginClaim(0), true);
  });
});
