import * as lateStarts from './late_starts.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';

/** Identifies a task of a job. */
export type TaskPosition = readonly [
  occurrence: number,
  step: number,
  index: number,
];

/** Most tasks of a job that its stored progress lists. */
const MAXIMUM_LISTED_TASKS = 200;

/**
 * Tasks of one job that have a start without an answer. The stored progress
 * lists them, so that the next term knows which starts may still be carried out.
 */
export class UnansweredStarts {
  private readonly tasks = new Set<jobTask.JobTask>();

  /** Adds a task; returns false if it is listed already or need not be. */
  add(task: jobTask.JobTask): boolean {
    if (task.step.definition.duplicatesAllowed) return false;
    if (this.tasks.has(task)) return false;
    this.tasks.add(task);
    return true;
  }

  /** Adds a task that an earlier term has listed. */
  inherit(task: jobTask.JobTask, now: clock.Milliseconds): void {
    task.sentStarts.inherit(now);
    this.tasks.add(task);
  }

  /** Returns whether a late start of a task that is not done may run unseen. */
  mayRunUnseen(now: clock.Milliseconds): boolean {
    return [...this.tasks].some(
      task => !task.done && lateStarts.mayRunUnseen(task, now),
    );
  }

  /** Returns the tasks to list; forgets those of which no start can run. */
  listedTasks(now: clock.Milliseconds): ReadonlyArray<TaskPosition> {
    for (const task of this.tasks) {
      if (!task.sentStarts.mayRunUnseen(now)) this.tasks.delete(task);
    }
    return [...this.tasks]
      .slice(0, MAXIMUM_LISTED_TASKS)
      .map(({step, index}) => [step.occurrence, step.position, index]);
  }
}
