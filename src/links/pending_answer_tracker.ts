import type * as task from '../contracts/task.js';

/**
 * Time for which a worker may list a task as ended while its answer is still
 * awaited; after it, the connection counts as silent.
 */
const OVERDUE_TIMEOUT_MS = 2_000;

interface PendingAnswer {
  readonly abortController: AbortController;
  /** When a report first listed the task as ended. */
  reportedEndedAtMs: number | undefined;
}

/**
 * Finds connections that went silent while an answer was awaited. Such a wait
 * may be as long as the task, so no deadline can tell; the worker's reports
 * can, without any call of their own.
 */
export class PendingAnswerTracker {
  private readonly pendingByWorker = new Map<
    string,
    Map<string, PendingAnswer>
  >();

  /** Begins to watch; the signal ends the call when it is overdue. */
  track(worker: string, taskName: string): AbortSignal {
    const pending: PendingAnswer = {
      abortController: new AbortController(),
      reportedEndedAtMs: undefined,
    };
    const pendingByTask =
      this.pendingByWorker.get(worker) ?? new Map<string, PendingAnswer>();
    pendingByTask.set(taskName, pending);
    this.pendingByWorker.set(worker, pendingByTask);
    return pending.abortController.signal;
  }

  /** Ends the watch of one call. */
  untrack(worker: string, taskName: string, signal: AbortSignal): void {
    const pendingByTask = this.pendingByWorker.get(worker);
    if (pendingByTask?.get(taskName)?.abortController.signal !== signal) return;
    pendingByTask.delete(taskName);
    if (pendingByTask.size === 0) this.pendingByWorker.delete(worker);
  }

  /** Compares a report with the open calls; returns how many it ended. */
  abortOverdue(report: task.WorkerReport, nowMs: number): number {
    const pendingByTask = this.pendingByWorker.get(report.worker);
    if (pendingByTask === undefined) return 0;
    let abortedCount = 0;
    for (const taskReport of report.tasks) {
      const pending = pendingByTask.get(taskReport.task);
      if (pending === undefined || taskReport.state === 'running') continue;
      pending.reportedEndedAtMs ??= nowMs;
      if (nowMs - pending.reportedEndedAtMs < OVERDUE_TIMEOUT_MS) continue;
      pending.abortController.abort(new Error('the answer is overdue'));
      abortedCount += 1;
    }
    return abortedCount;
  }
}
