import type * as remoteWorker from './remote_worker.js';

/** An order to start a run. */
export interface StartCommand extends remoteWorker.RunId {
  readonly payload: string;
  readonly fence: number;
  /** End of the lease on the worker's clock. */
  readonly deadlineMs: number;
  readonly checkpoint: string;
  readonly ticket?: string;
}

/** An order to renew the lease of all that runs and to report. */
export interface RenewalCommand {
  readonly fence: number;
  /** Ends up to this number are stored. */
  readonly storedEndNumber: number;
  /** End of the lease on the worker's clock, when it is known. */
  readonly deadlineMs?: number;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: number;
}

/** Why a worker surely did not carry out an order. */
export type RejectionReason =
  | 'superseded'
  | 'staleRun'
  | 'late'
  | 'noRoom'
  | 'ticket'
  | 'unhealthy'
  | 'invalid'
  | 'otherLife';

/** What came of an order. */
export type CommandOutcome =
  | {readonly kind: 'done'; readonly clockMs: number | undefined}
  | {
      readonly kind: 'rejected';
      readonly reason: RejectionReason;
      readonly clockMs: number | undefined;
    }
  /** May have been carried out, or may be later. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** What came of a renewal. */
export type RenewalOutcome =
  | {readonly kind: 'reported'; readonly report: remoteWorker.RenewalReport}
  | {readonly kind: 'rejected'; readonly reason: RejectionReason}
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Calls to workers; none of them rejects. */
export interface WorkerClient {
  start(
    worker: remoteWorker.RegistryEntry,
    order: StartCommand,
  ): Promise<CommandOutcome>;
  stop(
    worker: remoteWorker.RegistryEntry,
    name: remoteWorker.RunId,
    fence: number,
  ): Promise<CommandOutcome>;
  /** Sets the share of its processors at which a task works, 0 to 100. */
  throttle(
    worker: remoteWorker.RegistryEntry,
    name: remoteWorker.RunId,
    percent: number,
    fence: number,
  ): Promise<CommandOutcome>;
  renewLeases(
    worker: remoteWorker.RegistryEntry,
    order: RenewalCommand,
  ): Promise<RenewalOutcome>;
}
