import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as earlierLeases from '../../src/jobs/earlier_leases.js';

const {describe, test} = nodeTest;

/** Lease of 4.4 s on a slow clock, with late timers, in steps of 10 ms. */
const LONGEST_LEASE_MS = 4_840;

const BEGAN_AT_MS = 1_000;

/** Returns when a term that began at `BEGAN_AT_MS` relies on the expiry. */
function findExpiry(
  informedAtMs: number | undefined,
  provedLeaderAt: (now: number) => number,
  grantorInformedAtMs: number | undefined = BEGAN_AT_MS,
  untilMs = 60_000,
  witnesses?: earlierLeases.WitnessKnowledge,
): number | undefined {
  let now = BEGAN_AT_MS;
  const leases = new earlierLeases.EarlierLeases(
    {now: () => now},
    BEGAN_AT_MS,
    {
      provedLeaderAt: () => provedLeaderAt(now),
      majorityInformedAt: () => informedAtMs,
      grantorInformedAt: () => grantorInformedAtMs,
      witnesses: witnesses && (() => witnesses),
    },
  );
  for (; now < untilMs; now += 10) if (leases.haveExpired) return now;
  return undefined;
}

describe('leases of earlier terms', () => {
  // Guards against tasks that are started again while an earlier leader may
  // extend their leases.
  test('expire 2 s and a lease after a majority was informed', () => {
    const expiry = findExpiry(3_000, now => now);
    assert.equal(expiry, 3_000 + 2_000 + LONGEST_LEASE_MS);
  });

  // Guards against tasks of a lost worker that stand for 7 s of calm after a
  // succession, which callers don't accept.
  test('expire before callers take a task that lasts for lost', () => {
    const calmMs = 4_000 + 3_000;
    const expiry = findExpiry(BEGAN_AT_MS, now => now);
    assert.ok(expiry !== undefined && expiry - BEGAN_AT_MS < calmMs);
  });

  // Guards against a successor with a minority of the members that starts tasks
  // which the earlier leader still runs with the majority.
  test('expire 20 s and a lease after the claim if no majority is heard', () => {
    const expiry = findExpiry(undefined, now => now);
    // 20 s on a clock that runs slow.
    assert.equal(expiry, BEGAN_AT_MS + 20_600 + LONGEST_LEASE_MS);
  });

  // Guards against a leader that was replaced meanwhile: its successor may have
  // extended the leases.
  test('last until no later term is proved to have existed', () => {
    const provedUntil = 5_000;
    assert.equal(
      findExpiry(1_000, now => Math.min(now, provedUntil)),
      undefined,
    );
  });

  // Guards against a member that has joined since the last leader read the log:
  // that leader still acts on the word of all others.
  test('last until a member that their leader knew was informed', () => {
    const never = Infinity;
    assert.equal(
      findExpiry(1_000, now => now, never),
      undefined,
    );
    const expiry = findExpiry(1_000, now => now, 30_000);
    assert.equal(expiry, 30_000 + 2_000 + LONGEST_LEASE_MS);
  });

  // Guards against tasks that no later leader ever starts again, because all
  // members that an earlier leader knew are gone.
  test('expire after hours if no such member is left', () => {
    const limitMs = 7_200_000 * 1.03;
    const expiry = findExpiry(1_000, now => now, Infinity, limitMs + 60_000);
    assert.equal(expiry, BEGAN_AT_MS + limitMs + LONGEST_LEASE_MS);
  });

  // Guards against a cell whose members were all replaced, so that nobody is
  // left who could tell that an earlier leader has ended.
  test('expire once either the members or the witnesses are informed', () => {
    const findWitnessed = (
      majorityMs: number | undefined,
      informedAt: number | undefined,
      heededBy: 'some' | 'all' = 'all',
    ): number | undefined =>
      findExpiry(majorityMs, now => now, Infinity, 60_000, {
        heededBy,
        informedAt,
      });
    const wait = 2_000 + LONGEST_LEASE_MS;
    assert.equal(findWitnessed(undefined, 3_000), 3_000 + wait);
    assert.equal(findWitnessed(4_000, undefined), 4_000 + wait);
    assert.equal(findWitnessed(undefined, undefined), undefined);
    // A member of an earlier version may have led, which heeds none.
    assert.equal(findWitnessed(1_000, 3_000, 'some'), undefined);
  });
});
