import type * as clock from './clock.js';

/** Kind of work of the scheduler on the event loop. */
export type SchedulerWork =
  | 'admission'
  | 'advice'
  | 'evacuation'
  | 'forecast'
  | 'placement'
  | 'reports'
  | 'runReview'
  | 'starts'
  | 'workerReview';

/** What opened a stretch of work on the event loop. */
export type LoopEntry =
  /** A request of a caller. */
  | 'callerRequests'
  /** Calls of other members, by kind. */
  | 'pingCalls'
  | 'submitCalls'
  | 'screenCalls'
  | 'stateCalls'
  | 'otherCalls'
  /** Replies to calls of this process: of members, and by HTTP. */
  | 'memberReplies'
  | 'workerReplies'
  | 'storeReplies'
  | 'adviceReplies'
  /** The process's timer, and work deferred to the next turn. */
  | 'ticks'
  | 'deferred'
  /** Work before the first entry. */
  | 'startup';

/** Kind of work on the event loop. */
export type LoopWork = SchedulerWork | LoopEntry;

/** Times since the last reading. */
export interface MeasuredTimes {
  /** Each part of the busy time counts for one kind. */
  readonly byWork: ReadonlyMap<LoopWork, clock.Milliseconds>;
  /** Time of the garbage collector, which is part of the times above. */
  readonly collectorMs: clock.Milliseconds;
}

/**
 * Measures the time that the event loop spends on each kind of work. Work of the
 * scheduler is measured from its start to its end. All other busy time counts
 * for the last entry: libraries work on in callbacks that can't be measured one
 * by one, and most of them belong to the message that was read last.
 */
export class LoopMeter {
  private timesByWork = new Map<LoopWork, clock.Milliseconds>();
  private collectorMs = 0;
  /** Time of the work measured inside the present one. */
  private innerMs = 0;
  private entry: LoopEntry = 'startup';
  private busyAtEntryMs = 0;
  /** Time of the measured work since the last entry. */
  private measuredSinceEntryMs = 0;

  constructor(
    private readonly clock: clock.Clock,
    /** Returns for how long the loop has been busy since its start. */
    private readonly readBusyMs: () => clock.Milliseconds = () => 0,
  ) {}

  /** Counts the busy time from now on for an entry, until the next one. */
  enter(entry: LoopEntry): void {
    const busyMs = this.readBusyMs();
    const entryMs = busyMs - this.busyAtEntryMs - this.measuredSinceEntryMs;
    if (entryMs > 0) this.add(this.entry, entryMs);
    this.entry = entry;
    this.busyAtEntryMs = busyMs;
    this.measuredSinceEntryMs = 0;
  }

  /** Runs work and counts its time. */
  measure<Result>(work: SchedulerWork, run: () => Result): Result {
    const startedAt = this.clock.now();
    const outerInnerMs = this.innerMs;
    this.innerMs = 0;
    try {
      return run();
    } finally {
      const elapsedMs = this.clock.now() - startedAt;
      const ownMs = elapsedMs - this.innerMs;
      this.add(work, ownMs);
      this.measuredSinceEntryMs += ownMs;
      this.innerMs = outerInnerMs + elapsedMs;
    }
  }

  /** Counts time of the garbage collector. */
  recordCollection(milliseconds: clock.Milliseconds): void {
    this.collectorMs += milliseconds;
  }

  /** Returns the times since the last call. */
  take(): MeasuredTimes {
    this.enter(this.entry);
    const taken = {byWork: this.timesByWork, collectorMs: this.collectorMs};
    this.timesByWork = new Map();
    this.collectorMs = 0;
    return taken;
  }

  private add(work: LoopWork, milliseconds: clock.Milliseconds): void {
    const known = this.timesByWork.get(work) ?? 0;
    this.timesByWork.set(work, known + milliseconds);
  }
}
