import * as stepInstance from './step_instance.js';
import * as unansweredStarts from './unanswered_starts.js';
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
  /**
   * Task index and worker of each run that may go on, for tasks that last. A run
   * is listed before its start is sent.
   */
  readonly placements?: ReadonlyArray<readonly [number, string]>;
}

/** First and last of a range of a job's occurrences. */
export type OccurrenceRange = readonly [first: number, last: number];

/** Stored state of a job apart from its definition. */
export interface JobProgress {
  readonly outcome: 'open' | 'completed' | 'failed' | 'cancelled';
  readonly started: boolean;
  readonly steps: ReadonlyArray<StepProgress>;
  /** Occurrences that are done and whose steps are not listed. */
  readonly doneOccurrences?: ReadonlyArray<OccurrenceRange>;
  /** Starts without an answer that may arrive late or run unseen. */
  readonly unansweredStarts?: ReadonlyArray<unansweredStarts.UnansweredStart>;
  /** Whether any other task may have such a start, too. */
  readonly hasMoreUnansweredStarts?: boolean;
}

/**
 * Most tasks of done occurrences that a record lists one by one. Ranges take
 * their place from then on. Earlier versions of the program don't read ranges
 * and would run these occurrences again, so shorter lists stay as they were.
 */
const MAXIMUM_LISTED_DONE_TASKS = 2_000;

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
  /** Tasks with a start that got no answer. */
  readonly unansweredStarts = new unansweredStarts.UnansweredStarts();
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
    if (position >= stepCount) return undefined;
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

  /** Records that the present placements are being stored. */
  markPlacementsSent(): void {
    for (const task of this.lastingTasks()) task.markWorkersSent();
  }

  /** Records that the last sent placements are stored. */
  markPlacementsStored(): void {
    for (const task of this.lastingTasks()) task.markWorkersStored();
  }

  /** Returns the tasks that run until the job is cancelled. */
  *lastingTasks(): Iterable<jobTask.JobTask> {
    for (const {definition, tasks} of this.steps) {
      if (definition.longRunning) yield* tasks;
    }
  }

  /** Progress to store. */
  progress(now: clock.Milliseconds): JobProgress {
    const progress = this.progressOfSteps();
    const {tasks, isIncomplete} = this.unansweredStarts.list(now);
    if (tasks.length === 0) return progress;
    const listed = {...progress, unansweredStarts: tasks};
    return isIncomplete ? {...listed, hasMoreUnansweredStarts: true} : listed;
  }

  /** Progress of the steps; once the job has settled, it is over. */
  private progressOfSteps(): JobProgress {
    const {outcome, started} = this;
    if (outcome !== 'open') return {outcome, started, steps: []};
    const doneOccurrences = this.doneOccurrences();
    const steps = this.listedSteps(doneOccurrences)
      .map(instance => progressOf(instance))
      .filter(
        step =>
          step.done.length + step.failed.length > 0 ||
          step.checkpoints.length > 0 ||
          step.placements !== undefined,
      );
    if (doneOccurrences.length === 0) return {outcome, started, steps};
    return {outcome, started, steps, doneOccurrences};
  }

  /** Restores progress that an earlier term stored. */
  restore(progress: JobProgress): void {
    this.outcome = progress.outcome;
    this.storedOutcome = progress.outcome;
    this.started = progress.started;
    for (const [first, last] of progress.doneOccurrences ?? []) {
      this.openThrough(last);
      const steps = this.stepsOf(first, last);
      for (const step of steps) markAllDone(step);
    }
    for (const stored of progress.steps) {
      this.openThrough(stored.occurrence);
      const instance = this.stepAt(stored.occurrence, stored.position);
      if (instance !== undefined) restoreStep(instance, stored);
    }
    this.restoreUnansweredStarts(progress.unansweredStarts ?? []);
    if (progress.hasMoreUnansweredStarts === true) {
      this.assumeUnansweredStarts();
    }
  }

  /** Takes every task for one with a start that got no answer. */
  private assumeUnansweredStarts(): void {
    const listed = new Set(this.unansweredStarts.tasks);
    for (const instance of this.steps) {
      for (const task of instance.tasks) {
        if (!listed.has(task)) this.unansweredStarts.inherit(task, []);
      }
    }
  }

  private restoreUnansweredStarts(
    starts: ReadonlyArray<unansweredStarts.UnansweredStart>,
  ): void {
    for (const {occurrence, position, index, workers} of starts) {
      while (this.nextOccurrence <= occurrence) this.openOccurrence();
      const task = this.stepAt(occurrence, position)?.tasks[index];
      if (task === undefined) continue;
      this.unansweredStarts.inherit(task, workers);
    }
  }

  /**
   * Opens the occurrences up to a stored number, but none beyond those that the
   * job has: the record may not belong to this definition.
   */
  private openThrough(last: number): void {
    const end = Math.min(last, this.occurrenceCount - 1);
    while (this.nextOccurrence <= end) this.openOccurrence();
  }

  /** Returns the done occurrences; none while their tasks are few. */
  private doneOccurrences(): ReadonlyArray<OccurrenceRange> {
    const ranges: Array<[first: number, last: number]> = [];
    let taskCount = 0;
    for (let number = 0; number < this.nextOccurrence; number += 1) {
      const steps = this.stepsOf(number, number);
      if (!steps.every(step => step.done)) continue;
      for (const step of steps) taskCount += step.tasks.length;
      const lastRange = ranges.at(-1);
      if (lastRange?.[1] === number - 1) lastRange[1] = number;
      else ranges.push([number, number]);
    }
    return taskCount > MAXIMUM_LISTED_DONE_TASKS ? ranges : [];
  }

  /** Returns the steps of all occurrences outside some ranges. */
  private listedSteps(
    ranges: ReadonlyArray<OccurrenceRange>,
  ): ReadonlyArray<stepInstance.StepInstance> {
    const listed: stepInstance.StepInstance[] = [];
    let position = 0;
    for (const [first, last] of ranges) {
      listed.push(...this.stepsOf(position, first - 1));
      position = last + 1;
    }
    return [...listed, ...this.stepsOf(position, this.nextOccurrence - 1)];
  }

  /** Returns the steps of the occurrences `first` to `last`. */
  private stepsOf(
    first: number,
    last: number,
  ): ReadonlyArray<stepInstance.StepInstance> {
    const stepCount = this.definition.steps.length;
    return this.steps.slice(first * stepCount, (last + 1) * stepCount);
  }
}

function markAllDone(instance: stepInstance.StepInstance): void {
  for (const task of instance.tasks) instance.markDone(task);
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
  const progress = {occurrence, position, done, failed, checkpoints};
  const placements = placementsOf(instance);
  return placements.length > 0 ? {...progress, placements} : progress;
}

/** Returns the workers that may run the tasks of a step that lasts. */
function placementsOf(
  instance: stepInstance.StepInstance,
): ReadonlyArray<readonly [number, string]> {
  if (!instance.definition.longRunning) return [];
  return instance.tasks.flatMap(task =>
    [...task.workerIds].map(worker => [task.index, worker] as const),
  );
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
  for (const [index, worker] of stored.placements ?? []) {
    const task = instance.tasks[index];
    task?.restoreWorkers(new Set([...task.earlierWorkers, worker]));
  }
}
