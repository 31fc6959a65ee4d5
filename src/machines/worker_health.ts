import type * as clock from './clock.js';
import type * as worker from './worker.js';

/** Different workloads that fail in a row before a worker is suspended. */
const FAILURES_IN_A_ROW = 3;

/**
 * Failures in a row of workloads that are known to work elsewhere. A zone may
 * run fewer than `FAILURES_IN_A_ROW` workloads, and would lose them all to one
 * worker without this limit.
 */
const SOUND_FAILURES_IN_A_ROW = 5;

/** A failure counts against the worker only this soon after the start. */
const EARLY_FAILURE_MS = 5_000;

/** First time out of service; doubles with every failed probe. */
const FIRST_SUSPENSION_MS = 30_000;

/** Longest time out of service between two probes. */
const LONGEST_SUSPENSION_MS = 600_000;

interface Condition {
  readonly state: 'inService' | 'suspended' | 'probation' | 'probing';
  /** Workloads that failed early since the last task that did not. */
  readonly failed: ReadonlySet<string>;
  /** Early failures of sound workloads since then. */
  readonly soundFailures: number;
  readonly suspensionMs: clock.Milliseconds;
  readonly until: clock.Milliseconds;
}

const HEALTHY: Condition = {
  state: 'inService',
  failed: new Set(),
  soundFailures: 0,
  suspensionMs: FIRST_SUSPENSION_MS,
  until: Infinity,
};

/** How a task ended, as far as it tells about its worker. */
export interface TaskEnd {
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
  private readonly conditions = new Map<worker.Worker, Condition>();
  /** Workers that failed a workload since it last finished anywhere. */
  private readonly failedOn = new Map<string, ReadonlySet<worker.Worker>>();

  /** Whether only a single probe task may be placed on the worker. */
  isOnProbation(candidate: worker.Worker): boolean {
    return this.conditions.get(candidate)?.state === 'probation';
  }

  /** Notes a task placed on a worker; a worker on probation takes no second. */
  placed(on: worker.Worker): void {
    const condition = this.conditions.get(on);
    if (condition?.state !== 'probation') return;
    this.conditions.set(on, {...condition, state: 'probing'});
    on.setSuspended(true);
  }

  /** Notes a probe that did not run, so that another one can be placed. */
  notRun(on: worker.Worker): void {
    const condition = this.conditions.get(on);
    if (condition?.state !== 'probing') return;
    this.conditions.set(on, {...condition, state: 'probation'});
    on.setSuspended(false);
  }

  /** Notes the end of a task; returns true when it suspends the worker. */
  ended(end: TaskEnd, now: clock.Milliseconds): boolean {
    const condition = this.conditions.get(end.worker) ?? HEALTHY;
    const isEarly = end.failed && end.ranMs <= EARLY_FAILURE_MS;
    if (condition.state === 'probing') {
      return this.probeEnded(end, isEarly, condition, now);
    }
    if (!end.failed) this.failedOn.set(end.workload, new Set());
    if (!isEarly) {
      if (condition.state === 'inService') this.conditions.delete(end.worker);
      return false;
    }
    const sound = this.isSound(end);
    if (condition.state !== 'inService') return false;
    const failed = new Set(condition.failed).add(end.workload);
    const soundFailures = condition.soundFailures + (sound ? 1 : 0);
    const few =
      failed.size < FAILURES_IN_A_ROW &&
      soundFailures < SOUND_FAILURES_IN_A_ROW;
    if (few) {
      this.conditions.set(end.worker, {...condition, failed, soundFailures});
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
  private isSound(end: TaskEnd): boolean {
    const known = this.failedOn.get(end.workload);
    if (known === undefined) return false;
    const failedOn = new Set(known).add(end.worker);
    this.failedOn.set(end.workload, failedOn);
    return failedOn.size === 1;
  }

  private probeEnded(
    end: TaskEnd,
    isEarly: boolean,
    condition: Condition,
    now: clock.Milliseconds,
  ): boolean {
    if (!isEarly) {
      this.conditions.delete(end.worker);
      end.worker.setSuspended(false);
      return false;
    }
    const doubled = Math.min(LONGEST_SUSPENSION_MS, 2 * condition.suspensionMs);
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
      failed: new Set(),
      soundFailures: 0,
      suspensionMs,
      until: now + suspensionMs,
    });
    suspended.setSuspended(true);
  }
}
