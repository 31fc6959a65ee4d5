import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as leadershipProof from '../../src/zones/leadership_proof.js';

const {describe, test} = nodeTest;

const PEERS = ['b', 'c', 'd', 'e'];

describe('leadership proof', () => {
  // Guards against a replaced leader that extends leases without end.
  test('expires after 2 s without a proof', () => {
    const proof = new leadershipProof.LeadershipProof();
    assert.equal(proof.basis(PEERS, 0), 'none');
    proof.proveByStore(100);
    assert.equal(proof.basis(PEERS, 2_099), 'store');
    assert.equal(proof.basis(PEERS, 2_100), 'none');
  });

  // Guards against a leader that was paused and replaced, and that takes a
  // ping from before the pause for new proof.
  test('counts a ping from when the reply before it was sent', () => {
    const proof = new leadershipProof.LeadershipProof();
    // Too long ago for the word of a majority.
    proof.proveByStore(-25_000);
    for (const address of PEERS) proof.proveByMember(address, 100);
    // Read after the pause; the last replies were sent before it.
    assert.equal(proof.basis(PEERS, 3_010), 'none');
    for (const address of PEERS) proof.proveByMember(address, 3_020);
    assert.equal(proof.basis(PEERS, 3_060), 'allMembers');
    for (const address of PEERS) proof.proveByMember(address, 200);
    assert.equal(proof.provedAt(PEERS), 3_020);
  });

  // Guards against an answer that is read late and counted as new.
  test('counts an answer of the store from when its call was sent', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(1_000);
    assert.equal(proof.basis(PEERS, 3_500), 'none');
    proof.proveByStore(2_500);
    proof.proveByStore(2_000);
    assert.equal(proof.basis(PEERS, 4_400), 'store');
  });

  // Guards against the incident of issue 35: one member that knew no later term
  // was enough, even if it was cut off together with the leader.
  test('is not given by a minority of the members', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(0);
    proof.proveByMember('b', 5_000);
    assert.equal(proof.basis(PEERS, 5_000), 'none');
    proof.proveByMember('c', 5_000);
    assert.equal(proof.basis(PEERS, 5_000), 'majority');
    assert.equal(proof.basis(PEERS, 7_000), 'none');
  });

  // Guards against a leader that is alone, so that nobody knows of a successor
  // among members that have joined since.
  test('needs a grantor where a leader is a majority by itself', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(0);
    assert.equal(proof.basis([], 1_999), 'store');
    assert.equal(proof.basis([], 2_000), 'none');
  });

  // Guards against a leader on the larger side of a partition that acts for
  // longer than its successor on the other side waits.
  test('is given by a majority only for 20 s without the store', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(0);
    for (const address of ['b', 'c', 'd']) proof.proveByMember(address, 19_900);
    assert.equal(proof.basis(PEERS, 19_999), 'majority');
    assert.equal(proof.basis(PEERS, 20_000), 'none');
    // All members together rule a later claim out, however long the outage is.
    proof.proveByMember('e', 19_950);
    assert.equal(proof.basis(PEERS, 20_000), 'allMembers');
  });

  // Guards against a leader that acts for longer than a successor waits which
  // hears none of the members that this leader knows.
  test('is given by all members only for hours without the store', () => {
    const limitMs = 7_200_000;
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(0);
    for (const address of PEERS) proof.proveByMember(address, limitMs - 100);
    assert.equal(proof.basis(PEERS, limitMs - 1), 'allMembers');
    assert.equal(proof.basis(PEERS, limitMs), 'none');
  });

  // Guards against a run that is given up although a successor, which only some
  // of the members know, has extended its lease.
  test('knows no later time than the member that was heard least', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(1_000);
    for (const address of ['b', 'c', 'd']) proof.proveByMember(address, 9_000);
    assert.equal(proof.provedAt(PEERS), 1_000);
    proof.proveByMember('e', 8_000);
    assert.equal(proof.provedAt(PEERS), 8_000);
  });

  // Guards against a permission that outlives a suspension of the VM, in which
  // the steady clock stood still.
  test('is void after a suspension, also by what was sent before it', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.proveByStore(900);
    proof.voidBefore(1_000);
    assert.equal(proof.basis(PEERS, 1_001), 'none');
    proof.proveByStore(950);
    for (const address of PEERS) proof.proveByMember(address, 990);
    assert.equal(proof.basis(PEERS, 1_001), 'none');
    proof.proveByStore(1_010);
    assert.equal(proof.basis(PEERS, 1_020), 'store');
  });
});
