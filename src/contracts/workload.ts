import type * as resources from '../machines/resources.js';

/** Kind of a workload; each kind has its own placement policy. */
export type WorkloadKind = 'service' | 'batch' | 'gang';

/** Urgency levels of workloads, the least urgent first. */
export const URGENCY_LEVELS = ['deferrable', 'normal', 'urgent'] as const;

/** Urgency of a workload, one of `URGENCY_LEVELS`. */
export type UrgencyLevel = (typeof URGENCY_LEVELS)[number];

/** Definition of one kind of work of a team. */
export interface Workload {
  readonly name: string;
  readonly kind: WorkloadKind;
  readonly urgency: UrgencyLevel;
  /** Value of one request in the currency of the cell; orders equal urgency. */
  readonly worth: number;
  /** Whether a task may safely run more than once. */
  readonly idempotent: boolean;
  /** Declared size of one task. */
  readonly size: resources.Resources;
  /** Declared run time of one task in milliseconds; 0 for services. */
  readonly runTimeMs: number;
  /** Number of tasks of one request, or of replicas of a service. */
  readonly taskCount: number;
  /** Longest wait for a start in milliseconds; 0 means no deadline. */
  readonly startDeadlineMs: number;
  /** Availability zones in which tasks may run; empty means all. */
  readonly zones: ReadonlyArray<string>;
  /** Largest number of tasks of one request on a rack; 0 means no limit. */
  readonly maximumPerRack: number;
}
