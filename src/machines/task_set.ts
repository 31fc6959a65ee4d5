import type * as trackedTask from './tracked_task.js';

/** Tracked tasks, indexed by name and by worker. */
export class TaskSet {
  private readonly tasks = new Map<string, trackedTask.TrackedTask>();
  private readonly byWorker = new Map<string, Set<string>>();

  get(name: string): trackedTask.TrackedTask | undefined {
    return this.tasks.get(name);
  }

  /** Adds a task or replaces its record. */
  put(tracked: trackedTask.TrackedTask): void {
    this.tasks.set(tracked.task, tracked);
    const names = this.byWorker.get(tracked.worker.name);
    if (names !== undefined) names.add(tracked.task);
    else this.byWorker.set(tracked.worker.name, new Set([tracked.task]));
  }

  /** Removes a task and releases its reservation. */
  remove(tracked: trackedTask.TrackedTask): void {
    this.tasks.delete(tracked.task);
    tracked.worker.release(tracked.task);
    const names = this.byWorker.get(tracked.worker.name);
    names?.delete(tracked.task);
    if (names?.size === 0) this.byWorker.delete(tracked.worker.name);
  }

  /** Returns a copy of the tasks on a worker; the set may change meanwhile. */
  onWorker(worker: string): ReadonlyArray<trackedTask.TrackedTask> {
    const found: trackedTask.TrackedTask[] = [];
    for (const name of this.byWorker.get(worker) ?? []) {
      const tracked = this.tasks.get(name);
      if (tracked !== undefined) found.push(tracked);
    }
    return found;
  }

  /** Returns the names of the workers that have tasks. */
  workerNames(): ReadonlyArray<string> {
    return [...this.byWorker.keys()];
  }
}
