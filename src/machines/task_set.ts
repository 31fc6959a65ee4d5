import type * as trackedTask from './tracked_task.js';

/** The tasks that a process follows, by name and by worker. */
export class TaskSet {
  private readonly tasks = new Map<string, trackedTask.TrackedTask>();
  private readonly byWorker = new Map<string, Set<string>>();

  get(name: string): trackedTask.TrackedTask | undefined {
    return this.tasks.get(name);
  }

  /** Adds a task or replaces what is known of it. */
  put(tracked: trackedTask.TrackedTask): void {
    this.tasks.set(tracked.task, tracked);
    const names = this.byWorker.get(tracked.worker.name);
    if (names !== undefined) names.add(tracked.task);
    else this.byWorker.set(tracked.worker.name, new Set([tracked.task]));
  }

  /** Forgets a task and gives back its room. */
  remove(tracked: trackedTask.TrackedTask): void {
    this.tasks.delete(tracked.task);
    tracked.worker.release(tracked.task);
    const names = this.byWorker.get(tracked.worker.name);
    names?.delete(tracked.task);
    if (names?.size === 0) this.byWorker.delete(tracked.worker.name);
  }

  /** Tasks on a worker, as a copy that may be changed while it is walked. */
  onWorker(worker: string): ReadonlyArray<trackedTask.TrackedTask> {
    const found: trackedTask.TrackedTask[] = [];
    for (const name of this.byWorker.get(worker) ?? []) {
      const tracked = this.tasks.get(name);
      if (tracked !== undefined) found.push(tracked);
    }
    return found;
  }

  /** Names of the workers with tasks. */
  workerNames(): ReadonlyArray<string> {
    return [...this.byWorker.keys()];
  }
}
