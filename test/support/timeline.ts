import type * as clock from '../../src/machines/clock.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';

interface Timer {
  readonly dueAt: number;
  readonly run: () => void;
}

/** Microtask turns after which the code under test has come to rest. */
const TURNS = 40;

/** Simulated time: pauses end in order when a test advances it. */
export class Timeline implements clock.Clock, jobJournal.DelayTimer {
  private time = 0;
  private timers: Timer[] = [];

  now(): number {
    return this.time;
  }

  pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => this.at(this.time + milliseconds, resolve));
  }

  /** Runs a callback at a time. */
  at(dueAt: number, run: () => void): void {
    const position = this.timers.findIndex(timer => timer.dueAt > dueAt);
    const timer = {dueAt, run};
    if (position < 0) this.timers.push(timer);
    else this.timers.splice(position, 0, timer);
  }

  /** Runs a callback again and again. */
  every(milliseconds: number, run: () => void): void {
    this.at(this.time + milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }

  /** Lets time pass and everything happen that is due meanwhile. */
  async advance(milliseconds: number): Promise<void> {
    const until = this.time + milliseconds;
    await settle();
    for (;;) {
      const next = this.timers[0];
      if (next === undefined || next.dueAt > until) break;
      this.timers.shift();
      this.time = Math.max(this.time, next.dueAt);
      next.run();
      await settle();
    }
    this.time = until;
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await Promise.resolve();
}
