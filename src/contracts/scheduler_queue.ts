import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as requestCoordinator from './request_coordinator.js';
import type * as result from '../result.js';
import type * as requestScheduler from './request_scheduler.js';
import type * as placement from './placement.js';
import type * as trackedTask from '../machines/tracked_task.js';

/** Queue of the scheduler that lists the waiting requests by their arrival. */
export class SchedulerQueue implements requestCoordinator.CoordinatorQueue {
  private readonly waitingRequests = new Map<string, request.Request>();

  constructor(private readonly scheduler: requestScheduler.RequestScheduler) {}

  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): result.Failure | undefined {
    return this.scheduler.admit(admitted, now).caseOf({
      Left: (refusal): result.Failure | undefined => refusal,
      Right: () => {
        this.waitingRequests.set(admitted.identity, admitted);
        return undefined;
      },
    });
  }

  requeue(returned: request.Request): void {
    this.waitingRequests.set(returned.identity, returned);
    this.scheduler.requeue(returned);
  }

  remove(identity: string): boolean {
    this.waitingRequests.delete(identity);
    return this.scheduler.remove(identity);
  }

  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired = this.scheduler.takeExpired(now);
    for (const expiredRequest of expired) {
      this.waitingRequests.delete(expiredRequest.identity);
    }
    return expired;
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    const placements = this.scheduler.place(now);
    for (const placed of placements) {
      this.waitingRequests.delete(placed.request.identity);
    }
    return placements;
  }

  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void {
    this.scheduler.observeOutcome(outcome, now);
  }

  waitingCount(): number {
    return this.scheduler.waitingCount();
  }

  waiting(limit: number): ReadonlyArray<request.Request> {
    const first: request.Request[] = [];
    for (const waiting of this.waitingRequests.values()) {
      if (first.length >= limit) break;
      first.push(waiting);
    }
    return first;
  }

  explain(identity: string): string {
    const waiting = this.waitingRequests.get(identity);
    return waiting === undefined ? '' : this.scheduler.explain(waiting);
  }
}
