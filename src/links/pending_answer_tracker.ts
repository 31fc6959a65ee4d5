import type * as task from '../contracts/task.js';

/**
 * Time for which a worker may list a task as ended while its answer is still
 * awaited; after it, the connection counts as silent.
 */
const OVERDUE_TIMEOUT_MS = 2_000;

interface PendingAnswer {
  readonly abort: AbortController;
  /** When a report first listed the task as ended. */
  endedAt: number | undefined;
}

/**
 * Finds connections that went silent while an answer was awaited. Such a wait
 * may be as long as the task, so no deadline can tell; the worker's reports
 * can, without any call of their own.
 */
export class PendingAnswerTracker {
  private readonly fetches = new Map<string, Map<string, PendingAnswer>>();

  /** Begins to watch; the signal ends the call when it is overdue. */
  begin(worker: string, taskName: string): AbortSignal {
    const open: PendingAnswer = {
      abort: new AbortController(),
      endedAt: undefined,
    };
    const ofWorker =
      this.fetches.get(worker) ?? new Map<string, PendingAnswer>();
    ofWorker.set(taskName, open);
    this.fetches.set(worker, ofWorker);
    return open.abort.signal;
  }

  /** Ends the watch of one call. */
  end(worker: string, taskName: string, signal: AbortSignal): void {
    const ofWorker = this.fetches.get(worker);
    if (ofWorker?.get(taskName)?.abort.signal !== signal) return;
    ofWorker.delete(taskName);
    if (ofWorker.size === 0) this.fetches.delete(worker);
  }

  /** Compares a report with the open calls; returns how many it ended. */
  compare(report: task.WorkerReport, now: number): number {
    const ofWorker = this.fetches.get(report.worker);
    if (ofWorker === undefined) return 0;
    let ended = 0;
    for (const listed of report.tasks) {
      const open = ofWorker.get(listed.task);
      if (open === undefined || listed.state === 'running') continue;
      open.endedAt ??= now;
      if (now - open.endedAt < OVERDUE_TIMEOUT_MS) continue;
      open.abort.abort(new Error('the answer is overdue'));
      ended += 1;
    }
    return ended;
  }
}
