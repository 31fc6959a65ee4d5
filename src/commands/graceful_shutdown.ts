import * as timers from 'node:timers/promises';
import * as result from '../result.js';
import type * as callerServer from '../links/caller_server.js';
import type * as sinks from '../operations/sinks.js';

/**
 * Time limit from the signal until the requests have ended; the process must
 * end within 30 s.
 */
const SHUTDOWN_DEADLINE_MS = 25_000;

/** Time for the load balancer to notice that the process is not ready. */
const READINESS_NOTICE_MS = 1_000;

/** Time for calls that are still open after the local requests have ended. */
const CALL_GRACE_MS = 2_000;

/** Time limit for callers to read their answers; a caller may never read. */
const CLOSE_TIMEOUT_MS = 4_000;

/** Interval between reads of the status. */
const STATUS_POLL_INTERVAL_MS = 50;

/** Time limit for the loop to answer a status request. */
const STATUS_TIMEOUT_MS = 1_000;

interface DrainProgress {
  readonly unfinished: number;
  /** Whether the zone has recorded that this process has left. */
  readonly left: boolean;
}

/** Shuts a process down without interrupting requests in progress. */
export class GracefulShutdown {
  constructor(
    private readonly callerServer: callerServer.CallerServer,
    private readonly logs: sinks.LogSink,
  ) {}

  /** Drains the process; resolves when all caller connections are closed. */
  async run(): Promise<void> {
    const startedAtMs = performance.now();
    const deadlineMs = startedAtMs + SHUTDOWN_DEADLINE_MS;
    this.logs.log('info', 'draining', {});
    this.callerServer.beginDrain();
    void this.callerServer.postAndWait(
      call => ({kind: 'drainArrived', call}),
      SHUTDOWN_DEADLINE_MS,
    );
    await timers.setTimeout(READINESS_NOTICE_MS);
    const progress = await this.waitUntilLeft(deadlineMs);
    // The calls still open concern requests that other processes handle.
    const {code} = result.RESULT_CODES.unknownOutcome;
    const detail = 'this process is shutting down; ask another';
    await Promise.race([
      this.callerServer.closeWithReply({code, detail}, CALL_GRACE_MS),
      timers.setTimeout(CLOSE_TIMEOUT_MS),
    ]);
    const clean = progress.left && progress.unfinished === 0;
    this.logs.log(clean ? 'info' : 'warn', 'drained', {
      ...progress,
      durationMs: Math.round(performance.now() - startedAtMs),
    });
  }

  /** Polls until the process has left or the deadline has passed. */
  private async waitUntilLeft(deadlineMs: number): Promise<DrainProgress> {
    for (;;) {
      const progress = await this.readDrainProgress();
      if (progress.left) return progress;
      if (performance.now() >= deadlineMs) return progress;
      await timers.setTimeout(STATUS_POLL_INTERVAL_MS);
    }
  }

  private async readDrainProgress(): Promise<DrainProgress> {
    const reply = await this.callerServer.postAndWait(
      call => ({kind: 'statusArrived', call}),
      STATUS_TIMEOUT_MS,
    );
    const content = (reply?.content ?? {}) as Readonly<Record<string, unknown>>;
    return {
      // Without an answer, assume that a request is still unfinished.
      unfinished: Number(content['unfinished'] ?? 1),
      left: content['left'] === true,
    };
  }
}
