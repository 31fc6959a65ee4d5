import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as clock from '../src/machines/clock.js';
import * as effect from '../src/contracts/effect.js';
import * as loop from '../src/loop.js';
import * as wait from './support/wait.js';
import type * as event from '../src/contracts/event.js';

/** Records events and effects, and responds as the test defines. */
class Recorder implements loop.EventHandler, loop.EffectPerformer {
  readonly handled: event.Event[] = [];
  readonly performed: effect.Effect[] = [];
  due = Infinity;
  respond: (taken: event.Event) => ReadonlyArray<effect.Effect> = () => [];

  handle(taken: event.Event): ReadonlyArray<effect.Effect> {
    this.handled.push(taken);
    return this.respond(taken);
  }

  nextDeadline(): number {
    return this.due;
  }

  perform(wanted: effect.Effect): void {
    this.performed.push(wanted);
  }
}

function reportFailed(worker: string): event.Event {
  return {kind: 'reportFailed', worker};
}

nodeTest.describe('event loop', () => {
  nodeTest.test('events are handled in order, one per turn', async () => {
    const recorder = new Recorder();
    const running = new loop.Loop(recorder, recorder, new clock.SystemClock());
    recorder.respond = taken => {
      if (recorder.handled.length === 1) running.post(reportFailed('c'));
      return [effect.count(taken.kind)];
    };
    running.post(reportFailed('a'));
    running.post(reportFailed('b'));
    assert.equal(recorder.handled.length, 0);
    await Promise.resolve();
    assert.deepEqual(recorder.handled, ['a', 'b', 'c'].map(reportFailed));
    assert.equal(recorder.performed.length, 3);
    running.stop();
  });

  // Guards against an event whose exception stops the loop permanently.
  nodeTest.test('an exception is reported and later turns run', async () => {
    const recorder = new Recorder();
    const running = new loop.Loop(recorder, recorder, new clock.SystemClock());
    recorder.respond = () => {
      if (recorder.handled.length === 1) throw new Error('bad turn');
      return [];
    };
    running.post(reportFailed('a'));
    await Promise.resolve();
    running.post(reportFailed('b'));
    await Promise.resolve();
    assert.deepEqual(recorder.handled, ['a', 'b'].map(reportFailed));
    assert.deepEqual(
      recorder.performed.map(item => item.kind),
      ['count', 'log'],
    );
    running.stop();
  });

  nodeTest.test('timePassed is posted at the handler deadline', async () => {
    const recorder = new Recorder();
    const time = new clock.SystemClock();
    const running = new loop.Loop(recorder, recorder, time);
    recorder.due = time.now() + 20;
    recorder.respond = taken => {
      if (taken.kind === 'timePassed') recorder.due = Infinity;
      return [];
    };
    running.post(reportFailed('a'));
    await wait.until('the timer', async () => recorder.handled[1]);
    assert.deepEqual(recorder.handled[1], {kind: 'timePassed'});
    running.stop();
  });
});
