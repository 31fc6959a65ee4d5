import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as leadershipProof from '../../src/zones/leadership_proof.js';

const {describe, test} = nodeTest;

describe('leadership proof', () => {
  // Guards against a replaced leader that extends leases without end.
  test('expires after 2 s without a message', () => {
    const proof = new leadershipProof.LeadershipProof();
    assert.equal(proof.isValid(0), false);
    proof.acceptMessage(100);
    assert.equal(proof.isValid(2_099), true);
    assert.equal(proof.isValid(2_100), false);
  });

  // Guards against a leader that was paused and replaced, and that takes a
  // message from before the pause for new proof.
  test('rejects messages that waited while the process was paused', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.acceptMessage(100);
    proof.voidUntil(3_050);
    proof.acceptMessage(3_010);
    assert.equal(proof.isValid(3_010), false);
    proof.acceptMessage(3_060);
    assert.equal(proof.isValid(3_060), true);
  });

  // Guards against an answer that is read late and counted as new.
  test('counts an answer from when its call was sent', () => {
    const proof = new leadershipProof.LeadershipProof();
    proof.prove(1_000);
    assert.equal(proof.isValid(3_500), false);
    proof.prove(2_500);
    proof.prove(2_000);
    assert.equal(proof.isValid(4_400), true);
  });
});
