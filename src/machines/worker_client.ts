import type * as remoteWorker from './remote_worker.js';

/** Command to start a run. */
export interface StartCommand extends remoteWorker.RunId {
  readonly payload: string;
  /** A worker rejects tokens below its highest; see `fencing_token.ts`. */
  readonly fencingToken: number;
  /** End of the lease on the worker's clock. */
  readonly deadlineMs: number;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** Command to renew the leases of all running tasks and to report. */
export interface RenewalCommand {
  /** A worker rejects tokens below its highest; see `fencing_token.ts`. */
  readonly fencingToken: number;
  /** Run ends up to this sequence number are stored. */
  readonly storedEndNumber: number;
  /** End of the lease on the worker's clock; omitted to renew no lease. */
  readonly deadlineMs?: number;
  /** How long the worker may delay its answer until a run ends. */
  readonly waitMs: number;
}

/** Reason for which a worker has definitely not executed a command. */
export type RejectionReason =
  | 'superseded'
  | 'staleRun'
  | 'late'
  | 'noRoom'
  | 'ticket'
  | 'unhealthy'
  | 'invalid'
  | 'otherLife';

/** Outcome of a start, stop or throttle command. */
export type CommandOutcome =
  | {readonly kind: 'done'; readonly clockMs: number | undefined}
  | {
      readonly kind: 'rejected';
      readonly reason: RejectionReason;
      readonly clockMs: number | undefined;
    }
  /** The command may have been executed, or may still be, unless `notSent`. */
  | {
      readonly kind: 'unanswered';
      readonly detail: string;
      /** The command has not left this process, or nobody took it. */
      readonly notSent?: true;
    };

/** Outcome of a lease renewal. */
export type RenewalOutcome =
  | {readonly kind: 'reported'; readonly report: remoteWorker.RenewalReport}
  | {readonly kind: 'rejected'; readonly reason: RejectionReason}
  | {readonly kind: 'unanswered'; readonly detail: string};

/** How a renewal is sent. */
export interface RenewalConditions {
  /** Time for the answer beyond the wait that the command asks for. */
  readonly answerTimeoutMs?: number;
  /** Asked when the renewal is due to be written; as for a start. */
  readonly maySend?: () => boolean;
}

/** Client for calls to workers. The returned promises never reject. */
export interface WorkerClient {
  /**
   * Sends a start, unless `maySend` forbids it, which is asked when the start
   * leaves this process.
   */
  start(
    worker: remoteWorker.RegistryEntry,
    command: StartCommand,
    maySend?: () => boolean,
  ): Promise<CommandOutcome>;
  stop(
    worker: remoteWorker.RegistryEntry,
    runId: remoteWorker.RunId,
    fencingToken: number,
  ): Promise<CommandOutcome>;
  /** Limits a task to a share of its processors, from 0 to 100 percent. */
  throttle(
    worker: remoteWorker.RegistryEntry,
    runId: remoteWorker.RunId,
    percent: number,
    fencingToken: number,
  ): Promise<CommandOutcome>;
  /** Sends a renewal; not sent, it counts as unanswered. */
  renewLeases(
    worker: remoteWorker.RegistryEntry,
    command: RenewalCommand,
    conditions?: RenewalConditions,
  ): Promise<RenewalOutcome>;
}
