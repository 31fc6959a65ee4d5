import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as endCursor from '../../src/machines/end_cursor.js';

const {describe, test} = nodeTest;

describe('the cursor of run ends', () => {
  // Guards against an end that a worker forgets before it is stored.
  test('does not pass a report that is not stored', () => {
    const cursor = new endCursor.EndCursor();
    const firstStored = cursor.handle(3);
    const secondStored = cursor.handle(5);
    secondStored();
    assert.equal(cursor.storedNumber, 0);
    assert.equal(cursor.handledNumber, 5);
    firstStored();
    assert.equal(cursor.storedNumber, 5);
  });

  // Guards against ends that are sent again although they are stored.
  test('passes each report that is stored', () => {
    const cursor = new endCursor.EndCursor();
    cursor.handle(3)();
    assert.equal(cursor.storedNumber, 3);
    const nextStored = cursor.handle(4);
    assert.equal(cursor.storedNumber, 3);
    nextStored();
    assert.equal(cursor.storedNumber, 4);
  });

  // Guards against an acknowledgement that is sent again after the worker has
  // confirmed it, and against one that is not repeated although it got lost.
  test('acknowledges each number until it is confirmed', () => {
    const cursor = new endCursor.EndCursor();
    cursor.handle(3)();
    assert.equal(cursor.unconfirmedNumber, 3);
    cursor.confirm(0);
    assert.equal(cursor.unconfirmedNumber, 3);
    cursor.confirm(3);
    assert.equal(cursor.unconfirmedNumber, 0);
    cursor.handle(4)();
    assert.equal(cursor.unconfirmedNumber, 4);
  });
});
