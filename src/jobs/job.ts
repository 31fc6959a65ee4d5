import type * as organisation from './organisation.js';
import type * as resources from '../machines/resources.js';

/** One step of a job: a number of identical tasks. */
export interface Step {
  readonly count: number;
  /** Resources that each task occupies on its worker. */
  readonly size: resources.Resources;
  /** The caller's rough estimate of a task's duration. */
  readonly estimatedRuntimeMs: number;
  /** Positions of the steps that must complete first. */
  readonly after: ReadonlyArray<number>;
  /** All tasks start together and end together. */
  readonly gang: boolean;
  /** Tasks run slower when they are spread over racks. */
  readonly sameRack: boolean;
  readonly checkpointing: boolean;
  /** A second copy of a task may run; the first to finish counts. */
  readonly duplicatesAllowed: boolean;
  /** Tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Tasks use processor time that the others on a worker leave idle. */
  readonly usesIdleCapacity: boolean;
  readonly requiredLabel?: string;
  readonly dataRack?: string;
  readonly maximumPerWorker?: number;
  readonly image?: string;
  /** Target for tail response times; set for tasks that serve users. */
  readonly targetMs?: number;
  /** Most tasks that the scheduler's own actions may interrupt at a time. */
  readonly maximumUnavailable?: number;
}

/** When the steps of a job run again. */
export interface Schedule {
  readonly occurrences: number;
  /** Unix time of the first occurrence. */
  readonly startAtMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface JobDefinition {
  /** Chosen by the caller as an idempotency key: same id, same job. */
  readonly id: string;
  /** Name of the job's queue. */
  readonly queue: string;
  /** Organisation whose quota its tasks use; absent if no key was needed. */
  readonly organisation?: string;
  /** Text passed to each task unchanged. */
  readonly payload: string;
  readonly steps: ReadonlyArray<Step>;
  readonly schedule?: Schedule;
}

/** State of a job as reported to callers. */
export type JobState =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run of a task ended. */
export type EndKind =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Durations of the advice service's calls and tickets for a queue. */
export interface AdviceTiming {
  /** Service time of each call. */
  readonly decideMs: number;
  /** Additional service time for each worker named in a call. */
  readonly eachMs: number;
  /** How long a ticket is valid. */
  readonly validMs: number;
}

/** A queue of jobs and the policy for its tasks. */
export interface Queue {
  /** Identifies the queue over all versions; see `identify`. */
  readonly name: string;
  /** What the operator calls the queue, which may change at any time. */
  readonly label?: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of a task after which its job fails. */
  readonly attempts: number;
  /** Factor on a job's critical path in its objective. */
  readonly stretch: number;
  /** Time that the objective allows in addition to the critical path. */
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly advice?: AdviceTiming;
  /** Whether calls need no key of an organisation. */
  readonly isPublic?: boolean;
}

/** The operator's configuration of one version. */
export interface OperatorConfiguration {
  readonly version: number;
  readonly queues: ReadonlyArray<Queue>;
  /** Absent if calls need no keys. */
  readonly organisations?: ReadonlyArray<organisation.Organisation>;
  /** Largest request body, in bytes. */
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/**
 * Returns a queue with the name by which its jobs are known: its host and path.
 * The operator may rename a queue, or swap the names of two; callers know only
 * the path at which they have submitted a job.
 */
export function identify(queue: Queue): Queue {
  if (queue.label !== undefined) return queue;
  const name = queue.host + queue.pathPrefix;
  return {...queue, name, label: queue.name};
}

/** Returns the queue that serves a path on a host: the longest prefix wins. */
export function queueFor(
  configuration: OperatorConfiguration,
  host: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (!found || queue.pathPrefix.length > found.pathPrefix.length) {
      found = queue;
    }
  }
  return found;
}
