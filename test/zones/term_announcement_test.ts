import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as termAnnouncement from '../../src/zones/term_announcement.js';

const {describe, test} = nodeTest;

const PEERS = ['b', 'c', 'd', 'e'];

describe('announcement of a term', () => {
  // Guards against a successor that counts members which still support the
  // leader before it.
  test('is complete once a majority knows the term or a later one', () => {
    let now = 10;
    const announcement = new termAnnouncement.TermAnnouncement({
      now: () => now,
    });
    announcement.beginTerm(7, PEERS);
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
    announcement.beginTerm(9, PEERS);
    assert.equal(announcement.majorityInformedAt, undefined, 'a new term');
  });

  // Guards against a successor that waits for long although the members that
  // it can't reach are no majority.
  test('is complete once half of the members know it', () => {
    const announcement = new termAnnouncement.TermAnnouncement({now: () => 10});
    announcement.beginTerm(7, PEERS.slice(0, 3));
    assert.equal(announcement.majorityInformedAt, undefined);
    announcement.recordKnownTerm('b', 7, PEERS.slice(0, 3));
    assert.equal(announcement.majorityInformedAt, 10);
  });

  test('needs nobody else in a cell of one', () => {
    const announcement = new termAnnouncement.TermAnnouncement({now: () => 10});
    announcement.beginTerm(7, []);
    assert.equal(announcement.majorityInformedAt, 10);
  });
});
