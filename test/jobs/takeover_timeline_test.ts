import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as takeoverTimeline from '../../src/jobs/takeover_timeline.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as schedulerOptions from '../../src/jobs/scheduler_options.js';

const PART_BYTES = 65_536;

function silentOptions(): schedulerOptions.SchedulerOptions {
  return {
    clock: new simulatedClock.SimulatedClock(),
  } as unknown as schedulerOptions.SchedulerOptions;
}

nodeTest.describe('takeover timeline', () => {
  // Guards against a takeover that others wait for although it only reads the
  // same part of the journal again and again.
  nodeTest.test('counts each part of the journal as progress once', () => {
    const timeline = new takeoverTimeline.TakeoverTimeline(silentOptions());
    timeline.beginRead();
    timeline.recordPart(PART_BYTES);
    const progressCount = timeline.progressCount;
    assert.ok(progressCount > 0);
    timeline.beginRead();
    timeline.recordPart(PART_BYTES);
    assert.equal(timeline.progressCount, progressCount);
    timeline.recordPart(PART_BYTES);
    assert.ok(timeline.progressCount > progressCount);
  });

  // Guards against takeovers that are slow without a trace of which step was.
  nodeTest.test('logs and measures each step once', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const lines: unknown[] = [];
    const durations: unknown[] = [];
    const timeline = new takeoverTimeline.TakeoverTimeline({
      term: 7,
      clock,
      log: {
        event: (_level: string, _name: string, fields: unknown) =>
          lines.push(fields),
      },
      counters: {
        count: () => {},
        observe: (name: string, milliseconds: number) =>
          durations.push([name, milliseconds]),
      },
    } as unknown as schedulerOptions.SchedulerOptions);
    await clock.advance(40);
    timeline.complete('journalOpened');
    await clock.advance(100);
    timeline.complete('journalRead', {records: 12, bytes: 3_400});
    timeline.complete('journalRead');
    assert.equal(timeline.progressCount, 2);
    assert.deepEqual(lines, [
      {term: 7, step: 'journalOpened', stepMs: 40, termMs: 40},
      {
        term: 7,
        step: 'journalRead',
        stepMs: 100,
        termMs: 140,
        records: 12,
        bytes: 3_400,
      },
    ]);
    assert.deepEqual(durations, [
      ['takeover_journal_opened', 40],
      ['takeover_journal_read', 100],
    ]);
  });
});
