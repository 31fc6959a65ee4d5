import * as timers from 'node:timers/promises';
import type * as callerServer from '../links/caller_server.js';
import type * as entryLinks from '../links/entry_links.js';

/** Longest time from the signal to the end of the process. */
const SHUTDOWN_DEADLINE_MS = 30_000;

/** Time for the balancer to see that the process is not ready any more. */
const NOTICE_MS = 1_000;

/** Time between looks at what is left to do. */
const LOOK_INTERVAL_MS = 50;

/** Time for the loop to answer a look. */
const LOOK_DEADLINE_MS = 1_000;

interface Remaining {
  readonly unfinished: number;
  readonly unanswered: number;
  /** Whether the zone has recorded that this process left. */
  readonly left: boolean;
}

/** Ends a process without cutting off a request in progress. */
export class GracefulShutdown {
  constructor(
    private readonly callers: callerServer.CallerServer,
    private readonly logs: entryLinks.LogSink,
  ) {}

  /** Turns readiness off and resolves when the process may end. */
  async run(): Promise<void> {
    const started = performance.now();
    const deadline = started + SHUTDOWN_DEADLINE_MS;
    this.logs.log('info', 'draining', {});
    this.callers.beginDrain();
    void this.callers.ask(
      call => ({kind: 'drainArrived', call}),
      SHUTDOWN_DEADLINE_MS,
    );
    await timers.setTimeout(NOTICE_MS);
    const remaining = await this.finish(deadline);
    const clean = remaining.left && remaining.unfinished === 0;
    this.logs.log(clean ? 'info' : 'warn', 'drained', {
      ...remaining,
      durationMs: Math.round(performance.now() - started),
    });
  }

  /** Returns what is left when all is done, or at the deadline. */
  private async finish(deadline: number): Promise<Remaining> {
    for (;;) {
      const remaining = await this.look();
      if (remaining.left && remaining.unanswered === 0) return remaining;
      if (performance.now() >= deadline) return remaining;
      await timers.setTimeout(LOOK_INTERVAL_MS);
    }
  }

  private async look(): Promise<Remaining> {
    const reply = await this.callers.ask(
      call => ({kind: 'statusArrived', call}),
      LOOK_DEADLINE_MS,
    );
    const content = (reply?.content ?? {}) as Readonly<Record<string, unknown>>;
    return {
      // Without an answer nothing is known to be finished.
      unfinished: Number(content['unfinished'] ?? 1),
      unanswered: this.callers.unansweredCount(),
      left: content['left'] === true,
    };
  }
}
