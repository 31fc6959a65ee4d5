import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as workerWitnesses from '../../src/zones/worker_witnesses.js';
import type * as witness from '../../src/machines/witness.js';

const {describe, test} = nodeTest;

const ZONES = ['kigali-a', 'huye-a', 'musanze-a'];

/** Workers of three zones, by id, and the witnesses among them. */
class WitnessedWorkers {
  readonly workers = new Map<string, witness.Witness>();
  readonly witnesses = new workerWitnesses.WorkerWitnesses({
    get: id => this.workers.get(id),
    all: () => [...this.workers.values()],
  });

  /** Adds workers or their next incarnations, which have accepted a token. */
  accept(acceptedAt: number, ...ids: ReadonlyArray<string>): void {
    for (const id of ids) {
      this.workers.set(id, {
        id,
        zone: ZONES[this.workers.size % ZONES.length],
        tokenAcceptedAt: acceptedAt,
        tokenAskedAt: acceptedAt,
        acceptsTasks: true,
      });
    }
  }

  /** Records that workers have answered a call that was sent at a time. */
  answer(askedAt: number, ...ids: ReadonlyArray<string>): void {
    for (const id of ids) {
      const known = this.workers.get(id) as witness.Witness;
      this.workers.set(id, {...known, tokenAskedAt: askedAt});
    }
  }

  word(provedByStoreAt: number, askedAfter: number): string {
    return this.witnesses.word({provedByStoreAt, askedAfter});
  }
}

describe('witnesses of a leader', () => {
  // Guards against a leader that acts on the word of its members while a
  // successor, which none of them has heard of, has reached most workers.
  test('vouch for it while a majority accepts its token', () => {
    const cell = new WitnessedWorkers();
    cell.accept(100, 'a', 'b', 'c');
    assert.equal(cell.word(200, 0), 'unnamed');
    cell.witnesses.recordStored(['a', 'b', 'c']);
    assert.equal(cell.word(200, 99), 'quorum');
    assert.equal(cell.word(200, 100), 'noQuorum');
    cell.answer(5_000, 'a');
    assert.equal(cell.word(200, 3_000), 'noQuorum');
    cell.answer(5_000, 'b');
    assert.equal(cell.word(200, 3_000), 'quorum');
  });

  // Guards against half of the witnesses for the leader and half of them for
  // its successor.
  test('vouch for neither side with half of them', () => {
    const cell = new WitnessedWorkers();
    cell.witnesses.recordStored(['a', 'b']);
    cell.accept(100, 'a');
    assert.equal(cell.word(200, 0), 'noQuorum');
  });

  // Guards against a witness that has learned of a successor, has restarted and
  // accepts the old leader's token again.
  test('do not vouch after a restart that the log has not covered', () => {
    const cell = new WitnessedWorkers();
    cell.witnesses.recordStored(['a']);
    cell.accept(500, 'a');
    assert.equal(cell.word(499, 0), 'noQuorum');
    assert.equal(cell.word(500, 0), 'quorum');
  });

  // Guards against a successor that relies on one list while the leader heeds
  // another, because the answer of its record was lost.
  test('vouch by both lists while a new one may be stored', () => {
    const cell = new WitnessedWorkers();
    cell.witnesses.recordStored(['a', 'b', 'c']);
    cell.accept(100, 'c', 'd', 'e');
    assert.deepEqual(cell.witnesses.takeChange(2_000), ['c', 'd', 'e']);
    assert.equal(cell.word(200, 0), 'noQuorum');
    // The same list is stored again until its record is known to be there.
    cell.accept(100, 'f');
    assert.deepEqual(cell.witnesses.takeChange(9_000), ['c', 'd', 'e']);
    cell.witnesses.recordStored(['c', 'd', 'e']);
    assert.equal(cell.word(200, 0), 'quorum');
  });

  // Guards against a record that grows with the cell, and against a quorum in
  // one zone, which is lost with that zone.
  test('are at most 15, of all zones', () => {
    const cell = new WitnessedWorkers();
    const ids = Array.from({length: 60}, (_unused, index) => `w${index}`);
    cell.accept(100, ...ids);
    const selected = cell.witnesses.takeChange(0) ?? [];
    assert.equal(selected.length, 15);
    for (const zone of ZONES) {
      const ofZone = selected.filter(id => cell.workers.get(id)?.zone === zone);
      assert.equal(ofZone.length, 5);
    }
    cell.witnesses.recordStored(selected);
    assert.equal(cell.witnesses.takeChange(5_000), undefined);
  });
});

describe('a successor', () => {
  // Guards against a successor that starts tasks again which an earlier leader,
  // with most witnesses, still runs.
  test('knows the earlier leaders to have ended with half of the witnesses', () => {
    const cell = new WitnessedWorkers();
    const {witnesses} = cell;
    witnesses.recordStored(['a', 'b', 'c']);
    witnesses.beginTerm();
    assert.equal(witnesses.areInherited, true);
    cell.accept(100, 'a', 'd', 'e');
    witnesses.review(200);
    assert.equal(witnesses.informedAt, undefined);
    cell.accept(300, 'c');
    witnesses.review(400);
    assert.equal(witnesses.informedAt, 400);
  });

  // Guards against a list of its own that takes the place of the one which
  // earlier leaders heed.
  test('asks the witnesses of the leaders before it', () => {
    const cell = new WitnessedWorkers();
    const {witnesses} = cell;
    witnesses.recordStored(['a', 'b', 'c']);
    witnesses.beginTerm();
    witnesses.recordStored(['d']);
    cell.accept(100, 'd');
    witnesses.review(200);
    assert.equal(witnesses.informedAt, undefined);
  });
});
