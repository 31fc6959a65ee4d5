import type * as clock from '../machines/clock.js';

/**
 * Time for which a refusal is in force. It covers an earlier call with the same
 * id that is still on its way, and ends before the caller may return.
 */
const REFUSAL_FORCE_MS = 1_000;

/** Time for which a refused job is remembered. */
const REFUSAL_MEMORY_MS = 30_000;

/** Times of the first and the last refusal of a job. */
interface Refusals {
  readonly firstAt: clock.Milliseconds;
  readonly lastAt: clock.Milliseconds;
}

/**
 * Jobs that were refused lately. A call that was overtaken by a later one must
 * not be accepted after the caller was told that the job never runs.
 */
export class RecentRefusals {
  /** In the order of the last refusals. */
  private readonly byId = new Map<string, Refusals>();

  add(id: string, now: clock.Milliseconds): void {
    const firstAt = this.byId.get(id)?.firstAt ?? now;
    this.byId.delete(id);
    this.byId.set(id, {firstAt, lastAt: now});
  }

  /** Returns when a job first arrived; undefined if it was not refused. */
  firstRefusedAt(id: string): clock.Milliseconds | undefined {
    return this.byId.get(id)?.firstAt;
  }

  /** Returns whether a refusal still rules out that the job is accepted. */
  isInForce(id: string, now: clock.Milliseconds): boolean {
    const refusedAt = this.byId.get(id)?.lastAt ?? -Infinity;
    return now - refusedAt < REFUSAL_FORCE_MS;
  }

  /** Forgets jobs whose caller has given up. */
  review(now: clock.Milliseconds): void {
    for (const [id, {lastAt}] of this.byId) {
      if (now - lastAt < REFUSAL_MEMORY_MS) return;
      this.byId.delete(id);
    }
  }
}
