import * as stepInstance from './step_instance.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobTask from './job_task.js';

/** Progress of one step of a job. */
export interface StepProgress {
  readonly occurrence: number;
  readonly position: number;
  /** Indexes of the completed tasks. */
  readonly done: ReadonlyArray<number>;
  /** Task index and run number of each failed run. */
  readonly failed: ReadonlyArray<readonly [number, number]>;
  /** Task index and checkpoint of tasks that can resume. */
  readonly checkpoints: ReadonlyArray<readonly [number, string]>;
}

/** Stored state of a job apart from its definition. */
export interface JobProgress {
  readonly outcome: 'open' | 'completed' | 'failed' | 'cancelled';
  readonly started: boolean;
  readonly steps: ReadonlyArray<StepProgress>;
}

/** A job with its steps, tasks and outcome. */
export class JobRecord {
  readonly steps: stepInstance.StepInstance[] = [];
  outcome: JobProgress['outcome'] = 'open';
  /** The outcome that the platform's store has confirmed. */
  storedOutcome: JobProgress['outcome'] = 'open';
  /** Whether the definition is stored; only then is the job accepted. */
  accepted = false;
  started = false;
  /** Whether an earlier term may have started runs that are not known. */
  fromEarlierTerm = false;
  /** When the final outcome was stored. */
  settledAt: clock.Milliseconds | undefined;
  private nextOccurrence = 0;

  constructor(
    readonly definition: job.JobDefinition,
    readonly arrivedAt: clock.Milliseconds,
  ) {
    if (definition.schedule === undefined) this.openOccurrence();
  }

  get longRunning(): boolean {
    return this.definition.steps.some(step => step.longRunning);
  }

  get occurrenceCount(): number {
    return this.definition.schedule?.occurrences ?? 1;
  }

  /** Unix time at which the next occurrence is due; Infinity if none is. */
  get nextDueUnixMs(): number {
    const {schedule} = this.definition;
    if (!schedule || this.nextOccurrence >= schedule.occurrences) {
      return Infinity;
    }
    return schedule.startAtMs + this.nextOccurrence * schedule.intervalMs;
  }

  /** Adds the steps of the next occurrence. */
  openOccurrence(): void {
    const occurrence = this.nextOccurrence;
    this.nextOccurrence += 1;
    const opened = this.definition.steps.map(
      (step, position) =>
        new stepInstance.StepInstance(this, occurrence, position, step),
    );
    this.steps.push(...opened);
  }

  stepAt(
    occurrence: number,
    position: number,
  ): stepInstance.StepInstance | undefined {
    const stepCount = this.definition.steps.length;
    return this.steps[occurrence * stepCount + position];
  }

  /** Returns the steps of the same occurrence that depend on a step. */
  dependents(
    instance: stepInstance.StepInstance,
  ): ReadonlyArray<stepInstance.StepInstance> {
    return this.steps.filter(
      other =>
        other.occurrence === instance.occurrence &&
        other.definition.after.includes(instance.position),
    );
  }

  /** Returns whether all steps that a step depends on are done. */
  isReady(instance: stepInstance.StepInstance): boolean {
    return instance.definition.after.every(
      position => this.stepAt(instance.occurrence, position)?.done === true,
    );
  }

  get allDone(): boolean {
    return (
      this.nextOccurrence === this.occurrenceCount &&
      this.steps.every(instance => instance.done)
    );
  }

  /** State as reported to callers; an outcome counts once it is stored. */
  get state(): job.JobState {
    if (this.storedOutcome !== 'open') return this.storedOutcome;
    return this.started ? 'running' : 'queued';
  }

  *assignments(): Iterable<jobTask.Assignment> {
    for (const instance of this.steps) {
      for (const task of instance.tasks) yield* task.assignments;
    }
  }

  /** Progress to store; once the job has settled, that of its steps is over. */
  progress(): JobProgress {
    const {outcome, started} = this;
    if (outcome !== 'open') return {outcome, started, steps: []};
    const steps = this.steps.map(instance => progressOf(instance));
    return {
      outcome,
      started,
      steps: steps.filter(
        step =>
          step.done.length + step.failed.length > 0 ||
          step.checkpoints.length > 0,
      ),
    };
  }

  /** Restores progress that an earlier term stored. */
  restore(progress: JobProgress): void {
    this.outcome = progress.outcome;
    this.storedOutcome = progress.outcome;
    this.started = progress.started;
    for (const stored of progress.steps) {
      while (this.nextOccurrence <= stored.occurrence) this.openOccurrence();
      const instance = this.stepAt(stored.occurrence, stored.position);
      if (instance !== undefined) restoreStep(instance, stored);
    }
  }
}

function progressOf(instance: stepInstance.StepInstance): StepProgress {
  const done: number[] = [];
  const failed: Array<readonly [number, number]> = [];
  const checkpoints: Array<readonly [number, string]> = [];
  for (const task of instance.tasks) {
    if (task.done) done.push(task.index);
    for (const run of task.failedRuns) failed.push([task.index, run]);
    if (task.checkpoint !== '' && !task.done) {
      checkpoints.push([task.index, task.checkpoint]);
    }
  }
  const {occurrence, position} = instance;
  return {occurrence, position, done, failed, checkpoints};
}

function restoreStep(
  instance: stepInstance.StepInstance,
  stored: StepProgress,
): void {
  for (const index of stored.done) {
    const task = instance.tasks[index];
    if (task !== undefined) instance.markDone(task);
  }
  for (const [index, run] of stored.failed) {
    const task = instance.tasks[index];
    if (task === undefined) continue;
    task.highestRun = Math.max(task.highestRun, run);
    // Earlier versions also stored failures that do not count.
    if (instance.countsFailures) task.addFailure(run);
  }
  for (const [index, checkpoint] of stored.checkpoints) {
    const task = instance.tasks[index];
    if (task !== undefined) task.checkpoint = checkpoint;
  }
}
