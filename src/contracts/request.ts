import type * as clock from '../machines/clock.js';
import type * as resources from '../machines/resources.js';
import type * as workload from './workload.js';

/** Request as a client submits it. */
export interface Submission {
  readonly team: string;
  readonly workload: string;
  /** Passed to the tasks unchanged. */
  readonly payload: string;
  /** Overrides the workload's size of one task. */
  readonly size?: resources.Resources;
  /** Maximum wait for the start in milliseconds; overrides the workload's. */
  readonly startDeadlineMs?: number;
}

/** Admitted request with the data that placement needs. */
export interface Request {
  readonly identity: string;
  readonly client: string;
  readonly team: string;
  readonly workload: workload.Workload;
  readonly payload: string;
  readonly size: resources.Resources;
  readonly taskCount: number;
  readonly arrivedAt: clock.Milliseconds;
  /** Latest start on the local clock; Infinity when there is none. */
  readonly startBy: clock.Milliseconds;
}
