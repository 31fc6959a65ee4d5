import type * as clock from '../machines/clock.js';
import type * as loopMeter from '../machines/loop_meter.js';
import type * as loopLoads from '../machines/loop_load.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Load of this process's event loop, as last measured. */
export interface LoopLoad {
  /** Share of the time that the loop was busy, from 0 to 1. */
  readonly utilization: number;
  /** Longest delay of a tick, in milliseconds. */
  readonly longestDelayMs: number;
}

/** Interval over which the load is measured. */
const REPORT_INTERVAL_MS = 1_000;

/** Utilization and delay from which a measured load is logged. */
const LOGGED_UTILIZATION = 0.7;
const LOGGED_DELAY_MS = 100;

/**
 * Measures how busy the event loop is, so that a slow process can be told
 * apart from silent peers. It sets no timers; the process calls `tick` from its
 * own.
 */
export class LoopMonitor implements loopLoads.LoopLoadSource {
  private lastTickAt: clock.Milliseconds | undefined;
  private reportedAt: clock.Milliseconds = -Infinity;
  private timesAtReport: loopLoads.LoopTimes;
  private longestDelayMs = 0;
  private lastDelayMs = 0;
  private lastLoad: LoopLoad = {utilization: 0, longestDelayMs: 0};

  constructor(
    private readonly clock: clock.Clock,
    private readonly tickIntervalMs: number,
    /** Returns the loop's times since the start of the process. */
    private readonly readTimes: () => loopLoads.LoopTimes,
    private readonly meter: loopMeter.LoopMeter,
    private readonly log: schedulerOptions.EventLog,
    private readonly counters: schedulerOptions.Counters,
  ) {
    this.timesAtReport = readTimes();
  }

  /** Load over the last whole interval. */
  get load(): LoopLoad {
    return this.lastLoad;
  }

  /** Delay of the last tick, or of the one that is due if that is longer. */
  get delayMs(): clock.Milliseconds {
    if (this.lastTickAt === undefined) return 0;
    const dueAt = this.lastTickAt + this.tickIntervalMs;
    return Math.max(this.lastDelayMs, this.clock.now() - dueAt);
  }

  /** Busy and idle time of the loop since its start. */
  get times(): loopLoads.LoopTimes {
    return this.readTimes();
  }

  /** Records a tick, which was due one interval after the last one. */
  tick(): void {
    const now = this.clock.now();
    if (this.lastTickAt !== undefined) {
      const elapsedMs = now - this.lastTickAt;
      const delayMs = Math.max(0, elapsedMs - this.tickIntervalMs);
      this.lastDelayMs = delayMs;
      this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
      this.counters.observe('loop_delay', delayMs);
    }
    this.lastTickAt = now;
    if (now - this.reportedAt >= REPORT_INTERVAL_MS) this.report(now);
  }

  private report(now: clock.Milliseconds): void {
    const times = this.readTimes();
    const activeMs = times.active - this.timesAtReport.active;
    const idleMs = times.idle - this.timesAtReport.idle;
    const utilization = activeMs / Math.max(activeMs + idleMs, 1);
    const load = {utilization, longestDelayMs: this.longestDelayMs};
    this.timesAtReport = times;
    this.reportedAt = now;
    this.longestDelayMs = 0;
    this.lastLoad = load;
    this.counters.observe('loop_busy_per_second', 1_000 * utilization);
    const timesByWork = this.takeTimesByWork();
    if (isLogged(load)) {
      this.log.event('info', 'loopBusy', {
        utilization: Number(load.utilization.toFixed(2)),
        longestDelayMs: Math.round(load.longestDelayMs),
        ...timesByWork,
      });
    }
  }

  /** Counts the times of each kind of work, and returns them as log fields. */
  private takeTimesByWork(): Readonly<Record<string, number>> {
    const fields: Record<string, number> = {};
    const {byWork, collectorMs} = this.meter.take();
    const times = [...byWork, ['collector', collectorMs] as const];
    for (const [work, milliseconds] of times) {
      this.counters.count('loop_milliseconds', work, milliseconds);
      if (milliseconds >= 1) fields[`${work}Ms`] = Math.round(milliseconds);
    }
    return fields;
  }
}

function isLogged(load: LoopLoad): boolean {
  return (
    load.utilization >= LOGGED_UTILIZATION ||
    load.longestDelayMs >= LOGGED_DELAY_MS
  );
}
