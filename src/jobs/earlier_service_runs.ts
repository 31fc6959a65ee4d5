import type * as jobRecord from './job_record.js';
import type * as jobTask from './job_task.js';
import type * as runRecovery from './run_recovery.js';

/**
 * Holds back the tasks that last until it is known whether a run of an earlier
 * term goes on. The journal names the workers that may run each of them, so a
 * task waits for these alone.
 */
export class EarlierServiceRuns {
  private readonly heldTasks = new Set<jobTask.JobTask>();

  constructor(private readonly recovery: runRecovery.RunRecovery) {}

  /** Adds the tasks of a restored job, which are delayed until they are released. */
  hold(record: jobRecord.JobRecord): void {
    for (const task of record.lastingTasks()) {
      if (task.earlierWorkers.size > 0) this.heldTasks.add(task);
    }
  }

  /** Releases tasks whose workers are known; returns whether there were any. */
  review(): boolean {
    const heldCount = this.heldTasks.size;
    for (const task of this.heldTasks) {
      if (this.mayRun(task)) continue;
      this.heldTasks.delete(task);
      task.earlierWorkers = new Set();
      task.allowStart('earlierRun');
    }
    return this.heldTasks.size < heldCount;
  }

  private mayRun({earlierWorkers}: jobTask.JobTask): boolean {
    return [...earlierWorkers].some(id => this.recovery.hasUnknownRuns(id));
  }
}
