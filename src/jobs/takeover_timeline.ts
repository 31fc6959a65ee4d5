import type * as clock from '../machines/clock.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Steps of a takeover, with the names of their histograms. */
const STEP_METRICS = {
  journalOpened: 'takeover_journal_opened',
  journalRead: 'takeover_journal_read',
  firstReport: 'takeover_first_report',
  earlierRunsKnown: 'takeover_earlier_runs_known',
} as const;

/** Step of a takeover from earlier terms. */
export type TakeoverStep = keyof typeof STEP_METRICS;

/** Logs and measures the steps of a takeover from the start of its term. */
export class TakeoverTimeline {
  private readonly completed = new Set<TakeoverStep>();
  private readonly startedAt: clock.Milliseconds;
  private lastCompletedAt: clock.Milliseconds;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    this.startedAt = options.clock.now();
    this.lastCompletedAt = this.startedAt;
  }

  /** Number of completed steps. */
  get completedCount(): number {
    return this.completed.size;
  }

  /** Records a step when it is completed for the first time. */
  complete(
    step: TakeoverStep,
    fields: Readonly<Record<string, number | undefined>> = {},
  ): void {
    if (this.completed.has(step)) return;
    this.completed.add(step);
    const now = this.options.clock.now();
    const stepMs = now - this.lastCompletedAt;
    this.lastCompletedAt = now;
    this.options.counters.observe(STEP_METRICS[step], stepMs);
    this.options.log.event('info', 'takeoverStep', {
      term: this.options.term,
      step,
      stepMs: Math.round(stepMs),
      termMs: Math.round(now - this.startedAt),
      ...fields,
    });
  }
}
