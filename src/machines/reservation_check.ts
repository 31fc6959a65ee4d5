import * as invariant from '../contracts/invariant.js';
import type * as effect from '../contracts/effect.js';
import type * as taskSet from './task_set.js';
import type * as worker from './worker.js';

/** Finds reservations without a tracked task and releases them. */
export class ReservationCheck {
  /**
   * Reservations that had no task in the last check. They are released only by
   * the second check, because a gang may reserve capacity over several turns
   * before its tasks are tracked.
   */
  private readonly unmatchedTasks = new Set<string>();

  constructor(private readonly tasks: taskSet.TaskSet) {}

  /** Checks the reservations on one worker and returns violations found. */
  check(target: worker.Worker): ReadonlyArray<effect.Effect> {
    const violations: effect.Effect[] = [];
    for (const name of target.reservations().keys()) {
      if (this.tasks.get(name) !== undefined) {
        this.unmatchedTasks.delete(name);
      } else if (!this.unmatchedTasks.has(name)) {
        this.unmatchedTasks.add(name);
      } else {
        this.unmatchedTasks.delete(name);
        target.release(name);
        const fields = {task: name, worker: target.name};
        violations.push(...invariant.violation('reservationHasTask', fields));
      }
    }
    return violations;
  }
}
