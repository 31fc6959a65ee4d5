import * as resources from '../src/machines/resources.js';
import type * as clock from '../src/machines/clock.js';
import type * as remoteWorker from '../src/machines/remote_worker.js';
import type * as workerClient from '../src/machines/worker_client.js';

/** What a run does once it has started. */
export interface PlannedRun {
  readonly runTimeMs: number;
  readonly outcome: 'done' | 'failed';
  /** Whether the run disturbs the serving tasks of its worker. */
  readonly disturbs?: boolean;
  /** Whether the run lasts: it reports its processor share as its progress. */
  readonly lasts?: boolean;
  /**
   * Returns the tail response time of a serving task from the processor shares
   * of the runs that disturb it, as a sum of percentages.
   */
  readonly tailMs?: (disturbingPercent: number) => number;
}

/** Returns the duration and the outcome of a run. */
export type RunPlan = (command: workerClient.StartCommand) => PlannedRun;

interface ActiveRun {
  readonly command: workerClient.StartCommand;
  readonly planned: PlannedRun;
  /** Processor share of the run, in percent. */
  readonly percent: number;
  /** When the processor share was set. */
  readonly percentSinceMs: number;
  /** Work left at that time, as a duration at full speed. */
  readonly remainingMs: number;
}

/** A serving task that is running, with what disturbs it. */
export interface ServingRun {
  readonly task: string;
  readonly run: number;
  readonly tailMs: number;
  readonly undisturbedTailMs: number;
}

/** A start or end of a run on a worker, for assertions. */
export interface RunEvent {
  readonly atMs: number;
  readonly worker: string;
  readonly kind: 'started' | 'ended';
  readonly task: string;
  readonly run: number;
  /** Token of the start: the term and the incarnation that it was meant for. */
  readonly fencingToken: number;
  /** How the run ended; empty for a start. */
  readonly outcome: string;
  /** When the start was sent, which may be long before it was carried out. */
  readonly sentAtMs?: number;
}

/** An end of a run that the system has allowed the worker to forget. */
export interface AcknowledgedEnd {
  readonly task: string;
  readonly run: number;
  readonly endKind: string;
  readonly endedAtMs: number;
  /** Whether the worker's lease lapsed between the end and its acknowledgement. */
  readonly leaseLapsed: boolean;
}

/** A listed end, with what decides whether its acknowledgement counts. */
interface ListedEnd {
  readonly reported: remoteWorker.ReportedRunEnd;
  readonly endedAtMs: number;
  readonly leaseLapsed: boolean;
}

/** Most ends that one report lists. */
const MAXIMUM_ENDS_PER_REPORT = 500;

/** Longest lease; the worker shortens longer ones to it. */
const MAXIMUM_LEASE_MS = 10_000;

const FULL_PERCENT = 100;

/** Model of one incarnation of a worker under the platform's protocol. */
export class WorkerModel {
  /** Calls do not reach the worker and answers do not leave it. */
  partitioned = false;
  /** The incarnation has ended; no call reaches it again. */
  crashed = false;
  /** Calls take effect but their answers are lost. */
  losesAnswers = false;
  /** Latest lease end that any call has set, on the worker's clock. */
  leaseEndMs = 0;
  /** Highest accepted fencing token; calls with a lower one are rejected. */
  highestFencingToken = 0;
  /** Reason for which all starts are rejected, if they are. */
  rejectReason: workerClient.RejectionReason | undefined;
  private readonly running = new Map<string, ActiveRun>();
  private readonly highestEndedRuns = new Map<string, number>();
  private ended: ListedEnd[] = [];
  private nextSequenceNumber = 1;

  constructor(
    readonly entry: remoteWorker.RegistryEntry,
    private readonly clock: clock.Clock,
    private readonly runPlan: RunPlan,
    private readonly events: RunEvent[],
    private readonly acknowledgedEnds: AcknowledgedEnd[] = [],
    /** Time at which the worker's own clock began. */
    private readonly clockStartMs = 0,
    /** Rate of the worker's own clock; below 1 it runs slow. */
    private readonly clockRate = 1,
  ) {}

  /** Time on the worker's own clock, which starts anew in each incarnation. */
  private get workerClockMs(): number {
    return (this.clock.now() - this.clockStartMs) * this.clockRate;
  }

  /** Time at which the lease ends or has ended. */
  private get leaseLapseMs(): number {
    return this.clockStartMs + this.leaseEndMs / this.clockRate;
  }

  get runningCount(): number {
    this.endDueRuns();
    return this.running.size;
  }

  start(
    command: workerClient.StartCommand,
    sentAtMs = this.clock.now(),
  ): workerClient.CommandOutcome {
    this.endDueRuns();
    if (command.fencingToken < this.highestFencingToken) {
      return this.reject('superseded');
    }
    if (this.rejectReason !== undefined) return this.reject(this.rejectReason);
    this.raiseFencingTokenAndLease(command.fencingToken, command.deadlineMs);
    if (command.deadlineMs <= this.workerClockMs) return this.reject('late');
    const activeRun = this.running.get(command.task);
    if (activeRun?.command.run === command.run) return this.done();
    const highestEndedRun = this.highestEndedRuns.get(command.task) ?? 0;
    if (activeRun !== undefined || command.run <= highestEndedRun) {
      return this.reject('staleRun');
    }
    const planned = this.runPlan(command);
    this.running.set(command.task, {
      command,
      planned,
      percent: FULL_PERCENT,
      percentSinceMs: this.clock.now(),
      remainingMs: planned.runTimeMs,
    });
    this.recordStart(command, sentAtMs);
    return this.done();
  }

  stop(
    runId: remoteWorker.RunId,
    fencingToken: number,
  ): workerClient.CommandOutcome {
    if (!this.acceptCommand(fencingToken, 0)) return this.reject('superseded');
    const highestEndedRun = this.highestEndedRuns.get(runId.task) ?? 0;
    this.highestEndedRuns.set(runId.task, Math.max(highestEndedRun, runId.run));
    if (this.running.get(runId.task)?.command.run === runId.run) {
      this.endRun(runId.task, 'stopped', this.clock.now());
    }
    return this.done();
  }

  /** Sets the processor share of a run; does nothing if it is not there. */
  throttle(
    runId: remoteWorker.RunId,
    percent: number,
    fencingToken: number,
  ): workerClient.CommandOutcome {
    if (!this.acceptCommand(fencingToken, 0)) return this.reject('superseded');
    const run = this.running.get(runId.task);
    if (run?.command.run !== runId.run) return this.reject('staleRun');
    const now = this.clock.now();
    const remainingMs = remainingWorkMs(run, now);
    const changed = {...run, percent, percentSinceMs: now, remainingMs};
    this.running.set(runId.task, changed);
    return this.done();
  }

  renewLeases(
    command: workerClient.RenewalCommand,
  ): workerClient.RenewalOutcome {
    if (!this.acceptCommand(command.fencingToken, command.deadlineMs ?? 0)) {
      return {kind: 'rejected', reason: 'superseded'};
    }
    this.forgetEnds(command.storedEndNumber);
    return {
      kind: 'reported',
      report: {
        clockMs: this.workerClockMs,
        born: this.entry.born,
        running: [...this.running.values()].map(run => this.toReportedRun(run)),
        ended: this.ended
          .slice(0, MAXIMUM_ENDS_PER_REPORT)
          .map(({reported}) => reported),
        hasMoreEnds: this.ended.length >= MAXIMUM_ENDS_PER_REPORT,
      },
    };
  }

  private forgetEnds(acknowledgedNumber: number): void {
    const kept: ListedEnd[] = [];
    for (const listed of this.ended) {
      const {sequenceNumber, task, run, endKind} = listed.reported;
      if (sequenceNumber > acknowledgedNumber) {
        kept.push(listed);
        continue;
      }
      const {endedAtMs, leaseLapsed} = listed;
      this.acknowledgedEnds.push({task, run, endKind, endedAtMs, leaseLapsed});
    }
    this.ended = kept;
  }

  /** Ends the incarnation: all runs are lost and no call is answered again. */
  crash(): void {
    this.endDueRuns();
    for (const {command} of this.running.values()) {
      this.recordEnd(command, 'lost', this.clock.now());
    }
    this.running.clear();
    this.partitioned = true;
    this.crashed = true;
  }

  get hasEndedRuns(): boolean {
    this.endDueRuns();
    return this.ended.length > 0;
  }

  /** Number of ends before a time that the worker still lists. */
  countListedEnds(beforeMs: number): number {
    return this.ended.filter(({endedAtMs}) => endedAtMs < beforeMs).length;
  }

  /** Returns the processor share of each run that disturbs others. */
  disturbingRuns(): ReadonlyArray<{task: string; percent: number}> {
    return [...this.running]
      .filter(([, {planned}]) => planned.disturbs === true)
      .map(([task, {percent}]) => ({task, percent}));
  }

  /** Returns the serving tasks that are running. */
  servingRuns(): ReadonlyArray<ServingRun> {
    const disturbingPercent = this.disturbingPercent();
    const serving: ServingRun[] = [];
    for (const [task, {command, planned}] of this.running) {
      if (planned.tailMs === undefined) continue;
      const tailMs = planned.tailMs(disturbingPercent);
      const undisturbedTailMs = planned.tailMs(0);
      serving.push({task, run: command.run, tailMs, undisturbedTailMs});
    }
    return serving;
  }

  private disturbingPercent(): number {
    let sum = 0;
    for (const {percent} of this.disturbingRuns()) sum += percent;
    return sum;
  }

  /** Whether a task has a run here. */
  isRunning(task: string): boolean {
    return this.running.has(task);
  }

  /** Returns the sum of the sizes of the running tasks. */
  reservedCapacity(
    sizeOf: (task: string) => resources.Resources,
  ): resources.Resources {
    let reserved = resources.NONE;
    for (const task of this.running.keys()) {
      reserved = resources.add(reserved, sizeOf(task));
    }
    return reserved;
  }

  private toReportedRun(run: ActiveRun): remoteWorker.ReportedRun {
    const {task, run: number, checkpoint} = run.command;
    const {lasts, runTimeMs, tailMs} = run.planned;
    const remainingMs = remainingWorkMs(run, this.clock.now());
    const doneMs = runTimeMs - remainingMs;
    const percent = lasts ? run.percent : (FULL_PERCENT * doneMs) / runTimeMs;
    const usage = tailMs?.(this.disturbingPercent()) ?? 0;
    return {task, run: number, checkpoint, percent, usage};
  }

  /**
   * Takes over a command's fencing token and lease; returns false if a command
   * with a higher token has arrived before.
   */
  private acceptCommand(fencingToken: number, leaseEndMs: number): boolean {
    this.endDueRuns();
    if (fencingToken < this.highestFencingToken) return false;
    this.raiseFencingTokenAndLease(fencingToken, leaseEndMs);
    return true;
  }

  private raiseFencingTokenAndLease(
    fencingToken: number,
    leaseEndMs: number,
  ): void {
    this.highestFencingToken = Math.max(this.highestFencingToken, fencingToken);
    const longestLeaseEndMs = this.workerClockMs + MAXIMUM_LEASE_MS;
    const grantedMs = Math.min(leaseEndMs, longestLeaseEndMs);
    this.leaseEndMs = Math.max(this.leaseEndMs, grantedMs);
  }

  /**
   * Ends the runs that have finished, and all runs if the lease has ended. The
   * ends are recorded for the times at which they were due.
   */
  endDueRuns(): void {
    const lastMs = Math.min(this.clock.now(), this.leaseLapseMs);
    for (const [task, run] of [...this.running]) {
      const endMs = endOf(run);
      if (endMs <= lastMs) this.endRun(task, run.planned.outcome, endMs);
    }
    if (this.leaseEndMs > this.workerClockMs) return;
    for (const task of [...this.running.keys()]) {
      this.endRun(task, 'lapsed', this.leaseLapseMs);
    }
    this.ended = this.ended.map(listed => ({...listed, leaseLapsed: true}));
  }

  private endRun(task: string, outcome: string, endedAtMs: number): void {
    const ending = this.running.get(task);
    if (ending === undefined) return;
    this.running.delete(task);
    const {run} = ending.command;
    const highestEndedRun = this.highestEndedRuns.get(task) ?? 0;
    this.highestEndedRuns.set(task, Math.max(highestEndedRun, run));
    const sequenceNumber = this.nextSequenceNumber;
    this.nextSequenceNumber += 1;
    this.ended.push({
      reported: {sequenceNumber, task, run, endKind: outcome, checkpoint: ''},
      endedAtMs,
      leaseLapsed: false,
    });
    this.recordEnd(ending.command, outcome, endedAtMs);
  }

  private recordStart(
    {task, run, fencingToken}: workerClient.StartCommand,
    sentAtMs: number,
  ): void {
    this.events.push({
      atMs: this.clock.now(),
      worker: this.entry.id,
      kind: 'started',
      task,
      run,
      fencingToken,
      outcome: '',
      sentAtMs,
    });
  }

  private recordEnd(
    {task, run, fencingToken}: workerClient.StartCommand,
    outcome: string,
    atMs: number,
  ): void {
    const worker = this.entry.id;
    const kind = 'ended';
    this.events.push({atMs, worker, kind, task, run, fencingToken, outcome});
  }

  private done(): workerClient.CommandOutcome {
    return {kind: 'done', clockMs: this.workerClockMs};
  }

  private reject(
    reason: workerClient.RejectionReason,
  ): workerClient.CommandOutcome {
    return {kind: 'rejected', reason, clockMs: this.workerClockMs};
  }
}

/** Returns the work that a run has left, as a duration at full speed. */
function remainingWorkMs(run: ActiveRun, now: clock.Milliseconds): number {
  const elapsedMs = now - run.percentSinceMs;
  const doneMs = (elapsedMs * run.percent) / FULL_PERCENT;
  return Math.max(0, run.remainingMs - doneMs);
}

/** Returns when a run ends at its present speed; Infinity if it is paused. */
function endOf(run: ActiveRun): clock.Milliseconds {
  if (run.percent === 0) return Infinity;
  return run.percentSinceMs + (run.remainingMs * FULL_PERCENT) / run.percent;
}
