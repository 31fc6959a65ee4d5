import type * as clock from '../machines/clock.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Steps of a takeover, with the names of their histograms. */
const STEP_METRICS = {
  journalOpened: 'takeover_journal_opened',
  journalRead: 'takeover_journal_read',
  firstReport: 'takeover_first_report',
  earlierRunsKnown: 'takeover_earlier_runs_known',
} as const;

/**
 * Amount of the journal whose arrival counts as progress. A link that carries
 * less in the time allowed for a step is too slow to take over.
 */
const READ_PART_BYTES = 32_768;

/** Step of a takeover from earlier terms. */
export type TakeoverStep = keyof typeof STEP_METRICS;

/** Logs and measures the steps of a takeover from the start of its term. */
export class TakeoverTimeline {
  private readonly completed = new Set<TakeoverStep>();
  private readonly startedAt: clock.Milliseconds;
  private lastCompletedAt: clock.Milliseconds;
  /** Bytes of the journal that the present read has brought. */
  private readBytes = 0;
  /** Most bytes that any read has brought; a repeat is no progress. */
  private maximumReadBytes = 0;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    this.startedAt = options.clock.now();
    this.lastCompletedAt = this.startedAt;
  }

  /** Number of completed steps and of parts of the journal that were read. */
  get progressCount(): number {
    const partCount = Math.floor(this.maximumReadBytes / READ_PART_BYTES);
    return this.completed.size + partCount;
  }

  /** Begins to read the journal, again if an earlier read has failed. */
  beginRead(): void {
    this.readBytes = 0;
  }

  /** Records that a part of the journal has arrived. */
  recordPart(byteCount: number): void {
    this.readBytes += byteCount;
    this.maximumReadBytes = Math.max(this.maximumReadBytes, this.readBytes);
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
