import * as lateStarts from './late_starts.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A task of a job and the workers at which its starts may be carried out. */
export interface UnansweredStart {
  readonly occurrence: number;
  readonly position: number;
  readonly index: number;
  readonly workers: ReadonlyArray<string>;
}

/** Most tasks of a job that its stored progress lists one by one. */
const MAXIMUM_LISTED_TASKS = 100;

/** What a job's stored progress says of its starts without an answer. */
export interface UnansweredStartList {
  readonly tasks: ReadonlyArray<UnansweredStart>;
  /** Whether any other task of the job may have such a start, too. */
  readonly isIncomplete: boolean;
}

/**
 * Tasks of one job that have a start without an answer. The stored progress
 * lists them, so that the next term knows which starts may still be carried out.
 */
export class UnansweredStarts {
  private readonly workersByTask = new Map<jobTask.JobTask, Set<string>>();

  /** Adds a start; returns false if it is listed already or need not be. */
  add(task: jobTask.JobTask, workerId: string): boolean {
    if (task.step.definition.duplicatesAllowed) return false;
    const workers = this.workersByTask.get(task) ?? new Set();
    if (workers.has(workerId)) return false;
    workers.add(workerId);
    this.workersByTask.set(task, workers);
    return true;
  }

  /**
   * Adds the starts of a task that an earlier term has listed, at the workers
   * named; none if the list left the task out.
   */
  inherit(task: jobTask.JobTask, workers: ReadonlyArray<string>): void {
    this.workersByTask.set(task, new Set(workers));
  }

  /**
   * Records the inherited starts with their tasks, once the workers are known.
   * No start can arrive at a worker that `findWorker` doesn't return: earlier
   * terms have found that its id is over.
   */
  resolveInherited(
    findWorker: (id: string) => remoteWorker.RemoteWorker | undefined,
    now: clock.Milliseconds,
  ): void {
    for (const [{sentStarts}, workers] of this.workersByTask) {
      if (workers.size === 0) sentStarts.inherit(now, undefined);
      for (const id of workers) {
        const worker = findWorker(id);
        if (worker !== undefined) sentStarts.inherit(now, worker);
      }
    }
  }

  /** The tasks with a start without an answer. */
  get tasks(): ReadonlyArray<jobTask.JobTask> {
    return [...this.workersByTask.keys()];
  }

  /**
   * Returns whether a late start of a task that is not done may run unseen on a
   * worker that no record names.
   */
  mayRunAnywhere(now: clock.Milliseconds): boolean {
    return [...this.workersByTask.keys()].some(
      task => !task.done && lateStarts.mayRunAnywhere(task, now),
    );
  }

  /**
   * Forgets the tasks of which no start can run any more; returns whether there
   * were any.
   */
  expire(now: clock.Milliseconds): boolean {
    const countBefore = this.workersByTask.size;
    for (const task of this.workersByTask.keys()) {
      if (task.sentStarts.mayRunUnseen(now)) continue;
      this.workersByTask.delete(task);
    }
    return this.workersByTask.size < countBefore;
  }

  /** Returns what to list; forgets the tasks of which no start can run. */
  list(now: clock.Milliseconds): UnansweredStartList {
    this.expire(now);
    const tasks = [...this.workersByTask]
      .slice(0, MAXIMUM_LISTED_TASKS)
      .map(([{step, index}, workers]) => ({
        occurrence: step.occurrence,
        position: step.position,
        index,
        workers: [...workers],
      }));
    return {tasks, isIncomplete: this.workersByTask.size > tasks.length};
  }

  /** Whether an earlier term had more such starts than its list names. */
  get isIncomplete(): boolean {
    return [...this.workersByTask.values()].some(({size}) => size === 0);
  }

  /** Whether no task has such a start. */
  get isEmpty(): boolean {
    return this.workersByTask.size === 0;
  }
}
