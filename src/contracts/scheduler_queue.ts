import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as requestCoordinator from './request_coordinator.js';
import type * as result from '../result.js';
import type * as scheduler from './scheduler.js';
import type * as placement from './placement.js';
import type * as trackedTask from '../machines/tracked_task.js';

/** Shows the scheduler to the desk and keeps the order of what waits. */
export class SchedulerQueue implements requestCoordinator.CoordinatorQueue {
  private readonly queued = new Map<string, request.Request>();

  constructor(private readonly inner: scheduler.Scheduler) {}

  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): result.Failure | undefined {
    return this.inner.admit(admitted, now).caseOf({
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

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    const placements = this.inner.place(now);
    for (const placed of placements) {
      this.queued.delete(placed.request.identity);
    }
    return placements;
  }

  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void {
    this.inner.observe(outcome, now);
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
    const waiting = this.queued.get(identity);
    return waiting === undefined ? '' : this.inner.explain(waiting);
  }
}
