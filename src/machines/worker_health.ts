import type * as clock from './clock.js';
import type * as worker from './worker.js';

/** Different workloads that fail in a row before a worker is suspended. */
const DISTINCT_FAILURE_LIMIT = 3;

/**
 * Failures in a row of workloads that are known to work elsewhere. A zone may
 * run fewer than `FAILURES_IN_A_ROW` workloads, and would lose them all to one
 * worker without this limit.
 */
const KNOWN_GOOD_FAILURE_LIMIT = 5;

/** A failure counts against the worker only this soon after the start. */
const EARLY_FAILURE_MS = 5_000;

/** First time out of service; doubles with every failed probe. */
const INITIAL_SUSPENSION_MS = 30_000;

/** Longest time out of service between two probes. */
const MAXIMUM_SUSPENSION_MS = 600_000;

interface HealthCondition {
  readonly state: 'inService' | 'suspended' | 'probation' | 'probing';
  /** Workloads that failed early since the last task that did not. */
  readonly failedWorkloads: ReadonlySet<string>;
  /** Early failures of sound workloads since then. */
  readonly knownGoodFailures: number;
  readonly suspensionMs: clock.Milliseconds;
  readonly until: clock.Milliseconds;
}

const HEALTHY: HealthCondition = {
  state: 'inService',
  failedWorkloads: new Set(),
  knownGoodFailures: 0,
  suspensionMs: INITIAL_SUSPENSION_MS,
  until: Infinity,
};

/** How a task ended, as far as it tells about its worker. */
export interface EndedTask {
  readonly worker: worker.Worker;
  /** Team and workload. */
  readonly workload: string;
  readonly failed: boolean;
  readonly ranMs: clock.Milliseconds;
}

/**
 * Finds workers that fail everything they start. Such a worker looks idle and
 * would draw all work; it is suspended and readmitted by one probe at a time.
 */
export class WorkerHealth {
  private readonly conditions = new Map<worker.Worker, HealthCondition>();
  /** Workers that failed a workload since it last finished anywhere. */
  private readonly workersByFailedWorkload = new Map<
    string,
    ReadonlySet<worker.Worker>
  >();

  /** Whether only a single probe task may be placed on the worker. */
  isOnProbation(candidate: worker.Worker): boolean {
    return this.conditions.get(candidate)?.state === 'probation';
  }

  /** Notes a task placed on a worker; a worker on probation takes no second. */
  recordPlacement(on: worker.Worker): void {
    const condition = this.conditions.get(on);
    if (condition?.state !== 'probation') return;
    this.conditions.set(on, {...condition, state: 'probing'});
    on.setSuspended(true);
  }

  /** Notes a probe that did not run, so that another one can be placed. */
  recordNotRun(on: worker.Worker): void {
    const condition = this.conditions.get(on);
    if (condition?.state !== 'probing') return;
    this.conditions.set(on, {...condition, state: 'probation'});
    on.setSuspended(false);
  }

  /** Notes the end of a task; returns true when it suspends the worker. */
  recordEnd(end: EndedTask, now: clock.Milliseconds): boolean {
    const condition = this.conditions.get(end.worker) ?? HEALTHY;
    const isEarly = end.failed && end.ranMs <= EARLY_FAILURE_MS;
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

  /** Puts suspended workers on probation whose time is over. */
  readmit(now: clock.Milliseconds): void {
    for (const [known, condition] of this.conditions) {
      if (condition.state !== 'suspended' || condition.until > now) continue;
      this.conditions.set(known, {...condition, state: 'probation'});
      known.setSuspended(false);
    }
  }

  /** When a worker goes on probation next. */
  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const condition of this.conditions.values()) {
      if (condition.state === 'suspended') due = Math.min(due, condition.until);
    }
    return due;
  }

  /** Whether a failing workload finished before and failed here alone. */
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
      until: now + suspensionMs,
    });
    suspended.setSuspended(true);
  }
}
