import type * as schedulerOptions from '../../src/jobs/scheduler_options.js';

/** Counters whose counts a test can read. */
export class RecordedCounters implements schedulerOptions.Counters {
  private readonly counts = new Map<string, number>();

  count(name: string, reason: string): void {
    const key = `${name} ${reason}`;
    this.counts.set(key, this.get(name, reason) + 1);
  }

  observe(): void {}

  /** Returns the count of one reason; 0 if nothing was counted. */
  get(name: string, reason: string): number {
    return this.counts.get(`${name} ${reason}`) ?? 0;
  }

  /** Returns the reasons that were counted under a name. */
  reasons(name: string): ReadonlyArray<string> {
    return [...this.counts.keys()]
      .filter(key => key.startsWith(`${name} `))
      .map(key => key.slice(name.length + 1));
  }
}
