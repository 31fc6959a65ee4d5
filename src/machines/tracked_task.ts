import type * as clock from './clock.js';
import type * as resources from './resources.js';
import type * as placement from '../contracts/placement.js';
import type * as task from '../contracts/task.js';
import type * as worker from './worker.js';

/**
 * Where a task stands: `held` has room but no start was sent; `starting` has
 * no start answer; `unknown` lost it; `collecting` ended and its answer is
 * fetched; `unresolved` may have run on a worker that has fallen silent.
 */
export type TrackedState =
  'held' | 'starting' | 'unknown' | 'running' | 'collecting' | 'unresolved';

/** How a task ended, as far as it is known. */
export type TaskEndState =
  | Exclude<task.TaskState, 'running'>
  /** It ran, and its answer is gone. */
  | 'answerLost'
  /** Whether it ran cannot be found out any more. */
  | 'unresolved';

/** What the runner knows of a task; replaced as a whole on each change. */
export interface TrackedTask {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly worker: worker.Worker;
  readonly state: TrackedState;
  readonly size: resources.Resources;
  readonly payload: string;
  /** Tasks of its request; 0 for an adopted task. */
  readonly taskCount: number;
  /** Latest lease end that the worker may hold, on the worker's clock. */
  readonly leaseEnd: clock.Milliseconds;
  /** Local time since which the task is known to have started. */
  readonly startedAt: clock.Milliseconds | undefined;
  /** Whether the task is to be stopped as soon as it runs. */
  readonly stopping: boolean;
  /** When the last fetch of the answer was sent; -Infinity for none open. */
  readonly fetchedAt: clock.Milliseconds;
  /** Reports in a row that should have listed the task and did not. */
  readonly missingReports: number;
  /** Since when the task is unresolved; Infinity otherwise. */
  readonly unresolvedAt: clock.Milliseconds;
  /** False after a restart of the worker: reports prove nothing of it. */
  readonly leaseEndValid: boolean;
}

/** The part of a task that outcomes name. */
export interface TaskReference {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly worker: string;
}

/** What became of a task; the caller of the runner acts on it. */
export type TaskOutcome =
  | {
      readonly kind: 'started' | 'adopted' | 'unknown';
      readonly reference: TaskReference;
    }
  | {
      /** Proved not to run now or later. */
      readonly kind: 'notRun';
      readonly reference: TaskReference;
      readonly detail: string;
      /** Whether a start was sent. */
      readonly sent: boolean;
    }
  | {
      readonly kind: 'ended';
      readonly reference: TaskReference;
      readonly end: TaskEndState;
      readonly answer: string;
    };

/** Returns the part of a task that outcomes name. */
export function reference(tracked: TrackedTask): TaskReference {
  return {
    task: tracked.task,
    label: tracked.label,
    worker: tracked.worker.name,
  };
}

const NOT_STARTED = {
  state: 'held',
  leaseEnd: -Infinity,
  startedAt: undefined,
  stopping: false,
  fetchedAt: -Infinity,
  missingReports: 0,
  unresolvedAt: Infinity,
  leaseEndValid: true,
} as const;

/** Builds a task whose room is reserved and whose start is not yet sent. */
export function heldTask(placement: placement.Placement): TrackedTask {
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

/** Builds a task that a report from `sentAt` shows running. */
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

/** Whether only a report can tell what became of a task. */
export function awaitsReport(known: TrackedTask): boolean {
  return known.state !== 'running' || known.fetchedAt === -Infinity;
}
