import type * as clock from '../machines/clock.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A worker that an earlier term knew. */
export interface EarlierWorker {
  readonly worker: remoteWorker.RemoteWorker;
  /** The only jobs that may have runs there; undefined for any job. */
  readonly closedJobs: ReadonlyArray<string> | undefined;
}

/**
 * Tells which jobs may have runs of an earlier term that are not known yet: no
 * task of theirs is started until each worker that may run it has reported, or
 * until its last lease is surely over.
 */
export class EarlierRuns {
  private missing: ReadonlyArray<EarlierWorker>;

  constructor(
    private readonly jobs: Set<jobRecord.JobRecord>,
    workers: ReadonlyArray<EarlierWorker>,
    private readonly overAt: clock.Milliseconds,
  ) {
    this.missing = workers;
  }

  /** Tells whether nothing is uncertain any more. */
  get settled(): boolean {
    return this.jobs.size === 0;
  }

  /** Workers that have not reported. */
  get missingWorkers(): number {
    return this.missing.length;
  }

  /** Tells whether tasks of a job may not be started yet. */
  blocks(record: jobRecord.JobRecord): boolean {
    return this.jobs.has(record);
  }

  /** A worker has ended for good. */
  ended(worker: remoteWorker.RemoteWorker): void {
    this.missing = this.missing.filter(earlier => earlier.worker !== worker);
  }

  /** Frees the jobs whose runs are all known; true when any was freed. */
  review(now: clock.Milliseconds): boolean {
    if (this.settled) return false;
    const before = this.jobs.size;
    this.missing = this.missing.filter(({worker}) => !worker.fenceAccepted);
    if (now >= this.overAt) this.missing = [];
    const anyJob = this.missing.some(
      ({closedJobs}) => closedJobs === undefined,
    );
    if (anyJob) return false;
    const blocked = new Set(
      this.missing.flatMap(({closedJobs}) => closedJobs ?? []),
    );
    for (const record of [...this.jobs]) {
      if (!blocked.has(record.definition.id)) this.jobs.delete(record);
    }
    return this.jobs.size < before;
  }
}
