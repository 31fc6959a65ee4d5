import type * as task from '../contracts/task.js';

/**
 * Time between the first report that lists a task as ended and the abort of a
 * call that still waits for its answer; the connection then counts as silent.
 */
const OVERDUE_TIMEOUT_MS = 2_000;

interface PendingAnswer {
  readonly abortController: AbortController;
  /** Time of the first report that lists the task as ended. */
  reportedEndedAtMs: number | undefined;
}

/**
 * Tracks the calls that wait for the answer of a task and aborts those on
 * silent connections. Such a call may take as long as the task, so no timeout
 * can detect a silent connection; the reports of the worker can, at the cost
 * of no further call.
 */
export class PendingAnswerTracker {
  private readonly pendingByWorker = new Map<
    string,
    Map<string, PendingAnswer>
  >();

  /** Tracks a call; the returned signal aborts it when it is overdue. */
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

  /** Stops tracking a call, unless a later call for the task replaced it. */
  untrack(worker: string, taskName: string, signal: AbortSignal): void {
    const pendingByTask = this.pendingByWorker.get(worker);
    if (pendingByTask?.get(taskName)?.abortController.signal !== signal) return;
    pendingByTask.delete(taskName);
    if (pendingByTask.size === 0) this.pendingByWorker.delete(worker);
  }

  /** Aborts calls for tasks that ended too long ago; returns their number. */
  abortOverdue(report: task.WorkerReport, nowMs: number): number {
    const pendingByTask = this.pendingByWorker.get(report.worker);
    if (pendingByTask === undefined) return 0;
    let abortedCount = 0;
    for (const taskReport of report.tasks) {
      const pending = pendingByTask.get(taskReport.task);
      if (pending === undefined || taskReport.state === 'running') continue;
      pending.reportedEndedAtMs ??= nowMs;
      if (nowMs - pending.reportedEndedAtMs < OVERDUE_TIMEOUT_MS) continue;
      pending.abortController.abort(
        new Error('no answer although the worker reports the task as ended'),
      );
      abortedCount += 1;
    }
    return abortedCount;
  }
}
