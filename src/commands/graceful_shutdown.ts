import * as timers from 'node:timers/promises';
import type * as callerServer from '../links/caller_server.js';
import type * as entryLinks from '../links/entry_links.js';

/** Longest time from the signal to the end of the process. */
const SHUTDOWN_DEADLINE_MS = 30_000;

/** Time for the balancer to see that the process is not ready any more. */
const NOTICE_MS = 1_000;

/** Time for other members to take the workers over. */
const HANDOVER_LIMIT_MS = 5_000;

/** Time between looks at what is left to do. */
const LOOK_INTERVAL_MS = 50;

/** Time for the loop to answer a look. */
const LOOK_DEADLINE_MS = 1_000;

interface Remaining {
  readonly unfinished: number;
  readonly unanswered: number;
  readonly ownedWorkers: number;
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
    const left = await this.finishRequests(deadline);
    await this.handOver(
      Math.min(deadline, performance.now() + HANDOVER_LIMIT_MS),
    );
    this.logs.log(left === 0 ? 'info' : 'warn', 'drained', {
      unfinished: left,
      durationMs: Math.round(performance.now() - started),
    });
  }

  /** Returns how many requests and calls are left at the deadline. */
  private async finishRequests(deadline: number): Promise<number> {
    let left = Infinity;
    while (left > 0 && performance.now() < deadline) {
      const remaining = await this.look();
      left = remaining.unfinished + remaining.unanswered;
      if (left > 0) await timers.setTimeout(LOOK_INTERVAL_MS);
    }
    return left;
  }

  private async handOver(deadline: number): Promise<void> {
    while (performance.now() < deadline) {
      if ((await this.look()).ownedWorkers === 0) return;
      await timers.setTimeout(LOOK_INTERVAL_MS);
    }
  }

  private async look(): Promise<Remaining> {
    const reply = await this.callers.ask(
      call => ({kind: 'statusArrived', call}),
      LOOK_DEADLINE_MS,
    );
    const content = (reply?.content ?? {}) as Readonly<Record<string, unknown>>;
    const owned = content['ownedWorkers'];
    return {
      // Without an answer nothing is known to be finished.
      unfinished: Number(content['unfinished'] ?? 1),
      unanswered: this.callers.unansweredCount(),
      ownedWorkers: Array.isArray(owned) ? owned.length : 0,
    };
  }
}
