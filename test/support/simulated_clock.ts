import type * as clock from '../../src/machines/clock.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as responseTimer from '../../src/machines/response_timer.js';

interface Timer {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** Microtask turns after which all promise callbacks under test have run. */
const MICROTASK_TURNS = 40;

/** Simulated time, in which delays end in order as a test advances it. */
export class SimulatedClock
  implements clock.Clock, jobJournal.DelayTimer, responseTimer.ResponseTimer
{
  private timeMs = 0;
  private timers: Timer[] = [];

  now(): number {
    return this.timeMs;
  }

  delay(milliseconds: number): Promise<void> {
    return new Promise(resolve =>
      this.runAt(this.timeMs + milliseconds, resolve),
    );
  }

  start(
    timeoutMs: number,
    onTimeout: () => void,
  ): responseTimer.ResponseTimeout {
    const dueAtMs = this.timeMs + timeoutMs;
    const isOverdue = (): boolean => this.timeMs >= dueAtMs;
    let isCancelled = false;
    this.runAt(dueAtMs, () => {
      if (!isCancelled) onTimeout();
    });
    return {
      get isOverdue(): boolean {
        return isOverdue();
      },
      cancel: () => (isCancelled = true),
    };
  }

  /** Schedules a callback; callbacks of the same time keep their order. */
  runAt(dueAtMs: number, run: () => void): void {
    const position = this.timers.findIndex(timer => timer.dueAtMs > dueAtMs);
    const timer = {dueAtMs, run};
    if (position < 0) this.timers.push(timer);
    else this.timers.splice(position, 0, timer);
  }

  /** Schedules a callback at a fixed interval, without end. */
  runEvery(milliseconds: number, run: () => void): void {
    this.runAt(this.timeMs + milliseconds, () => {
      run();
      this.runEvery(milliseconds, run);
    });
  }

  /** Advances time and runs the callbacks that fall due, in order. */
  async advance(milliseconds: number): Promise<void> {
    const endMs = this.timeMs + milliseconds;
    await drainMicrotasks();
    for (;;) {
      const next = this.timers[0];
      if (next === undefined || next.dueAtMs > endMs) break;
      this.timers.shift();
      this.timeMs = Math.max(this.timeMs, next.dueAtMs);
      next.run();
      await drainMicrotasks();
    }
    this.timeMs = endMs;
  }
}

async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
}
