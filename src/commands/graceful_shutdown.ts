import * as timers from 'node:timers/promises';
import * as result from '../result.js';
import type * as callerServer from '../links/caller_server.js';
import type * as sinks from '../operations/sinks.js';

/**
 * Longest time from the signal to the last calls, so that the process ends
 * within 30 s.
 */
const SHUTDOWN_DEADLINE_MS = 25_000;

/** Time for the balancer to see that the process is not ready any more. */
const READINESS_NOTICE_MS = 1_000;

/** Time for calls that are still open once no request is left here. */
const CALL_GRACE_MS = 2_000;

/** Time for callers to read their answers; one may not read at all. */
const CLOSE_TIMEOUT_MS = 4_000;

/** Time between looks at what is left to do. */
const STATUS_POLL_INTERVAL_MS = 50;

/** Time for the loop to answer a look. */
const STATUS_TIMEOUT_MS = 1_000;

interface Remaining {
  readonly unfinished: number;
  /** Whether the zone has recorded that this process left. */
  readonly left: boolean;
}

/** Ends a process without cutting off a request in progress. */
export class GracefulShutdown {
  constructor(
    private readonly callers: callerServer.CallerServer,
    private readonly logs: sinks.LogSink,
  ) {}

  /** Resolves when the callers' connections are closed and the process may end. */
  async run(): Promise<void> {
    const started = performance.now();
    const deadline = started + SHUTDOWN_DEADLINE_MS;
    this.logs.log('info', 'draining', {});
    this.callers.beginDrain();
    void this.callers.postAndWait(
      call => ({kind: 'drainArrived', call}),
      SHUTDOWN_DEADLINE_MS,
    );
    await timers.setTimeout(READINESS_NOTICE_MS);
    const remaining = await this.waitUntilLeft(deadline);
    // What is open now concerns requests of other homes.
    const {code} = result.RESULT_CODES.unknownOutcome;
    const detail = 'this process is shutting down; ask another';
    await Promise.race([
      this.callers.closeWithReply({code, detail}, CALL_GRACE_MS),
      timers.setTimeout(CLOSE_TIMEOUT_MS),
    ]);
    const clean = remaining.left && remaining.unfinished === 0;
    this.logs.log(clean ? 'info' : 'warn', 'drained', {
      ...remaining,
      durationMs: Math.round(performance.now() - started),
    });
  }

  /** Returns what is left when all is done, or at the deadline. */
  private async waitUntilLeft(deadline: number): Promise<Remaining> {
    for (;;) {
      const remaining = await this.readRemaining();
      if (remaining.left) return remaining;
      if (performance.now() >= deadline) return remaining;
      await timers.setTimeout(STATUS_POLL_INTERVAL_MS);
    }
  }

  private async readRemaining(): Promise<Remaining> {
    const reply = await this.callers.postAndWait(
      call => ({kind: 'statusArrived', call}),
      STATUS_TIMEOUT_MS,
    );
    const content = (reply?.content ?? {}) as Readonly<Record<string, unknown>>;
    return {
      // Without an answer nothing is known to be finished.
      unfinished: Number(content['unfinished'] ?? 1),
      left: content['left'] === true,
    };
  }
}
