import type * as clock from '../machines/clock.js';
import type * as queueTable from './queue_table.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as startForecast from './start_forecast.js';
import type * as startShares from './start_shares.js';

/** Interval of logging what the queues get. */
const REPORT_INTERVAL_MS = 1_000;

/** Most queues that one report names, those with the most demand first. */
const MAXIMUM_REPORTED_QUEUES = 8;

/**
 * Logs, while tasks wait for the scheduler itself, what each queue gets of the
 * starts that it asks for. It tells a scheduler that is too slow apart from one
 * that lacks room or tickets.
 */
export class StartReporter {
  private nextReportAt: clock.Milliseconds = -Infinity;

  constructor(
    private readonly options: schedulerOptions.SchedulerOptions,
    private readonly queues: queueTable.QueueTable,
    private readonly shares: startShares.StartShares,
    private readonly forecast: startForecast.StartForecast,
  ) {}

  /** Logs a line for each queue if it is due; called several times a second. */
  review(now: clock.Milliseconds): void {
    if (now < this.nextReportAt || !this.forecast.startsAreShort) return;
    this.nextReportAt = now + REPORT_INTERVAL_MS;
    const reported = this.shares.all().slice(0, MAXIMUM_REPORTED_QUEUES);
    for (const [queue, {demand, started}] of reported) {
      this.options.log.event('info', 'startsShort', {
        queue: this.queues.labelOf(queue),
        waiting: this.forecast.backlogOf(queue),
        perSecond: Math.round(this.forecast.rateOf(queue)),
        asked: Math.round(demand),
        started: Math.round(started),
      });
    }
  }
}
