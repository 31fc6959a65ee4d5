import type * as resources from '../machines/resources.js';

/** One step of a job: a number of equal tasks. */
export interface Step {
  readonly count: number;
  /** What each task occupies on its worker. */
  readonly size: resources.Resources;
  /** The submitter's rough estimate of a task's duration. */
  readonly estimatedRuntimeMs: number;
  /** Positions of the steps that must be done first. */
  readonly after: ReadonlyArray<number>;
  /** Tasks run only together and end together. */
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
  /** Bound of the tail of response times of tasks that serve users. */
  readonly targetMs?: number;
  /** Tasks that may be away at once through the scheduler's own actions. */
  readonly maximumUnavailable?: number;
}

/** When the steps of a job run again. */
export interface Schedule {
  readonly occurrences: number;
  /** Unix time of the first occurrence. */
  readonly startAtMs: number;
  readonly intervalMs: number;
}

/** A job as its submitter described it. */
export interface JobDefinition {
  /** Chosen by the submitter; the same id is the same job. */
  readonly id: string;
  readonly queue: string;
  /** Text handed to each task unchanged. */
  readonly payload: string;
  readonly steps: ReadonlyArray<Step>;
  readonly schedule?: Schedule;
}

/** What callers are told about a job. */
export type JobState =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run of a task ended. */
export type EndKind =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Cost of asking which workers may run a step of a queue. */
export interface AdviceTiming {
  readonly decideMs: number;
  readonly eachMs: number;
  /** How long a ticket is valid. */
  readonly validMs: number;
}

/** A queue of jobs and the rules of its tasks. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of a task after which its job has failed. */
  readonly attempts: number;
  /** Factor on a job's longest chain of work that its objective allows. */
  readonly stretch: number;
  /** Time that the objective allows beyond the chain of work. */
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly advice?: AdviceTiming;
}

/** The operator's configuration of one version. */
export interface OperatorConfiguration {
  readonly version: number;
  readonly queues: ReadonlyArray<Queue>;
  /** Largest body of a request in bytes. */
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
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
