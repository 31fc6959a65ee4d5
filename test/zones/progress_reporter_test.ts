import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as progressReporter from '../../src/zones/progress_reporter.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as cellMember from '../../src/zones/cell_member.js';

const {describe, test} = nodeTest;

const PROGRESS: cellMember.LeaderProgress = {
  term: 5,
  leading: true,
  resigning: false,
  takeoverStep: 4,
  hearsMajority: true,
};

const NO_RECORDS: cellMember.CellLogContent = {
  members: [],
  claim: undefined,
  progress: undefined,
  memberOffsets: new Map(),
  leaderRecord: undefined,
};

/** Answer time of the store. */
const ANSWER_MS = 20;

interface SentRecord {
  readonly at: number;
  readonly expectedEnd: number;
}

/** Log that answers each record with the next of the given outcomes. */
class ScriptedLog {
  readonly sent: SentRecord[] = [];
  readonly provedAt: number[] = [];
  readonly readEnds: number[] = [];
  readonly clock = new simulatedClock.SimulatedClock();
  readonly reporter: progressReporter.ProgressReporter;

  constructor(outcomes: ReadonlyArray<cellMember.ProgressOutcome>) {
    const {clock} = this;
    const cellLog = {
      reportProgress: async (
        _progress: cellMember.LeaderProgress,
        expectedEnd: number,
      ) => {
        this.sent.push({at: clock.now(), expectedEnd});
        const outcome =
          outcomes[Math.min(this.sent.length, outcomes.length) - 1];
        await clock.delay(ANSWER_MS);
        return outcome;
      },
    } as unknown as cellMember.CellLog;
    this.reporter = new progressReporter.ProgressReporter({
      cellLog,
      clock,
      onStored: sentAt => this.provedAt.push(sentAt),
      onLogRead: (_content, end) => {
        this.readEnds.push(end);
        this.reporter.report(PROGRESS, end);
      },
    });
    this.reporter.beginTerm(PROGRESS.term);
  }
}

describe('progress reporter', () => {
  // Guards against more load on the store than three records a second, and
  // against members that learn late that a leader resigns.
  test('writes each 300 ms, and at once when the state has changed', async () => {
    const log = new ScriptedLog([{kind: 'stored', end: 8}]);
    log.clock.runEvery(100, () => log.reporter.report(PROGRESS, 7));
    await log.clock.advance(1_000);
    assert.deepEqual(
      log.sent.map(({at}) => at),
      [100, 400, 700, 1_000],
    );
    await log.clock.advance(30);
    log.reporter.report({...PROGRESS, resigning: true}, 8);
    assert.equal(log.sent.at(-1)?.at, 1_030);
  });

  // Guards against leadership that is proved by an answer which was delayed.
  test('proves leadership from when a stored record was sent', async () => {
    const log = new ScriptedLog([
      {kind: 'unavailable'},
      {kind: 'stored', end: 8},
    ]);
    log.clock.runEvery(100, () => log.reporter.report(PROGRESS, 7));
    await log.clock.advance(250);
    assert.deepEqual(log.provedAt, [200]);
    assert.deepEqual(log.sent[1], {at: 200, expectedEnd: 7});
  });

  // Guards against a leader that falls silent after another member's record
  // because its own read of the log is late.
  test('reads the records that preceded one and writes again', async () => {
    const log = new ScriptedLog([
      {kind: 'outdated', content: NO_RECORDS, end: 9},
      {kind: 'stored', end: 10},
    ]);
    log.reporter.report(PROGRESS, 7);
    await log.clock.advance(50);
    assert.deepEqual(log.readEnds, [9]);
    assert.deepEqual(log.sent[1], {at: ANSWER_MS, expectedEnd: 9});
  });

  // Guards against a store that is called as fast as it answers while the log
  // ends below what this process has read of it.
  test('waits an interval after a read that brought nothing new', async () => {
    const log = new ScriptedLog([
      {kind: 'outdated', content: NO_RECORDS, end: 7},
    ]);
    log.clock.runEvery(100, () => log.reporter.report(PROGRESS, 7));
    await log.clock.advance(1_000);
    assert.deepEqual(
      log.sent.map(({at}) => at),
      [100, 400, 700, 1_000],
    );
  });

  // Guards against a leader without pending writes to the journal that does
  // not notice that the store turns it away.
  test('measures how long the store has not answered', async () => {
    const log = new ScriptedLog([{kind: 'unavailable'}]);
    log.clock.runEvery(100, () => log.reporter.report(PROGRESS, 7));
    await log.clock.advance(1_200);
    assert.equal(log.reporter.unansweredMs(1_200), 1_200);
    log.reporter.recordAnswer();
    await log.clock.advance(50);
    assert.ok(log.reporter.unansweredMs(1_250) <= 50);
  });

  // Guards against the replacement of a leader whose loop is so busy that it
  // reads the store's answer late.
  test('counts a call in progress for no longer than it may take', async () => {
    const log = new ScriptedLog([
      {kind: 'stored', end: 8},
      {kind: 'unavailable'},
    ]);
    await log.clock.advance(700);
    log.reporter.report(PROGRESS, 7);
    assert.ok(log.reporter.unansweredMs(2_100) <= 550);
    await log.clock.advance(ANSWER_MS);
    assert.equal(log.reporter.unansweredMs(1_400), 0);
    log.reporter.report({...PROGRESS, resigning: true}, 8);
    await log.clock.advance(ANSWER_MS);
    assert.ok(log.reporter.unansweredMs(2_100) >= 1_300);
  });
});
