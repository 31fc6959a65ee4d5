import type * as clock from './clock.js';
import type * as remoteWorker from './remote_worker.js';

/** Failures in a row, of different jobs, that make a worker suspect. */
const SUSPICION_FAILURE_COUNT = 2;

/** How long a suspect worker gets no work at first. */
const INITIAL_EXCLUSION_MS = 1_500;

/** Longest time for which a suspect worker gets no work. */
const MAXIMUM_EXCLUSION_MS = 6_000;

/** How long a worker that turns orders away gets none. */
const REFUSAL_EXCLUSION_MS = 300;

/** How long a worker gets no work on which a run stood still. */
const SLOW_RUN_EXCLUSION_MS = 3_000;

/** Suspicion after one failure, which may be the job's own fault. */
const PROBABILITY_PER_FAILURE = 0.25;

interface ReliabilityRecord {
  /** Jobs whose runs failed since the last that succeeded. */
  readonly failedJobs: Set<string>;
  exclusionMs: number;
  refusals: number;
}

/**
 * Judges workers by how runs end on them. A job that fails everywhere must not
 * cost workers their trust, so that only failures of different jobs count.
 */
export class WorkerReliability {
  private readonly records = new Map<
    remoteWorker.RemoteWorker,
    ReliabilityRecord
  >();

  /** A run succeeded. */
  recordSuccess(worker: remoteWorker.RemoteWorker): void {
    const record = this.records.get(worker);
    if (record === undefined) return;
    record.failedJobs.clear();
    record.exclusionMs = INITIAL_EXCLUSION_MS;
    record.refusals = 0;
    worker.excludedUntil = 0;
  }

  /** A run failed; true when the worker is suspected now. */
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

  /** The worker turned an order away. */
  recordRefusal(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const record = this.record(worker);
    record.refusals += 1;
    const exclusionMs = REFUSAL_EXCLUSION_MS * Math.min(record.refusals, 5);
    worker.excludedUntil = Math.max(worker.excludedUntil, now + exclusionMs);
  }

  /** A run on the worker stood still or took much longer than elsewhere. */
  recordSlowRun(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const until = now + SLOW_RUN_EXCLUSION_MS;
    worker.excludedUntil = Math.max(worker.excludedUntil, until);
  }

  /** How likely the worker is to fail what it runs, from 0 to 1. */
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
    const opened: ReliabilityRecord = {
      failedJobs: new Set(),
      exclusionMs: INITIAL_EXCLUSION_MS,
      refusals: 0,
    };
    this.records.set(worker, opened);
    return opened;
  }
}
