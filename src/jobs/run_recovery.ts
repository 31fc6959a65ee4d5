import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as earlierLeases from './earlier_leases.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** A worker on the list that earlier terms stored. */
export interface InheritedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  /** The only jobs that may have runs there; undefined if any job may. */
  readonly closedJobs: ReadonlyArray<string> | undefined;
  /** Whether the runs there of tasks that last are listed with their jobs. */
  readonly listsServices: boolean;
}

/** What keeps jobs blocked, for the log. */
export interface RecoveryWaits {
  readonly blockedJobs: number;
  /** Unreported workers on which any job may have runs. */
  readonly ofAllJobs: ReadonlyArray<remoteWorker.RemoteWorker>;
  readonly unreportedWorkers: number;
}

/**
 * Tracks the jobs that may still have unreported runs of an earlier term. Their
 * tasks are not started until each worker that may run them has reported, or
 * until the last lease of an earlier term has certainly expired. If a worker
 * stays out of reach, a job with an unanswered start that no record names waits
 * until no run of that start can go on there; `LateStarts` holds the tasks back
 * of which the starts are named.
 */
export class RunRecovery {
  private unreportedWorkers: ReadonlyArray<InheritedWorker>;
  /** Whether fewer workers are unreported than at the last look at the jobs. */
  private workersChanged = true;
  /** Whether a worker was given up that has not reported all its ends. */
  private hasUnseenWorker = false;

  constructor(
    private readonly blockedJobs: Set<jobRecord.JobRecord>,
    workers: ReadonlyArray<InheritedWorker>,
    private readonly earlierLeases: earlierLeases.EarlierLeases,
  ) {
    this.unreportedWorkers = workers;
  }

  /** Whether no job is blocked any more. */
  get complete(): boolean {
    return this.blockedJobs.size === 0;
  }

  /** Number of workers that have not reported. */
  get unreportedWorkerCount(): number {
    return this.unreportedWorkers.length;
  }

  /** What the blocked jobs wait for. */
  get waits(): RecoveryWaits {
    return {
      blockedJobs: this.blockedJobs.size,
      ofAllJobs: this.unreportedWorkers
        .filter(({closedJobs}) => closedJobs === undefined)
        .map(({worker}) => worker),
      unreportedWorkers: this.unreportedWorkers.length,
    };
  }

  /**
   * Returns whether tasks of a step may not be started yet. Tasks that last wait
   * one by one for the workers that the journal lists for them, see
   * `EarlierServiceRuns`.
   */
  blocks({definition, jobRecord}: stepInstance.StepInstance): boolean {
    if (!this.blockedJobs.has(jobRecord)) return false;
    if (!definition.longRunning || jobRecord.unansweredStarts.isIncomplete) {
      return true;
    }
    const {id} = jobRecord.definition;
    return this.unreportedWorkers.some(
      ({listsServices, closedJobs}) =>
        !listsServices && (closedJobs === undefined || closedJobs.includes(id)),
    );
  }

  /**
   * Returns the most that an organisation may have running, in runs that are not
   * known, on the workers that have not reported.
   */
  unknownRunsOf(organisation: string): resources.Resources {
    const mayHaveRuns = [...this.blockedJobs].some(
      ({definition}) => definition.organisation === organisation,
    );
    if (!mayHaveRuns) return resources.NONE;
    return this.unreportedWorkers.reduce(
      (sum, {worker}) => resources.add(sum, worker.entry.capacity),
      resources.NONE,
    );
  }

  /** Returns whether a worker may have runs of earlier terms that are not known. */
  hasUnknownRuns(workerId: string): boolean {
    return this.unreportedWorkers.some(
      ({worker}) => worker.id === workerId && !worker.fencingTokenAccepted,
    );
  }

  /**
   * Stops waiting for a worker that has ended. Waits for its next incarnation
   * instead, which may have carried out the starts of an earlier term.
   */
  workerEnded(
    worker: remoteWorker.RemoteWorker,
    nextIncarnation: remoteWorker.RemoteWorker | undefined,
  ): void {
    if (nextIncarnation === undefined) {
      if (!worker.allEndsReported) this.hasUnseenWorker = true;
      this.keepUnreported(inherited => inherited.worker !== worker);
      return;
    }
    this.unreportedWorkers = this.unreportedWorkers.map(inherited =>
      inherited.worker === worker
        ? {...inherited, worker: nextIncarnation}
        : inherited,
    );
  }

  /** Unblocks jobs whose runs are all known; returns whether there were any. */
  unblockJobs(now: clock.Milliseconds): boolean {
    this.reviewWorkers();
    if (this.complete) return false;
    if (!this.workersChanged && !this.hasUnseenWorker) return false;
    this.workersChanged = false;
    const blocksAnyJob = this.unreportedWorkers.some(
      ({closedJobs}) => closedJobs === undefined,
    );
    if (blocksAnyJob) return false;
    const countBefore = this.blockedJobs.size;
    const blocked = new Set(
      this.unreportedWorkers.flatMap(({closedJobs}) => closedJobs ?? []),
    );
    for (const record of this.blockedJobs) {
      if (blocked.has(record.definition.id)) continue;
      const {unansweredStarts} = record;
      if (this.hasUnseenWorker && unansweredStarts.mayRunAnywhere(now)) {
        continue;
      }
      this.blockedJobs.delete(record);
    }
    return this.blockedJobs.size < countBefore;
  }

  /** Drops the workers that have reported, or whose runs are all over. */
  private reviewWorkers(): void {
    this.keepUnreported(({worker}) => {
      if (worker.allEndsReported) return false;
      if (reportsEnds(worker)) return true;
      if (!this.earlierLeases.haveExpiredOn(worker)) return true;
      this.hasUnseenWorker = true;
      return false;
    });
  }

  private keepUnreported(
    isUnreported: (inherited: InheritedWorker) => boolean,
  ): void {
    const countBefore = this.unreportedWorkers.length;
    this.unreportedWorkers = this.unreportedWorkers.filter(isUnreported);
    if (this.unreportedWorkers.length < countBefore) this.workersChanged = true;
  }
}

/** Returns whether a worker will list further ends of earlier terms. */
function reportsEnds(worker: remoteWorker.RemoteWorker): boolean {
  return worker.fencingTokenAccepted && !worker.unreachable;
}
