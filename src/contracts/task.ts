import type * as clock from '../machines/clock.js';
import type * as resources from '../machines/resources.js';

/**
 * What a task belongs to. The worker returns it unchanged in its reports, so
 * that a successor can adopt tasks that it did not start.
 */
export interface TaskLabel {
  readonly identity: string;
  readonly client: string;
  readonly team: string;
  readonly workload: string;
  readonly idempotent: boolean;
  readonly worth: number;
}

/** A task as the worker is asked to start it. */
export interface TaskStart {
  readonly task: string;
  readonly label: TaskLabel;
  /** Reservation; also the limit at which the worker throttles. */
  readonly size: resources.Resources;
  readonly payload: string;
  /** Lease end on the worker's clock; a start that arrives later never runs. */
  readonly leaseEnd: clock.Milliseconds;
}

/** States of a task as a worker reports them. */
export type TaskState =
  'running' | 'finished' | 'failed' | 'stopped' | 'checkpointed' | 'lapsed';

/** One task in a worker's report. */
export interface TaskReport {
  readonly task: string;
  readonly label: TaskLabel;
  readonly state: TaskState;
  readonly size: resources.Resources;
  /** Lagging measurement of what the task uses. */
  readonly usage: resources.Resources;
  readonly leaseEnd: clock.Milliseconds;
}

/** What a worker says of itself. */
export interface WorkerReport {
  readonly worker: string;
  readonly workerClock: clock.Milliseconds;
  readonly capacity: resources.Resources;
  readonly rack: string;
  readonly leaving: boolean;
  readonly tasks: ReadonlyArray<TaskReport>;
}
