import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as requestBuilder from './request_builder.js';
import type * as requestDesk from './request_desk.js';
import type * as result from '../result.js';
import type * as scheduler from './scheduler.js';

/** Shows the scheduler to the desk and keeps the order of what waits. */
export class SchedulerQueue implements requestDesk.DeskQueue {
  private readonly queued = new Map<string, request.Request>();

  constructor(
    private readonly inner: scheduler.Scheduler,
    private readonly documents: requestBuilder.ConfigurationSource,
  ) {}

  admit(admitted: request.Request): result.Failure | undefined {
    const team = this.documents.current().teams.get(admitted.team);
    return this.inner.admit(admitted, team?.queueLimit ?? 0).caseOf({
      Left: (refusal): result.Failure | undefined => refusal,
      Right: () => {
        this.queued.set(admitted.identity, admitted);
        return undefined;
      },
    });
  }

  requeue(returned: request.Request): void {
    this.queued.set(returned.identity, returned);
    this.inner.requeue(returned);
  }

  remove(identity: string): boolean {
    this.queued.delete(identity);
    return this.inner.remove(identity);
  }

  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired = this.inner.takeExpired(now);
    for (const late of expired) this.queued.delete(late.identity);
    return expired;
  }

  place(now: clock.Milliseconds): ReadonlyArray<scheduler.Placement> {
    const placements = this.inner.place(now);
    for (const placed of placements) {
      this.queued.delete(placed.request.identity);
    }
    return placements;
  }

  waitingCount(): number {
    return this.inner.waitingCount();
  }

  waiting(limit: number): ReadonlyArray<request.Request> {
    const first: request.Request[] = [];
    for (const waiting of this.queued.values()) {
      if (first.length >= limit) break;
      first.push(waiting);
    }
    return first;
  }

  explain(identity: string): string {
    if (!this.queued.has(identity)) return '';
    return `${this.inner.waitingCount()} requests wait for room`;
  }
}
