import type * as clock from './clock.js';
import type * as worker from './worker.js';

/** Number of different workloads whose failures in a row suspend a worker. */
const DISTINCT_FAILURE_LIMIT = 3;

/**
 * Consecutive failures of workloads known to succeed elsewhere that suspend a
 * worker. A zone may run fewer workloads than `DISTINCT_FAILURE_LIMIT`; without
 * this limit one faulty worker there could fail all of them without end.
 */
const KNOWN_GOOD_FAILURE_LIMIT = 5;

/** Maximum run time at which a failure counts against the worker. */
const EARLY_FAILURE_MS = 5_000;

/** Duration of the first suspension; doubles with every failed probe. */
const INITIAL_SUSPENSION_MS = 30_000;

/** Maximum duration of a suspension between two probes. */
const MAXIMUM_SUSPENSION_MS = 600_000;

interface HealthCondition {
  readonly state: 'inService' | 'suspended' | 'probation' | 'probing';
  /** Workloads that failed early since the last task that did not. */
  readonly failedWorkloads: ReadonlySet<string>;
  /** Early failures of known good workloads in the same period. */
  readonly knownGoodFailures: number;
  readonly suspensionMs: clock.Milliseconds;
  readonly suspendedUntil: clock.Milliseconds;
}

const HEALTHY: HealthCondition = {
  state: 'inService',
  failedWorkloads: new Set(),
  knownGoodFailures: 0,
  suspensionMs: INITIAL_SUSPENSION_MS,
  suspendedUntil: Infinity,
};

/** The facts about an ended task that indicate the health of its worker. */
export interface EndedTask {
  readonly worker: worker.Worker;
  /** Key of the workload, made of team and workload name. */
  readonly workload: string;
  readonly failed: boolean;
  readonly runTimeMs: clock.Milliseconds;
}

/**
 * Detects workers that fail every task (black holes). Such a worker appears
 * idle and would attract all work. It is suspended, and readmitted through one
 * probe task at a time.
 */
export class WorkerHealth {
  private readonly conditions = new Map<worker.Worker, HealthCondition>();
  /** Workers on which a workload failed since it last finished anywhere. */
  private readonly workersByFailedWorkload = new Map<
    string,
    ReadonlySet<worker.Worker>
  >();

  /** Returns whether only a single probe task may be placed on the worker. */
  isOnProbation(candidate: worker.Worker): boolean {
    return this.conditions.get(candidate)?.state === 'probation';
  }

  /** Records a placement; a worker on probation accepts no second task. */
  recordPlacement(target: worker.Worker): void {
    const condition = this.conditions.get(target);
    if (condition?.state !== 'probation') return;
    this.conditions.set(target, {...condition, state: 'probing'});
    target.setSuspended(true);
  }

  /** Records that a probe did not run, so that another one can be placed. */
  recordNotRun(target: worker.Worker): void {
    const condition = this.conditions.get(target);
    if (condition?.state !== 'probing') return;
    this.conditions.set(target, {...condition, state: 'probation'});
    target.setSuspended(false);
  }

  /** Records the end of a task; returns true when it suspends the worker. */
  recordEnd(end: EndedTask, now: clock.Milliseconds): boolean {
    const condition = this.conditions.get(end.worker) ?? HEALTHY;
    const isEarly = end.failed && end.runTimeMs <= EARLY_FAILURE_MS;
    if (condition.state === 'probing') {
      return this.probeEnded(end, isEarly, condition, now);
    }
    if (!end.failed) this.workersByFailedWorkload.set(end.workload, new Set());
    if (!isEarly) {
      if (condition.state === 'inService') this.conditions.delete(end.worker);
      return false;
    }
    const knownGood = this.isKnownGood(end);
    if (condition.state !== 'inService') return false;
    const failedWorkloads = new Set(condition.failedWorkloads).add(
      end.workload,
    );
    const knownGoodFailures = condition.knownGoodFailures + (knownGood ? 1 : 0);
    const belowLimits =
      failedWorkloads.size < DISTINCT_FAILURE_LIMIT &&
      knownGoodFailures < KNOWN_GOOD_FAILURE_LIMIT;
    if (belowLimits) {
      this.conditions.set(end.worker, {
        ...condition,
        failedWorkloads,
        knownGoodFailures,
      });
      return false;
    }
    this.suspend(end.worker, condition.suspensionMs, now);
    return true;
  }

  /** Puts workers on probation whose suspension has expired. */
  readmit(now: clock.Milliseconds): void {
    for (const [known, condition] of this.conditions) {
      if (condition.state !== 'suspended' || condition.suspendedUntil > now) {
        continue;
      }
      this.conditions.set(known, {...condition, state: 'probation'});
      known.setSuspended(false);
    }
  }

  /** Returns when the next suspension expires; Infinity for none. */
  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const condition of this.conditions.values()) {
      if (condition.state === 'suspended') {
        due = Math.min(due, condition.suspendedUntil);
      }
    }
    return due;
  }

  /**
   * Records a failure and returns whether the workload is known good: it has
   * finished before and has since failed only on this worker.
   */
  private isKnownGood(end: EndedTask): boolean {
    const known = this.workersByFailedWorkload.get(end.workload);
    if (known === undefined) return false;
    const failedOn = new Set(known).add(end.worker);
    this.workersByFailedWorkload.set(end.workload, failedOn);
    return failedOn.size === 1;
  }

  private probeEnded(
    end: EndedTask,
    isEarly: boolean,
    condition: HealthCondition,
    now: clock.Milliseconds,
  ): boolean {
    if (!isEarly) {
      this.conditions.delete(end.worker);
      end.worker.setSuspended(false);
      return false;
    }
    const doubled = Math.min(MAXIMUM_SUSPENSION_MS, 2 * condition.suspensionMs);
    this.suspend(end.worker, doubled, now);
    return true;
  }

  private suspend(
    suspended: worker.Worker,
    suspensionMs: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    this.conditions.set(suspended, {
      state: 'suspended',
      failedWorkloads: new Set(),
      knownGoodFailures: 0,
      suspensionMs,
      suspendedUntil: now + suspensionMs,
    });
    suspended.setSuspended(true);
  }
}
