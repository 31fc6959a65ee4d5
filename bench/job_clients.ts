import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import type * as jobInvariantChecker from './job_invariant_checker.js';
import type * as randomSource from '../src/machines/random_source.js';

/** Attempts to submit a job, and the delay before each repetition. */
const MAXIMUM_ATTEMPTS = 10;
const RETRY_DELAY_MS = 300;

/** Time between two status calls for a job after the load has ended. */
const POLL_INTERVAL_MS = 100;

/** Status of a call that ended without an answer. */
const NO_ANSWER_STATUS = 0;

/** HTTP statuses that say that a job was definitely not accepted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Statuses that say nothing about the state of a job. */
const UNKNOWN_STATE_STATUSES: ReadonlySet<number> = new Set([
  NO_ANSWER_STATUS,
  ...REFUSAL_STATUSES,
  504,
]);

/** A submission that ended without an answer. */
export interface UnansweredCall {
  readonly target: platformCell.CellProcess;
  readonly id: string;
  readonly sentAtMs: number;
}

/** Load of the clients of a cell. */
export interface ClientOptions {
  /** Time between two submissions. */
  readonly jobIntervalMs: number;
  /** Runtime that the jobs announce. */
  readonly estimatedRunTimeMs: number;
  /** Time between two status calls for an open job; none without it. */
  readonly watchIntervalMs?: number;
  readonly unanswered?: (call: UnansweredCall) => void;
}

/** Clients that submit jobs to any process and ask for their states. */
export class JobClients {
  private readonly submissions: Array<Promise<void>> = [];
  private readonly completedIds = new Set<string>();
  private hasEnded = false;

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly checker: jobInvariantChecker.JobInvariantChecker,
    private readonly random: randomSource.RandomSource,
    private readonly options: ClientOptions,
  ) {}

  /** Submits jobs until `end` is called. */
  async submitJobs(): Promise<void> {
    for (let jobNumber = 1; !this.hasEnded; jobNumber += 1) {
      const id = platformCell.jobIdOf(jobNumber);
      const firstIndex = this.random.below(this.cell.processes.length);
      this.submissions.push(this.submit(id, firstIndex));
      await timers.setTimeout(this.options.jobIntervalMs);
    }
  }

  /** Ends the load; the submissions under way are completed. */
  end(): void {
    this.hasEnded = true;
  }

  /** Waits until each submission is accepted or given up. */
  async waitForSubmissions(): Promise<void> {
    await Promise.all(this.submissions);
  }

  /** Waits until all accepted jobs are shown as completed. */
  async waitForCompletion(timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    for (const id of this.checker.acceptedJobs()) {
      if (this.completedIds.has(id)) continue;
      for (let poll = 0; ; poll += 1) {
        const {status, body} = await this.poll(id, poll);
        if (this.completedIds.has(id)) break;
        if (performance.now() > deadlineMs) {
          this.checker.jobUnfinished(id, status, String(body.state));
          break;
        }
        await timers.setTimeout(POLL_INTERVAL_MS);
      }
    }
  }

  private async submit(id: string, firstIndex: number): Promise<void> {
    const {estimatedRunTimeMs} = this.options;
    const count = 1 + this.random.below(4);
    const step = {
      count,
      cpu: 1_000,
      mem_mb: 512,
      est_runtime_ms: estimatedRunTimeMs,
    };
    const steps = [step, {...step, count: 1, after: [0]}];
    this.checker.jobSubmitted(id);
    let mayRun = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await timers.setTimeout(RETRY_DELAY_MS);
      const target = this.processAt(firstIndex + attempt);
      const body = {spec: '{}', steps};
      const sentAtMs = performance.now();
      const {status} = await this.cell.callJobApi(target, 'POST', id, body);
      if (status === NO_ANSWER_STATUS) {
        this.options.unanswered?.({target, id, sentAtMs});
      }
      if (status === 200) {
        this.checker.jobAccepted(id);
        await this.watch(id);
        return;
      }
      if (!REFUSAL_STATUSES.has(status)) mayRun = true;
    }
    if (!mayRun) this.checker.jobRefused(id);
  }

  /** Asks for the state of an accepted job while the load lasts. */
  private async watch(id: string): Promise<void> {
    const {watchIntervalMs} = this.options;
    if (watchIntervalMs === undefined) return;
    while (!this.hasEnded && !this.completedIds.has(id)) {
      await timers.setTimeout(watchIntervalMs);
      await this.poll(id, this.random.below(this.cell.processes.length));
    }
  }

  private async poll(
    id: string,
    processIndex: number,
  ): Promise<platformCell.JobApiResponse> {
    const target = this.processAt(processIndex);
    const response = await this.cell.callJobApi(target, 'GET', id);
    const {status, body} = response;
    if (status === 200) {
      if (body.state === 'completed') this.completedIds.add(id);
    } else if (!UNKNOWN_STATE_STATUSES.has(status)) {
      this.checker.jobLost(id, status);
    }
    return response;
  }

  private processAt(index: number): platformCell.CellProcess {
    const {processes} = this.cell;
    return processes[index % processes.length];
  }
}
