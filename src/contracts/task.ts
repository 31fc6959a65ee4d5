import type * as clock from '../machines/clock.js';
import type * as resources from '../machines/resources.js';

/**
 * Identification of a task's request and team. The worker returns it unchanged
 * in its reports, so that a successor can adopt tasks that it did not start.
 */
export interface TaskLabel {
  readonly identity: string;
  readonly client: string;
  readonly team: string;
  readonly workload: string;
  readonly idempotent: boolean;
  readonly worth: number;
}

/** Command to a worker to start a task. */
export interface TaskStart {
  readonly task: string;
  readonly label: TaskLabel;
  /** Reserved capacity; also the limit at which the worker throttles. */
  readonly size: resources.Resources;
  readonly payload: string;
  /** Lease end on the worker's clock; a start that arrives later is not run. */
  readonly leaseEnd: clock.Milliseconds;
}

/** State of a task in a worker's report. */
export type TaskState =
  'running' | 'finished' | 'failed' | 'stopped' | 'checkpointed' | 'lapsed';

/** One task in a worker's report. */
export interface TaskReport {
  readonly task: string;
  readonly label: TaskLabel;
  readonly state: TaskState;
  readonly size: resources.Resources;
  /** Measured usage of the task; lags behind the actual usage. */
  readonly usage: resources.Resources;
  readonly leaseEnd: clock.Milliseconds;
}

/** Report of a worker about its capacity and its tasks. */
export interface WorkerReport {
  readonly worker: string;
  readonly workerClock: clock.Milliseconds;
  readonly capacity: resources.Resources;
  readonly rack: string;
  readonly leaving: boolean;
  readonly tasks: ReadonlyArray<TaskReport>;
}
