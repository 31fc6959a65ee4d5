import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';

/** Time for which a run has to last so that its end is no quick failure. */
const SOUND_RUN_MS = 10_000;

/** Delay of the second restart after a quick failure; the first has none. */
const FIRST_DELAY_MS = 500;

/** Longest delay; callers see a task as lost after six seconds without a run. */
const MAXIMUM_DELAY_MS = 4_000;

/**
 * Spaces the restarts of tasks that last and end soon after each start. The
 * first restart is immediate; each further one waits twice as long.
 */
export class RestartBackoff {
  private readonly quickFailures = new WeakMap<jobTask.JobTask, number>();
  private readonly delayed = new Map<jobTask.JobTask, clock.Milliseconds>();

  /** Records that a run has ended by itself; returns the restart's delay. */
  runEnded(task: jobTask.JobTask, now: clock.Milliseconds): number {
    const isSound = now - task.lastStartedAt >= SOUND_RUN_MS;
    const failures = isSound ? 0 : (this.quickFailures.get(task) ?? 0) + 1;
    this.quickFailures.set(task, failures);
    const delayMs = delayAfter(failures);
    if (delayMs > 0) {
      task.delayStart('backoff');
      this.delayed.set(task, now + delayMs);
    }
    return delayMs;
  }

  /** Lets the tasks start whose delay is over; returns whether there are any. */
  review(now: clock.Milliseconds): boolean {
    let released = false;
    for (const [task, dueAt] of this.delayed) {
      if (now < dueAt) continue;
      this.delayed.delete(task);
      task.allowStart('backoff');
      released = true;
    }
    return released;
  }
}

function delayAfter(quickFailures: number): number {
  if (quickFailures < 2) return 0;
  return Math.min(MAXIMUM_DELAY_MS, FIRST_DELAY_MS * 2 ** (quickFailures - 2));
}
