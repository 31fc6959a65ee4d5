import type * as clock from './clock.js';
import type * as resources from './resources.js';
import type * as placement from '../contracts/placement.js';
import type * as task from '../contracts/task.js';
import type * as worker from './worker.js';

/**
 * State of a tracked task. `reserved`: capacity is reserved, no start was sent.
 * `starting`: the start is not answered yet. `unknown`: the answer to the start
 * was lost. `fetchingAnswer`: the task ended and its answer is being fetched.
 * `unresolved`: it may have run on a worker that no longer reports.
 */
export type TrackedState =
  | 'reserved'
  | 'starting'
  | 'unknown'
  | 'running'
  | 'fetchingAnswer'
  | 'unresolved';

/** Final state of a task, as far as it is known. */
export type TaskEndState =
  | Exclude<task.TaskState, 'running'>
  /** The task ran, but its answer is lost. */
  | 'answerLost'
  /** It can no longer be determined whether the task ran. */
  | 'unresolved';

/** Record of a task in the runner; replaced as a whole on each change. */
export interface TrackedTask {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly worker: worker.Worker;
  readonly state: TrackedState;
  readonly size: resources.Resources;
  readonly payload: string;
  /** Number of tasks of its request; 0 for an adopted task. */
  readonly taskCount: number;
  /** Latest lease end that the worker may have been given, on its clock. */
  readonly leaseEnd: clock.Milliseconds;
  /** Local time at which the start became known. */
  readonly startedAt: clock.Milliseconds | undefined;
  /** Whether the task is to be stopped as soon as it runs. */
  readonly stopping: boolean;
  /** When the pending answer fetch was sent; -Infinity if there is none. */
  readonly fetchedAt: clock.Milliseconds;
  /** Consecutive reports that should have listed the task but did not. */
  readonly missingReports: number;
  /** Local time at which the task became unresolved; Infinity otherwise. */
  readonly unresolvedAt: clock.Milliseconds;
  /**
   * Whether `leaseEnd` refers to the worker's present clock. After a restart of
   * the worker it does not, and a report cannot prove that the task never ran.
   */
  readonly leaseEndValid: boolean;
}

/** Name, label and worker of a task, as given in its outcomes. */
export interface TaskReference {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly worker: string;
}

/** Change in the state of a task, on which the caller of the runner acts. */
export type TaskOutcome =
  | {
      readonly kind: 'started' | 'adopted' | 'unknown';
      readonly reference: TaskReference;
    }
  | {
      /** The task is proved neither to run now nor to start later. */
      readonly kind: 'notRun';
      readonly reference: TaskReference;
      readonly detail: string;
      /** Whether a start had been sent. */
      readonly sent: boolean;
    }
  | {
      readonly kind: 'ended';
      readonly reference: TaskReference;
      readonly end: TaskEndState;
      readonly answer: string;
    };

/** Returns the reference of a task for its outcomes. */
export function reference(tracked: TrackedTask): TaskReference {
  return {
    task: tracked.task,
    label: tracked.label,
    worker: tracked.worker.name,
  };
}

const NOT_STARTED = {
  state: 'reserved',
  leaseEnd: -Infinity,
  startedAt: undefined,
  stopping: false,
  fetchedAt: -Infinity,
  missingReports: 0,
  unresolvedAt: Infinity,
  leaseEndValid: true,
} as const;

/** Builds a task whose capacity is reserved and whose start is not yet sent. */
export function reservedTask(placement: placement.Placement): TrackedTask {
  const {request} = placement;
  return {
    ...NOT_STARTED,
    task: placement.task,
    label: {
      identity: request.identity,
      client: request.client,
      team: request.team,
      workload: request.workload.name,
      idempotent: request.workload.idempotent,
      worth: request.workload.worth,
    },
    worker: placement.worker,
    size: placement.size,
    payload: request.payload,
    taskCount: request.taskCount,
  };
}

/** Builds a task that a report requested at `sentAt` lists as running. */
export function adoptedTask(
  target: worker.Worker,
  listed: task.TaskReport,
  sentAt: clock.Milliseconds,
): TrackedTask {
  return {
    ...NOT_STARTED,
    task: listed.task,
    label: listed.label,
    worker: target,
    state: 'running',
    size: listed.size,
    payload: '',
    taskCount: 0,
    leaseEnd: listed.leaseEnd,
    startedAt: sentAt,
  };
}

/** Returns whether the next report determines the state of a task. */
export function awaitsReport(known: TrackedTask): boolean {
  return known.state !== 'running' || known.fetchedAt === -Infinity;
}
