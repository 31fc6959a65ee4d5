import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as requestTable from './request_table.js';
import type * as trackedTask from '../machines/tracked_task.js';

/** Where one task of an attempt stands. */
export interface AttemptTask {
  readonly task: string;
  readonly worker: string;
  readonly state:
    'held' | 'starting' | 'running' | 'unknown' | 'notRun' | 'ended';
  /** Latest lease end of the start, on the worker's clock. */
  readonly leaseBound: clock.Milliseconds;
  /** Whether a start was sent. */
  readonly sent: boolean;
  readonly end?: trackedTask.TaskEndState;
  readonly answer: string;
  readonly detail: string;
}

/** What follows from the end of all tasks of an attempt. */
export type Conclusion =
  | {
      /** Nothing runs any more, and the request may be placed again. */
      readonly kind: 'again';
      /** Whether a start was spent, which the retry budget has to cover. */
      readonly spent: boolean;
      readonly reason: string;
      /** The end when it may not be placed again. */
      readonly otherwise: requestTable.RequestOutcome;
    }
  | {readonly kind: 'ended'; readonly ending: requestTable.RequestOutcome};

/** The tasks of one placement of a request; they start together. */
export class Attempt {
  private readonly byName = new Map<string, AttemptTask>();
  /** Numbers of journal entries that are not yet recorded. */
  private readonly unrecorded = new Set<number>();
  private hasRun = false;

  constructor(
    readonly request: request.Request,
    readonly number: number,
    readonly begunAt: clock.Milliseconds,
  ) {}

  /** All tasks in the order of their placement. */
  tasks(): ReadonlyArray<AttemptTask> {
    return [...this.byName.values()];
  }

  put(task: AttemptTask): void {
    this.byName.set(task.task, task);
  }

  /** Changes a task; returns whether it was found. */
  change(name: string, change: Partial<AttemptTask>): boolean {
    const known = this.byName.get(name);
    if (known === undefined) return false;
    this.byName.set(name, {...known, ...change});
    return true;
  }

  /** Takes a task out that is replaced by another. */
  remove(name: string): void {
    this.byName.delete(name);
  }

  /** Notes a journal entry that has to be recorded before the start. */
  awaitRecord(number: number): void {
    this.unrecorded.add(number);
  }

  /** Notes a recorded entry; true when it was the last one. */
  recorded(number: number): boolean {
    return this.unrecorded.delete(number) && this.unrecorded.size === 0;
  }

  /** Whether an entry is still unrecorded. */
  get recording(): boolean {
    return this.unrecorded.size > 0;
  }

  /** Notes that all tasks run; true the first time. */
  noteRunning(): boolean {
    const first = !this.hasRun;
    this.hasRun = true;
    return first;
  }

  /** Whether no task runs or may run. */
  get over(): boolean {
    return this.tasks().every(
      task => task.state === 'ended' || task.state === 'notRun',
    );
  }
}

/** Concludes from the ends of all tasks what becomes of the request. */
export function conclude(
  tasks: ReadonlyArray<AttemptTask>,
  idempotent: boolean,
  cancelled: boolean,
): Conclusion {
  if (tasks.every(task => task.state === 'notRun')) {
    return concludeNotRun(tasks, cancelled);
  }
  if (tasks.every(task => task.end === 'finished')) {
    return {kind: 'ended', ending: ending('ok', '', joinAnswers(tasks))};
  }
  const worst = worstEnding(tasks);
  if (cancelled || !idempotent || worst.result === 'outcomeLost') {
    return {kind: 'ended', ending: worst};
  }
  const unfinished = tasks.filter(task => task.end !== 'finished');
  return {
    kind: 'again',
    spent: !unfinished.every(task => task.end === 'checkpointed'),
    reason: unfinished[0].end ?? 'startNotRun',
    otherwise: worst,
  };
}

function concludeNotRun(
  tasks: ReadonlyArray<AttemptTask>,
  cancelled: boolean,
): Conclusion {
  if (cancelled) {
    return {kind: 'ended', ending: ending('cancelled', '', '')};
  }
  const detail = tasks.find(task => task.detail !== '')?.detail ?? '';
  return {
    kind: 'again',
    spent: tasks.some(task => task.sent),
    reason: 'startNotRun',
    otherwise: ending('retryBudgetSpent', detail, ''),
  };
}

function worstEnding(
  tasks: ReadonlyArray<AttemptTask>,
): requestTable.RequestOutcome {
  const unresolved = tasks.find(task => task.end === 'unresolved');
  if (unresolved !== undefined) {
    return ending('outcomeLost', `task ${unresolved.task}`, '');
  }
  const failed = tasks.find(task => task.end === 'failed');
  if (failed !== undefined) {
    return ending('taskFailed', `task ${failed.task}`, failed.answer);
  }
  const answerLost = tasks.find(task => task.end === 'answerLost');
  if (answerLost !== undefined) {
    return ending('answerLost', `task ${answerLost.task}`, '');
  }
  const stopped = tasks.find(task => task.end !== 'finished');
  const end = stopped?.end ?? 'not run';
  return ending('taskStopped', `task ${stopped?.task}: ${end}`, '');
}

/** Several answers are joined as a JSON array in the order of the tasks. */
function joinAnswers(tasks: ReadonlyArray<AttemptTask>): string {
  if (tasks.length === 1) return tasks[0].answer;
  return JSON.stringify(tasks.map(task => task.answer));
}

function ending(
  result: requestTable.RequestOutcome['result'],
  detail: string,
  answer: string,
): requestTable.RequestOutcome {
  return {result, detail, answer};
}
