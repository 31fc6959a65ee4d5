import type * as resources from '../machines/resources.js';

/** The kinds of workload, each with a placement policy of its own. */
export type WorkloadKind = 'service' | 'batch' | 'gang';

/** How urgent a workload is; later entries go first. */
export const URGENCY_LEVELS = ['deferrable', 'normal', 'urgent'] as const;

/** One of `URGENCIES`. */
export type UrgencyLevel = (typeof URGENCY_LEVELS)[number];

/** What a team states about one kind of its work. */
export interface Workload {
  readonly name: string;
  readonly kind: WorkloadKind;
  readonly urgency: UrgencyLevel;
  /** Value of one request in the currency of the cell; breaks ties. */
  readonly worth: number;
  /** Whether running twice does no harm. */
  readonly idempotent: boolean;
  /** Declared size of one task. */
  readonly size: resources.Resources;
  /** Declared run time of one task in milliseconds; 0 for services. */
  readonly runTimeMs: number;
  /** Tasks of one request; the replicas of a service. */
  readonly taskCount: number;
  /** Longest wait for a start in milliseconds; 0 means no deadline. */
  readonly startDeadlineMs: number;
  /** Availability zones in which tasks may run; empty means all. */
  readonly zones: ReadonlyArray<string>;
  /** Largest number of tasks of one request on a rack; 0 means no limit. */
  readonly maximumPerRack: number;
}
