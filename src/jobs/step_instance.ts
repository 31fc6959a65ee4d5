import * as jobTask from './job_task.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';

/** One step of one occurrence of a job. */
export class StepInstance {
  readonly tasks: ReadonlyArray<jobTask.JobTask>;
  /** When the step's turn came, once it has. */
  readyAt: clock.Milliseconds | undefined;
  private doneTaskCount = 0;
  private readonly durationsMs: number[] = [];

  constructor(
    readonly owner: jobRecord.JobRecord,
    readonly occurrence: number,
    readonly position: number,
    readonly definition: job.Step,
  ) {
    this.tasks = Array.from(
      {length: definition.count},
      (_unused, index) =>
        new jobTask.JobTask(this, index, `${this.name}.${index}`),
    );
  }

  /** Job, occurrence and position, as the platform spells them. */
  get name(): string {
    return `${this.owner.definition.id}.${this.occurrence}.${this.position}`;
  }

  get done(): boolean {
    return this.doneTaskCount === this.tasks.length;
  }

  get doneCount(): number {
    return this.doneTaskCount;
  }

  /** Marks one task as done; a second call for it does nothing. */
  markDone(task: jobTask.JobTask): void {
    if (task.done) return;
    task.done = true;
    this.doneTaskCount += 1;
  }

  /** Notes how long a task took that succeeded. */
  recordDuration(milliseconds: number): void {
    this.durationsMs.push(milliseconds);
  }

  /** Median duration once a share of the tasks is done; undefined before. */
  medianDurationMs(doneShare: number): number | undefined {
    const {length} = this.durationsMs;
    if (length === 0 || length < doneShare * this.tasks.length) {
      return undefined;
    }
    const sorted = [...this.durationsMs].sort((left, right) => left - right);
    return sorted[Math.floor(length / 2)];
  }

  /** Part of the work that its least advanced task has left, 0 to 1. */
  remainingShare(): number {
    let left = 0;
    for (const task of this.tasks) {
      if (task.done) continue;
      const percent = Math.max(
        0,
        ...task.assignments.map(assignment => assignment.progressPercent),
      );
      left = Math.max(left, 1 - percent / 100);
    }
    return left;
  }

  /** When the last task ends if all take so long; Infinity while one waits. */
  expectedEndAt(runtimeMs: number): clock.Milliseconds {
    let latest = -Infinity;
    for (const task of this.tasks) {
      if (task.done) continue;
      if (task.assignments.length === 0) return Infinity;
      const [first] = task.assignments;
      const end = first.startedAt + runtimeMs;
      latest = Math.max(latest, end);
    }
    return latest;
  }
}
