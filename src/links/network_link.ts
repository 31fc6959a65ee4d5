import type * as clock from '../machines/clock.js';
import type * as linkLoad from '../machines/link_load.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Interval over which the use of the link is measured. */
const REPORT_INTERVAL_MS = 1_000;

/** Share of the link's rate from which its use is logged. */
const LOGGED_UTILIZATION = 0.7;

const MS_PER_SECOND = 1_000;

/**
 * The VM's network link, as far as this process uses it. It counts the bytes of
 * calls by their kind, and models the queue of bytes that have been handed to
 * the kernel and that the link has not carried yet, which no call shows.
 */
export class NetworkLink implements linkLoad.LinkLoadSource {
  private sendsUntil: clock.Milliseconds = -Infinity;
  private sentBytes = 0;
  private receivedBytes = 0;
  private reportedAt: clock.Milliseconds;

  constructor(
    private readonly clock: clock.Clock,
    private readonly bytesPerSecond: number,
    private readonly log: schedulerOptions.EventLog,
    private readonly counters: schedulerOptions.Counters,
  ) {
    this.reportedAt = clock.now();
  }

  /** Time until the link has carried everything that was sent. */
  get sendDelayMs(): clock.Milliseconds {
    return Math.max(0, this.sendsUntil - this.clock.now());
  }

  /** Records that a call hands bytes to the link. */
  recordSent(kind: string, byteCount: number): void {
    this.sentBytes += byteCount;
    this.counters.count('bytes_sent', kind, byteCount);
    const now = this.clock.now();
    const sendMs = (MS_PER_SECOND * byteCount) / this.bytesPerSecond;
    this.sendsUntil = Math.max(now, this.sendsUntil) + sendMs;
  }

  /** Records the bytes of a response. */
  recordReceived(kind: string, byteCount: number): void {
    this.receivedBytes += byteCount;
    this.counters.count('bytes_received', kind, byteCount);
  }

  /** Logs the use of a busy link; called several times a second. */
  tick(): void {
    const now = this.clock.now();
    const elapsedMs = now - this.reportedAt;
    if (elapsedMs < REPORT_INTERVAL_MS) return;
    const capacity = (this.bytesPerSecond * elapsedMs) / MS_PER_SECOND;
    const sent = this.sentBytes / capacity;
    const received = this.receivedBytes / capacity;
    this.sentBytes = 0;
    this.receivedBytes = 0;
    this.reportedAt = now;
    if (Math.max(sent, received) < LOGGED_UTILIZATION) return;
    this.log.event('info', 'linkBusy', {
      sentShare: Number(sent.toFixed(2)),
      receivedShare: Number(received.toFixed(2)),
      sendDelayMs: Math.round(this.sendDelayMs),
    });
  }
}
