import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as requestTable from './request_table.js';
import type * as trackedTask from '../machines/tracked_task.js';

/** State of one task of an attempt. */
export interface AttemptTask {
  readonly task: string;
  readonly worker: string;
  /** `held`: capacity is reserved for the task and no start was sent. */
  readonly state:
    'held' | 'starting' | 'running' | 'unknown' | 'notRun' | 'ended';
  /** Latest possible end of the start's lease, on the worker's clock. */
  readonly leaseBound: clock.Milliseconds;
  /** Whether a start command was sent to the worker. */
  readonly startSent: boolean;
  readonly end?: trackedTask.TaskEndState;
  readonly answer: string;
  readonly detail: string;
}

/** Outcome of an attempt of which all tasks have settled. */
export type AttemptOutcome =
  | {
      /** No task runs any more; the request may be placed again. */
      readonly kind: 'retry';
      /** Whether placing the request again is charged to the retry budget. */
      readonly consumesRetry: boolean;
      readonly reason: string;
      /** Outcome of the request if it may not be placed again. */
      readonly finalOutcome: requestTable.RequestOutcome;
    }
  | {
      readonly kind: 'ended';
      readonly requestOutcome: requestTable.RequestOutcome;
    };

/** One attempt to run a request; its tasks start together. */
export class ExecutionAttempt {
  private readonly tasksByName = new Map<string, AttemptTask>();
  /** Numbers of journal entries that are not yet acknowledged. */
  private readonly unrecordedEntries = new Set<number>();
  private wasMarkedRunning = false;

  constructor(
    readonly request: request.Request,
    readonly attemptNumber: number,
    readonly createdAt: clock.Milliseconds,
  ) {}

  /** Returns all tasks in the order of their placement. */
  tasks(): ReadonlyArray<AttemptTask> {
    return [...this.tasksByName.values()];
  }

  putTask(task: AttemptTask): void {
    this.tasksByName.set(task.task, task);
  }

  /** Updates a task; returns false when the task is unknown. */
  updateTask(name: string, change: Partial<AttemptTask>): boolean {
    const existing = this.tasksByName.get(name);
    if (existing === undefined) return false;
    this.tasksByName.set(name, {...existing, ...change});
    return true;
  }

  /** Removes a task that another one replaces. */
  removeTask(name: string): void {
    this.tasksByName.delete(name);
  }

  /** Adds a journal entry that must be recorded before the tasks start. */
  addUnrecordedEntry(number: number): void {
    this.unrecordedEntries.add(number);
  }

  /** Marks an entry as recorded; returns true when no entry is left. */
  markRecorded(number: number): boolean {
    return (
      this.unrecordedEntries.delete(number) && this.unrecordedEntries.size === 0
    );
  }

  /** Whether at least one journal entry is not yet recorded. */
  get isRecording(): boolean {
    return this.unrecordedEntries.size > 0;
  }

  /** Marks all tasks as running; returns true on the first call. */
  markRunning(): boolean {
    const first = !this.wasMarkedRunning;
    this.wasMarkedRunning = true;
    return first;
  }

  /** Whether no task runs and none can start any more. */
  get isSettled(): boolean {
    return this.tasks().every(
      task => task.state === 'ended' || task.state === 'notRun',
    );
  }
}

/** Determines the outcome of an attempt from the states of its tasks. */
export function determineOutcome(
  tasks: ReadonlyArray<AttemptTask>,
  idempotent: boolean,
  cancelled: boolean,
): AttemptOutcome {
  if (tasks.every(task => task.state === 'notRun')) {
    return determineNotRunOutcome(tasks, cancelled);
  }
  if (tasks.every(task => task.end === 'finished')) {
    return {
      kind: 'ended',
      requestOutcome: buildOutcome('ok', '', joinAnswers(tasks)),
    };
  }
  const worstOutcome = determineWorstOutcome(tasks);
  if (cancelled || !idempotent || worstOutcome.result === 'outcomeLost') {
    return {kind: 'ended', requestOutcome: worstOutcome};
  }
  const unfinished = tasks.filter(task => task.end !== 'finished');
  return {
    kind: 'retry',
    consumesRetry: !unfinished.every(task => task.end === 'checkpointed'),
    reason: unfinished[0].end ?? 'startNotRun',
    finalOutcome: worstOutcome,
  };
}

function determineNotRunOutcome(
  tasks: ReadonlyArray<AttemptTask>,
  cancelled: boolean,
): AttemptOutcome {
  if (cancelled) {
    return {kind: 'ended', requestOutcome: buildOutcome('cancelled', '', '')};
  }
  const detail = tasks.find(task => task.detail !== '')?.detail ?? '';
  return {
    kind: 'retry',
    consumesRetry: tasks.some(task => task.startSent),
    reason: 'startNotRun',
    finalOutcome: buildOutcome('retryBudgetSpent', detail, ''),
  };
}

function determineWorstOutcome(
  tasks: ReadonlyArray<AttemptTask>,
): requestTable.RequestOutcome {
  const unresolved = tasks.find(task => task.end === 'unresolved');
  if (unresolved !== undefined) {
    return buildOutcome('outcomeLost', `task ${unresolved.task}`, '');
  }
  const failed = tasks.find(task => task.end === 'failed');
  if (failed !== undefined) {
    return buildOutcome('taskFailed', `task ${failed.task}`, failed.answer);
  }
  const answerLost = tasks.find(task => task.end === 'answerLost');
  if (answerLost !== undefined) {
    return buildOutcome('answerLost', `task ${answerLost.task}`, '');
  }
  const stopped = tasks.find(task => task.end !== 'finished');
  const endState = stopped?.end ?? 'not run';
  return buildOutcome('taskStopped', `task ${stopped?.task}: ${endState}`, '');
}

/** Joins several answers as a JSON array in the order of the tasks. */
function joinAnswers(tasks: ReadonlyArray<AttemptTask>): string {
  if (tasks.length === 1) return tasks[0].answer;
  return JSON.stringify(tasks.map(task => task.answer));
}

function buildOutcome(
  result: requestTable.RequestOutcome['result'],
  detail: string,
  answer: string,
): requestTable.RequestOutcome {
  return {result, detail, answer};
}
