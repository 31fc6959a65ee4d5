import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as jobTask from './job_task.js';

/** Share of a response time target above which idle-capacity runs pause. */
const THROTTLE_TARGET_SHARE = 0.8;

/** Share of a response time target below which their limits may rise. */
const RECOVERY_TARGET_SHARE = 0.5;

/** Time that all services must stay below that before limits rise. */
const RECOVERY_DELAY_MS = 2_000;

/** Percentage points by which limits rise at a time. */
const RECOVERY_STEP_PERCENT = 25;

const FULL_PERCENT = 100;

/**
 * Throttles idle-capacity runs on workers whose serving tasks come near their
 * response time targets: pauses them at once and raises their limits in steps.
 */
export class IdleCapacityThrottle {
  private readonly belowTargetSince = new Map<
    remoteWorker.RemoteWorker,
    clock.Milliseconds
  >();

  constructor(
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly dispatcher: dispatcher.Dispatcher,
  ) {}

  /** Adjusts the limits on a worker that has just reported. */
  review(worker: remoteWorker.RemoteWorker, now: clock.Milliseconds): void {
    if (this.assignmentIndex.countIdleCapacityRuns(worker) === 0) {
      this.belowTargetSince.delete(worker);
      return;
    }
    const runs = [...this.assignmentIndex.runsOn(worker)];
    const idleCapacityRuns = runs.filter(
      assignment => assignment.jobTask.step.definition.usesIdleCapacity,
    );
    const highestShare = Math.max(0, ...runs.map(shareOfTarget));
    for (const assignment of idleCapacityRuns) {
      if (assignment.processorPercent !== undefined) continue;
      this.throttle(assignment, initialPercent(assignment, highestShare));
    }
    if (highestShare < RECOVERY_TARGET_SHARE) {
      this.raiseLimits(worker, idleCapacityRuns, now);
      return;
    }
    this.belowTargetSince.delete(worker);
    if (highestShare <= THROTTLE_TARGET_SHARE) return;
    for (const assignment of idleCapacityRuns) this.throttle(assignment, 0);
  }

  private raiseLimits(
    worker: remoteWorker.RemoteWorker,
    idleCapacityRuns: ReadonlyArray<jobTask.Assignment>,
    now: clock.Milliseconds,
  ): void {
    const belowSince = this.belowTargetSince.get(worker) ?? now;
    this.belowTargetSince.set(worker, belowSince);
    if (now - belowSince < RECOVERY_DELAY_MS) return;
    this.belowTargetSince.set(worker, now);
    for (const assignment of idleCapacityRuns) {
      this.throttle(
        assignment,
        Math.min(
          FULL_PERCENT,
          (assignment.processorPercent ?? 0) + RECOVERY_STEP_PERCENT,
        ),
      );
    }
  }

  private throttle(assignment: jobTask.Assignment, percent: number): void {
    if (
      assignment.phase === 'running' &&
      assignment.processorPercent !== percent
    ) {
      this.dispatcher.throttle(assignment, percent);
    }
  }
}

/**
 * Returns the limit of a run that an earlier term may have limited: the one that
 * its worker reports, which it does for tasks that last, or full speed unless a
 * service is near its target.
 */
function initialPercent(
  {jobTask: task, progressPercent}: jobTask.Assignment,
  highestShare: number,
): number {
  if (task.step.definition.longRunning) return progressPercent;
  return highestShare <= THROTTLE_TARGET_SHARE ? FULL_PERCENT : 0;
}

/** Returns tail response time divided by its target; 0 without a target. */
function shareOfTarget(assignment: jobTask.Assignment): number {
  const {targetMs} = assignment.jobTask.step.definition;
  return targetMs === undefined ? 0 : assignment.reportedUsage / targetMs;
}
