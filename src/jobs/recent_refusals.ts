import type * as clock from '../machines/clock.js';

/**
 * Time for which a refusal is in force. It covers an earlier call with the same
 * id that is still on its way, and ends before the caller may return.
 */
const REFUSAL_FORCE_MS = 1_000;

/** Time for which a refused job is remembered. */
const REFUSAL_MEMORY_MS = 30_000;

/** First and last refusals of a job. */
interface Refusals<Refusal> {
  readonly firstAt: clock.Milliseconds;
  readonly lastAt: clock.Milliseconds;
  readonly last: Refusal;
}

/**
 * Jobs that were refused lately. A call that was overtaken by a later one must
 * not be accepted after the caller was told that the job never runs.
 */
export class RecentRefusals<Refusal> {
  /** In the order of the last refusals. */
  private readonly byId = new Map<string, Refusals<Refusal>>();

  /** Records a refusal; repeating the one in force does not extend it. */
  add(id: string, refusal: Refusal, now: clock.Milliseconds): void {
    if (refusal === this.inForce(id, now)) return;
    const firstAt = this.byId.get(id)?.firstAt ?? now;
    this.byId.delete(id);
    this.byId.set(id, {firstAt, lastAt: now, last: refusal});
  }

  /** Returns when a job first arrived; undefined if it was not refused. */
  firstRefusedAt(id: string): clock.Milliseconds | undefined {
    return this.byId.get(id)?.firstAt;
  }

  /** Returns the refusal that still rules out that the job is accepted. */
  inForce(id: string, now: clock.Milliseconds): Refusal | undefined {
    const refusals = this.byId.get(id);
    if (refusals === undefined) return undefined;
    return now - refusals.lastAt < REFUSAL_FORCE_MS ? refusals.last : undefined;
  }

  /** Forgets jobs whose caller has given up. */
  review(now: clock.Milliseconds): void {
    for (const [id, {lastAt}] of this.byId) {
      if (now - lastAt < REFUSAL_MEMORY_MS) return;
      this.byId.delete(id);
    }
  }
}
