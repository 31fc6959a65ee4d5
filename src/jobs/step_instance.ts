import * as jobTask from './job_task.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';

/** One step of one occurrence of a job. */
export class StepInstance {
  readonly tasks: ReadonlyArray<jobTask.JobTask>;
  /** When the step became ready; undefined before. */
  readyAt: clock.Milliseconds | undefined;
  private doneTaskCount = 0;
  private waitingTasks: number;
  private readonly durationsMs: number[] = [];
  /** The median of the first `sampleCount` durations. */
  private median:
    {readonly sampleCount: number; readonly milliseconds: number} | undefined;

  constructor(
    readonly jobRecord: jobRecord.JobRecord,
    readonly occurrence: number,
    readonly position: number,
    readonly definition: job.Step,
  ) {
    this.waitingTasks = definition.count;
    this.tasks = Array.from(
      {length: definition.count},
      (_unused, index) =>
        new jobTask.JobTask(this, index, `${this.name}.${index}`),
    );
  }

  /** Job, occurrence and position in the platform's notation. */
  get name(): string {
    return `${this.jobRecord.definition.id}.${this.occurrence}.${this.position}`;
  }

  /** Whether runs can be preempted: they resume from a checkpoint. */
  get isPreemptible(): boolean {
    const {checkpointing, gang, longRunning} = this.definition;
    return checkpointing && !gang && !longRunning;
  }

  /** Whether failed runs count as attempts; tasks that last have no limit. */
  get countsFailures(): boolean {
    return !this.definition.longRunning;
  }

  get done(): boolean {
    return this.doneTaskCount === this.tasks.length;
  }

  get doneCount(): number {
    return this.doneTaskCount;
  }

  /** Number of tasks that are not done and have no run. */
  get waitingTaskCount(): number {
    return this.waitingTasks;
  }

  /**
   * Whether tasks wait that may be started. All members of a gang's earlier run
   * must have ended before its next run starts.
   */
  get hasStartableTasks(): boolean {
    if (this.definition.gang) return this.waitingTasks === this.tasks.length;
    return this.waitingTasks > 0;
  }

  /** Counts a task that waits again because its last run has ended. */
  taskWaits(): void {
    this.waitingTasks += 1;
  }

  /** Counts a task that no longer waits. */
  taskStoppedWaiting(): void {
    this.waitingTasks -= 1;
  }

  /** Marks a task as done; repeated calls do nothing. */
  markDone(task: jobTask.JobTask): void {
    if (task.done) return;
    if (task.waiting) this.taskStoppedWaiting();
    task.done = true;
    this.doneTaskCount += 1;
  }

  /** Records the duration of a successful run. */
  recordDuration(milliseconds: number): void {
    this.durationsMs.push(milliseconds);
  }

  /** Returns the median duration; undefined before `doneShare` succeeded. */
  medianDurationMs(doneShare: number): number | undefined {
    const {length} = this.durationsMs;
    if (length === 0 || length < doneShare * this.tasks.length) {
      return undefined;
    }
    if (this.median?.sampleCount !== length) {
      const sorted = [...this.durationsMs].sort((left, right) => left - right);
      const milliseconds = sorted[Math.floor(length / 2)];
      this.median = {sampleCount: length, milliseconds};
    }
    return this.median.milliseconds;
  }

  /** Returns the share of work left for the least advanced task, 0 to 1. */
  remainingShare(): number {
    let largestShare = 0;
    for (const task of this.tasks) {
      if (task.done) continue;
      const progressPercent = Math.max(
        0,
        ...task.assignments.map(assignment => assignment.progressPercent),
      );
      largestShare = Math.max(largestShare, 1 - progressPercent / 100);
    }
    return largestShare;
  }

  /** Returns when the last task should end; Infinity while any task waits. */
  expectedEndAt(runtimeMs: number): clock.Milliseconds {
    let latestEndAt = -Infinity;
    for (const task of this.tasks) {
      if (task.done) continue;
      if (task.assignments.length === 0) return Infinity;
      const [first] = task.assignments;
      const endAt = first.startedAt + runtimeMs;
      latestEndAt = Math.max(latestEndAt, endAt);
    }
    return latestEndAt;
  }
}
