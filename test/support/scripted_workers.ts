import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** A start that a scripted worker has carried out. */
export interface ScriptedStart extends remoteWorker.RunId {
  readonly worker: string;
}

/** The part of a report that lists runs. */
type ReportedRuns = Pick<remoteWorker.RenewalReport, 'running' | 'ended'>;

const NO_RUNS: ReportedRuns = {running: [], ended: []};

/**
 * Workers that carry out all commands at once and report only when a test tells
 * them to.
 */
export class ScriptedWorkers implements workerClient.WorkerClient {
  readonly starts: ScriptedStart[] = [];
  readonly stops: remoteWorker.RunId[] = [];
  /** Whether starts are answered; unanswered ones wait for `loseStarts`. */
  answersStarts = true;
  private readonly unansweredStarts: Array<
    (outcome: workerClient.CommandOutcome) => void
  > = [];
  private readonly contacted = new Set<string>();
  private readonly waiting = new Map<
    string,
    (outcome: workerClient.RenewalOutcome) => void
  >();
  private readonly endCounts = new Map<string, number>();

  constructor(private readonly now: () => number) {}

  /** Number of workers that were asked for a report. */
  get sessionCount(): number {
    return this.contacted.size;
  }

  start(
    worker: remoteWorker.RegistryEntry,
    command: workerClient.StartCommand,
  ): Promise<workerClient.CommandOutcome> {
    const {task, run} = command;
    this.starts.push({worker: worker.id, task, run});
    if (!this.answersStarts) {
      return new Promise(resolve => this.unansweredStarts.push(resolve));
    }
    return Promise.resolve({kind: 'done', clockMs: this.now()});
  }

  /** Lets all unanswered starts time out. */
  loseStarts(): void {
    for (const resolve of this.unansweredStarts.splice(0)) {
      resolve({kind: 'unanswered', detail: 'lost'});
    }
  }

  async stop(
    _worker: remoteWorker.RegistryEntry,
    runId: remoteWorker.RunId,
  ): Promise<workerClient.CommandOutcome> {
    this.stops.push(runId);
    return {kind: 'done', clockMs: this.now()};
  }

  async throttle(): Promise<workerClient.CommandOutcome> {
    return {kind: 'done', clockMs: undefined};
  }

  renewLeases(
    worker: remoteWorker.RegistryEntry,
    command: workerClient.RenewalCommand,
  ): Promise<workerClient.RenewalOutcome> {
    this.contacted.add(worker.id);
    if (command.waitMs === 0) return Promise.resolve(this.reportOf(NO_RUNS));
    return new Promise(resolve => this.waiting.set(worker.id, resolve));
  }

  /** Lets a worker report the end of a run; by default that it succeeded. */
  endRun(ended: ScriptedStart, endKind = 'done'): void {
    const sequenceNumber = (this.endCounts.get(ended.worker) ?? 0) + 1;
    this.endCounts.set(ended.worker, sequenceNumber);
    const {task, run} = ended;
    const row = {task, run, sequenceNumber, endKind, checkpoint: ''};
    this.answer(ended.worker, {running: [], ended: [row]});
  }

  /** Lets a worker report that nothing has changed. */
  reportUnchanged(worker: string): void {
    this.answer(worker, NO_RUNS);
  }

  /** Lets a worker report that all runs it was told to start are running. */
  reportRunning(worker: string): void {
    const running = this.starts
      .filter(start => start.worker === worker)
      .map(({task, run}) => ({
        task,
        run,
        percent: 0,
        usage: 0,
        checkpoint: '',
      }));
    this.answer(worker, {running, ended: []});
  }

  private answer(worker: string, runs: ReportedRuns): void {
    const resolve = this.waiting.get(worker);
    this.waiting.delete(worker);
    resolve?.(this.reportOf(runs));
  }

  private reportOf(runs: ReportedRuns): workerClient.RenewalOutcome {
    const report = {
      clockMs: this.now(),
      born: 1,
      hasMoreEnds: false,
      ...runs,
    };
    return {kind: 'reported', report};
  }
}
