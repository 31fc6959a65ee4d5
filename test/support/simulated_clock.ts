import type * as clock from '../../src/machines/clock.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';

interface Timer {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** Microtask turns after which the code under test has come to rest. */
const MICROTASK_TURNS = 40;

/** Simulated time: pauses end in order when a test advances it. */
export class SimulatedClock implements clock.Clock, jobJournal.DelayTimer {
  private timeMs = 0;
  private timers: Timer[] = [];

  now(): number {
    return this.timeMs;
  }

  pause(milliseconds: number): Promise<void> {
    return new Promise(resolve =>
      this.runAt(this.timeMs + milliseconds, resolve),
    );
  }

  /** Runs a callback at a time. */
  runAt(dueAtMs: number, run: () => void): void {
    const position = this.timers.findIndex(timer => timer.dueAtMs > dueAtMs);
    const timer = {dueAtMs, run};
    if (position < 0) this.timers.push(timer);
    else this.timers.splice(position, 0, timer);
  }

  /** Runs a callback again and again. */
  runEvery(milliseconds: number, run: () => void): void {
    this.runAt(this.timeMs + milliseconds, () => {
      run();
      this.runEvery(milliseconds, run);
    });
  }

  /** Lets time pass and everything happen that is due meanwhile. */
  async advance(milliseconds: number): Promise<void> {
    const until = this.timeMs + milliseconds;
    await drainMicrotasks();
    for (;;) {
      const next = this.timers[0];
      if (next === undefined || next.dueAtMs > until) break;
      this.timers.shift();
      this.timeMs = Math.max(this.timeMs, next.dueAtMs);
      next.run();
      await drainMicrotasks();
    }
    this.timeMs = until;
  }
}

async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
}
