import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as suspensionDetector from '../../src/zones/suspension_detector.js';

const {describe, test} = nodeTest;

describe('suspension detector', () => {
  // Guards against permissions that outlive a suspension of the VM.
  test('notices that the time of day advanced more than the steady clock', () => {
    let steadyMs = 1_000;
    let wallMs = 500_000;
    const detector = new suspensionDetector.SuspensionDetector(
      {now: () => steadyMs},
      () => wallMs,
    );
    steadyMs += 100;
    wallMs += 4_100;
    assert.ok(detector.review() > 3_990);
    assert.equal(detector.review(), 0, 'told once');
  });

  // Guards against proofs that are voided for ever by clocks of unlike rates,
  // or by a time of day that is set back.
  test('ignores drift and a time of day that is set back', () => {
    let steadyMs = 0;
    let wallMs = 0;
    const detector = new suspensionDetector.SuspensionDetector(
      {now: () => steadyMs},
      () => wallMs,
    );
    for (let turn = 0; turn < 1_000; turn += 1) {
      steadyMs += 100;
      wallMs += 101;
      assert.equal(detector.review(), 0);
    }
    wallMs -= 5_000;
    assert.equal(detector.review(), 0);
  });

  // Guards against a series of suspensions, each too short to be noticed.
  test('adds short suspensions up', () => {
    let steadyMs = 0;
    let wallMs = 0;
    const detector = new suspensionDetector.SuspensionDetector(
      {now: () => steadyMs},
      () => wallMs,
    );
    const told = Array.from({length: 4}, () => {
      steadyMs += 100;
      wallMs += 250;
      return detector.review() > 0;
    });
    assert.deepEqual(told, [false, true, false, true]);
  });
});
