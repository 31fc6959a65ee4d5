import type * as clock from './clock.js';
import type * as remoteWorker from './remote_worker.js';

/** Number of different jobs whose failures in a row make a worker suspect. */
const SUSPICION_FAILURE_COUNT = 2;

/** First exclusion of a suspect worker; doubles with each further failure. */
const INITIAL_EXCLUSION_MS = 1_500;

/** Maximum exclusion of a suspect worker. */
const MAXIMUM_EXCLUSION_MS = 6_000;

/** Exclusion per consecutive rejected command, up to 5 times this duration. */
const REJECTION_EXCLUSION_MS = 300;

/** Duration of the exclusion after a stalled or very slow run. */
const SLOW_RUN_EXCLUSION_MS = 3_000;

/** Failure probability per failed job; a failure may be the job's own fault. */
const PROBABILITY_PER_FAILURE = 0.25;

interface ReliabilityRecord {
  /** Jobs whose runs failed since the last that succeeded. */
  readonly failedJobs: Set<string>;
  exclusionMs: number;
  rejections: number;
}

/**
 * Tracks the reliability of workers by the outcomes of their runs. Only the
 * failures of different jobs count, so that a job that fails everywhere does
 * not make workers suspect.
 */
export class WorkerReliability {
  private readonly records = new Map<
    remoteWorker.RemoteWorker,
    ReliabilityRecord
  >();

  /** Records that a run succeeded and ends the exclusion of the worker. */
  recordSuccess(worker: remoteWorker.RemoteWorker): void {
    const record = this.records.get(worker);
    if (record === undefined) return;
    record.failedJobs.clear();
    record.exclusionMs = INITIAL_EXCLUSION_MS;
    record.rejections = 0;
    worker.excludedUntil = 0;
  }

  /** Records a failed run; returns true when the worker becomes suspect. */
  recordFailure(
    worker: remoteWorker.RemoteWorker,
    job: string,
    now: clock.Milliseconds,
  ): boolean {
    const record = this.record(worker);
    record.failedJobs.add(job);
    if (record.failedJobs.size < SUSPICION_FAILURE_COUNT) return false;
    worker.excludedUntil = now + record.exclusionMs;
    record.exclusionMs = Math.min(record.exclusionMs * 2, MAXIMUM_EXCLUSION_MS);
    return true;
  }

  /** Records that the worker rejected a command. */
  recordRejection(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const record = this.record(worker);
    record.rejections += 1;
    const exclusionMs = REJECTION_EXCLUSION_MS * Math.min(record.rejections, 5);
    worker.excludedUntil = Math.max(worker.excludedUntil, now + exclusionMs);
  }

  /** Records a run that stalled or took much longer than on other workers. */
  recordSlowRun(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const until = now + SLOW_RUN_EXCLUSION_MS;
    worker.excludedUntil = Math.max(worker.excludedUntil, until);
  }

  /** Returns the estimated probability that a run fails here, from 0 to 1. */
  failureProbability(worker: remoteWorker.RemoteWorker): number {
    const failures = this.records.get(worker)?.failedJobs.size ?? 0;
    return Math.min(1, failures * PROBABILITY_PER_FAILURE);
  }

  forget(worker: remoteWorker.RemoteWorker): void {
    this.records.delete(worker);
  }

  private record(worker: remoteWorker.RemoteWorker): ReliabilityRecord {
    const known = this.records.get(worker);
    if (known !== undefined) return known;
    const created: ReliabilityRecord = {
      failedJobs: new Set(),
      exclusionMs: INITIAL_EXCLUSION_MS,
      rejections: 0,
    };
    this.records.set(worker, created);
    return created;
  }
}
