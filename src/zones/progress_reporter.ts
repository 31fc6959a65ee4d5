import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** Shortest time between two progress records; the ticks round it up. */
const PROGRESS_INTERVAL_MS = 250;

/**
 * Time within which a progress record must be stored. Two attempts fit into the
 * silence after which members replace the leader.
 */
const RECORD_TIMEOUT_MS = 300;

/** Time from one answer until the next record's call is given up. */
const ANSWER_LIMIT_MS = PROGRESS_INTERVAL_MS + RECORD_TIMEOUT_MS;

/** Dependencies of the progress reporter. */
export interface ProgressReporterOptions {
  readonly cellLog: cellMember.CellLog;
  readonly clock: clock.Clock;
  /** Called with the time at which a stored record was sent, and its content. */
  readonly onStored: (
    sentAt: clock.Milliseconds,
    progress: cellMember.LeaderProgress,
  ) => void;
  /** Called with other records that preceded the leader's. */
  readonly onLogRead: (content: cellMember.CellLogContent, end: number) => void;
}

/**
 * Writes the leader's progress to the cell's log. Each record is conditional
 * on the end of the log that this process has read, so that a stored record
 * also proves that no later claim existed when it was sent.
 */
export class ProgressReporter {
  private nextReportAt = -Infinity;
  /** Until when no record is sent, because the log brought nothing new. */
  private pausedUntil: clock.Milliseconds = -Infinity;
  private reporting = false;
  private lastReported: cellMember.LeaderProgress | undefined;
  /** End of the log after the last claim or record of this process. */
  private writtenEnd = 0;
  /** Whether a call since `answeredAt` was given up or refused. */
  private hasFailedCall = false;
  /** When the store last answered a record or a read of the log. */
  private answeredAt: clock.Milliseconds = -Infinity;

  constructor(private readonly options: ProgressReporterOptions) {}

  /** Starts to report a term, whose claim is the last record it knows. */
  beginTerm(term: number): void {
    this.lastReported = undefined;
    this.writtenEnd = term;
    this.pausedUntil = -Infinity;
    this.recordAnswer();
  }

  /** Writes a record if one is due or the state has changed. */
  report(progress: cellMember.LeaderProgress, logEnd: number): void {
    const now = this.options.clock.now();
    if (this.reporting || now < this.pausedUntil) return;
    const isDue = now >= this.nextReportAt;
    if (isDue || this.hasChanged(progress)) {
      void this.write(progress, Math.max(logEnd, this.writtenEnd));
    }
  }

  /** Records that the store answered this process. */
  recordAnswer(): void {
    this.answeredAt = this.options.clock.now();
    this.hasFailedCall = false;
  }

  /**
   * Returns how long the store has not answered; 0 if no call is pending. Until
   * a call was given up or refused, no more than an interval and a call's
   * timeout: this process may be late and the answer unread.
   */
  unansweredMs(now: clock.Milliseconds): number {
    const elapsedMs = now - this.answeredAt;
    if (this.hasFailedCall) return elapsedMs;
    return this.reporting ? Math.min(elapsedMs, ANSWER_LIMIT_MS) : 0;
  }

  private async write(
    progress: cellMember.LeaderProgress,
    expectedEnd: number,
  ): Promise<void> {
    const {cellLog, clock} = this.options;
    const sentAt = clock.now();
    this.reporting = true;
    const outcome = await cellLog.reportProgress(
      progress,
      expectedEnd,
      RECORD_TIMEOUT_MS,
    );
    this.reporting = false;
    switch (outcome.kind) {
      case 'stored':
        this.recordAnswer();
        this.writtenEnd = outcome.end;
        this.lastReported = progress;
        this.nextReportAt = sentAt + PROGRESS_INTERVAL_MS;
        this.options.onStored(sentAt, progress);
        return;
      case 'outdated':
        // The same condition would fail again as fast as the store answers.
        if (outcome.end <= expectedEnd) {
          this.pausedUntil = sentAt + PROGRESS_INTERVAL_MS;
        }
        this.options.onLogRead(outcome.content, outcome.end);
        return;
      case 'unavailable':
        this.hasFailedCall = true;
    }
  }

  private hasChanged(progress: cellMember.LeaderProgress): boolean {
    const {lastReported} = this;
    return (
      lastReported === undefined ||
      progress.term !== lastReported.term ||
      progress.leading !== lastReported.leading ||
      progress.resigning !== lastReported.resigning ||
      progress.takeoverStep !== lastReported.takeoverStep ||
      progress.hearsMajority !== lastReported.hearsMajority
    );
  }
}
