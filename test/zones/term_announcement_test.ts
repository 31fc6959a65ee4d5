import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as termAnnouncement from '../../src/zones/term_announcement.js';

const {describe, test} = nodeTest;

/** Returns members that the earlier leaders know. */
function grantors(
  ...addresses: ReadonlyArray<string>
): ReadonlyArray<termAnnouncement.InformedMember> {
  return addresses.map(address => ({address, isGrantor: true}));
}

/** Returns members that have joined since the earlier leaders read the log. */
function newcomers(
  ...addresses: ReadonlyArray<string>
): ReadonlyArray<termAnnouncement.InformedMember> {
  return addresses.map(address => ({address, isGrantor: false}));
}

const PEERS = grantors('b', 'c', 'd', 'e');

const TERM = {term: 7, isGrantor: true};

describe('announcement of a term', () => {
  // Guards against a successor that counts members which still support the
  // leader before it.
  test('is complete once a majority knows the term or a later one', () => {
    let now = 10;
    const announcement = new termAnnouncement.TermAnnouncement({
      now: () => now,
    });
    announcement.beginTerm(TERM, PEERS);
    announcement.recordKnownTerm('b', 7, PEERS);
    announcement.recordKnownTerm('b', 7, PEERS);
    announcement.recordKnownTerm('c', 6, PEERS);
    announcement.recordKnownTerm('d', undefined, PEERS);
    announcement.recordKnownTerm('stranger', 7, PEERS);
    assert.equal(announcement.majorityInformedAt, undefined);
    now = 50;
    announcement.recordKnownTerm('c', 8, PEERS);
    assert.equal(announcement.majorityInformedAt, 50);
    now = 90;
    announcement.recordKnownTerm('d', 8, PEERS);
    assert.equal(announcement.majorityInformedAt, 50, 'stays');
    announcement.beginTerm({...TERM, term: 9}, PEERS);
    assert.equal(announcement.majorityInformedAt, undefined, 'a new term');
  });

  // Guards against a successor that waits for long although the members that
  // it can't reach are no majority.
  test('is complete once half of the members know it', () => {
    const announcement = new termAnnouncement.TermAnnouncement({now: () => 10});
    announcement.beginTerm(TERM, PEERS.slice(0, 3));
    assert.equal(announcement.majorityInformedAt, undefined);
    announcement.recordKnownTerm('b', 7, PEERS.slice(0, 3));
    assert.equal(announcement.majorityInformedAt, 10);
  });

  test('needs nobody else in a cell of one', () => {
    const announcement = new termAnnouncement.TermAnnouncement({now: () => 10});
    announcement.beginTerm(TERM, []);
    assert.equal(announcement.majorityInformedAt, 10);
  });

  // Guards against a successor that counts newcomers, of which an earlier leader
  // doesn't know, as members whose word that leader would need.
  test('counts only members that the earlier leaders know', () => {
    let now = 10;
    const announcement = new termAnnouncement.TermAnnouncement({
      now: () => now,
    });
    const peers = [...grantors('a', 'b', 'c'), ...newcomers('x', 'y', 'z')];
    announcement.beginTerm({term: 7, isGrantor: false}, peers);
    for (const address of ['x', 'y', 'z']) {
      announcement.recordKnownTerm(address, 7, peers);
    }
    assert.equal(announcement.grantorInformedAt, undefined);
    assert.equal(announcement.majorityInformedAt, undefined);
    now = 50;
    announcement.recordKnownTerm('b', 7, peers);
    assert.equal(announcement.grantorInformedAt, 50);
    assert.equal(announcement.majorityInformedAt, undefined, 'a finds c');
    now = 90;
    announcement.recordKnownTerm('c', 7, peers);
    assert.equal(announcement.majorityInformedAt, 90);
  });

  // Guards against a newcomer without the term which an earlier leader may know
  // after all: it has read more of the log than it has written since.
  test('takes a newcomer that was not told for one that the leader hears', () => {
    const announcement = new termAnnouncement.TermAnnouncement({now: () => 10});
    const peers = [...grantors('a', 'b'), ...newcomers('x')];
    announcement.beginTerm(TERM, peers);
    assert.equal(announcement.majorityInformedAt, undefined);
    announcement.recordKnownTerm('x', 7, peers);
    assert.equal(announcement.majorityInformedAt, undefined);
    announcement.recordKnownTerm('b', 7, peers);
    assert.equal(announcement.majorityInformedAt, 10);
  });
});
