import type * as clock from '../machines/clock.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A worker that an earlier term knew. */
export interface InheritedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  /** The only jobs that may have runs there; undefined for any job. */
  readonly closedJobs: ReadonlyArray<string> | undefined;
}

/**
 * Tells which jobs may have runs of an earlier term that are not known yet: no
 * task of theirs is started until each worker that may run it has reported, or
 * until its last lease is surely over.
 */
export class RunRecovery {
  private unreportedWorkers: ReadonlyArray<InheritedWorker>;

  constructor(
    private readonly blockedJobs: Set<jobRecord.JobRecord>,
    workers: ReadonlyArray<InheritedWorker>,
    private readonly leasesExpireAt: clock.Milliseconds,
  ) {
    this.unreportedWorkers = workers;
  }

  /** Tells whether nothing is uncertain any more. */
  get complete(): boolean {
    return this.blockedJobs.size === 0;
  }

  /** Workers that have not reported. */
  get unreportedWorkerCount(): number {
    return this.unreportedWorkers.length;
  }

  /** Tells whether tasks of a job may not be started yet. */
  blocks(record: jobRecord.JobRecord): boolean {
    return this.blockedJobs.has(record);
  }

  /** A worker has ended for good. */
  removeWorker(worker: remoteWorker.RemoteWorker): void {
    this.unreportedWorkers = this.unreportedWorkers.filter(
      earlier => earlier.worker !== worker,
    );
  }

  /** Frees the jobs whose runs are all known; true when any was freed. */
  unblockJobs(now: clock.Milliseconds): boolean {
    if (this.complete) return false;
    const countBefore = this.blockedJobs.size;
    this.unreportedWorkers = this.unreportedWorkers.filter(
      ({worker}) => !worker.fenceAccepted,
    );
    if (now >= this.leasesExpireAt) this.unreportedWorkers = [];
    const blocksAnyJob = this.unreportedWorkers.some(
      ({closedJobs}) => closedJobs === undefined,
    );
    if (blocksAnyJob) return false;
    const blocked = new Set(
      this.unreportedWorkers.flatMap(({closedJobs}) => closedJobs ?? []),
    );
    for (const record of [...this.blockedJobs]) {
      if (!blocked.has(record.definition.id)) this.blockedJobs.delete(record);
    }
    return this.blockedJobs.size < countBefore;
  }
}
