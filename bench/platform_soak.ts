import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as guaranteeChecker from './guarantee_checker.js';
import * as randomSource from '../src/machines/random_source.js';
import type * as faultRelay from '../stand_ins/fault_relay.js';

const PROCESS_COUNT = 3;
const WORKER_COUNT = 4;

/** Time with faults, and the longest time that everything may take after it. */
const FAULT_PERIOD_MS = 9_000;
const RECOVERY_TIMEOUT_MS = 40_000;

/** Time between two faults, and how long one lasts at least and at most. */
const FAULT_INTERVAL_MS = 500;
const MIN_FAULT_DURATION_MS = 200;
const FAULT_DURATION_SPREAD_MS = 2_500;

/** Time between two jobs. */
const JOB_INTERVAL_MS = 120;

/** Tries of a job, and the pause between them. */
const MAX_ATTEMPTS = 10;
const RETRY_DELAY_MS = 300;

/** Time between two looks at the jobs that are not done. */
const POLL_INTERVAL_MS = 100;

/** Longest time of a task. */
const RUN_TIME_SPREAD_MS = 700;

/** Status of a call that ended without an answer. */
const NO_ANSWER_STATUS = 0;

/** Answers that say that the job was not accepted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** What one run showed. */
export interface SoakOutcome {
  readonly breaches: ReadonlyArray<string>;
  readonly acceptedCount: number;
  readonly startCount: number;
}

/**
 * Real processes over the stand-ins under random faults from outside: processes
 * that are killed, paused or told to stop and started again, connections that
 * are reset, delayed or silent in one way or both, and a store that is silent.
 */
export class PlatformSoak {
  private readonly random: randomSource.SeededRandom;
  private readonly checker: guaranteeChecker.GuaranteeChecker;
  private readonly activeFaults: Array<Promise<void>> = [];
  private readonly disturbedProcesses = new Set<platformCell.CellProcess>();
  private readonly submissions: Array<Promise<void>> = [];
  private faultsEnded = false;

  private constructor(
    private readonly cell: platformCell.PlatformCell,
    seed: number,
  ) {
    this.random = new randomSource.SeededRandom(seed);
    this.checker = new guaranteeChecker.GuaranteeChecker(cell);
  }

  /** Plays one seed. */
  static async runSeed(seed: number): Promise<SoakOutcome> {
    const durations = new randomSource.SeededRandom(seed + 1);
    const cell = await platformCell.PlatformCell.start({
      processCount: PROCESS_COUNT,
      workerCount: WORKER_COUNT,
      runPlan: () => ({
        runTimeMs: 20 + durations.below(RUN_TIME_SPREAD_MS),
        outcome: 'done',
      }),
    });
    try {
      return await new PlatformSoak(cell, seed).run();
    } finally {
      await cell.stop();
    }
  }

  private async run(): Promise<SoakOutcome> {
    const load = this.submitJobs();
    const until = performance.now() + FAULT_PERIOD_MS;
    while (performance.now() < until) {
      this.activeFaults.push(this.injectFault());
      await timers.setTimeout(FAULT_INTERVAL_MS);
    }
    this.faultsEnded = true;
    await load;
    await Promise.all(this.activeFaults);
    await Promise.all(this.submissions);
    await this.awaitCompletion();
    this.checker.checkRuns();
    return {
      breaches: this.checker.breaches,
      acceptedCount: this.checker.acceptedCount,
      startCount: this.cell.startCount(),
    };
  }

  private async submitJobs(): Promise<void> {
    for (let next = 1; !this.faultsEnded; next += 1) {
      const id = platformCell.jobIdOf(next);
      this.submissions.push(this.submit(id, this.randomBelow(PROCESS_COUNT)));
      await timers.setTimeout(JOB_INTERVAL_MS);
    }
  }

  private async submit(id: string, first: number): Promise<void> {
    const count = 1 + this.randomBelow(4);
    const step = {count, cpu: 1_000, mem_mb: 512, est_runtime_ms: 300};
    const steps = [step, {...step, count: 1, after: [0]}];
    this.checker.jobSubmitted(id);
    let mayRun = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await timers.setTimeout(RETRY_DELAY_MS);
      const {processes} = this.cell;
      const entry = processes[(first + attempt) % processes.length];
      const body = {spec: '{}', steps};
      const {status} = await this.cell.callFront(entry, 'POST', id, body);
      if (status === 200) {
        this.checker.jobAccepted(id);
        return;
      }
      if (!REFUSAL_STATUSES.has(status)) mayRun = true;
    }
    if (!mayRun) this.checker.jobRefused(id);
  }

  // Faults.

  private async injectFault(): Promise<void> {
    const lastsMs =
      MIN_FAULT_DURATION_MS + this.randomBelow(FAULT_DURATION_SPREAD_MS);
    switch (this.randomBelow(8)) {
      case 0:
        return this.endProcess(process => process.child.kill(), lastsMs);
      case 1:
        return this.endProcess(process => {
          process.child.signal('SIGTERM');
          return process.child.waitForExit();
        }, lastsMs);
      case 2:
        return this.pauseProcess(lastsMs);
      case 3:
        return this.silenceStore(lastsMs);
      case 4:
        return this.disturbRelay(this.pick(this.cell.workerRelays), lastsMs);
      case 5:
        this.pick(this.cell.workerRelays).reset();
        return;
      case 6:
        return this.disturbRelay(
          this.pick(this.cell.processes).storeRelay,
          lastsMs,
        );
      default:
        this.pick(this.cell.processes).storeRelay.reset();
    }
  }

  private async endProcess(
    end: (process: platformCell.CellProcess) => Promise<unknown>,
    pauseMs: number,
  ): Promise<void> {
    const process = this.pick(this.cell.processes);
    if (this.disturbedProcesses.has(process)) return;
    this.disturbedProcesses.add(process);
    await end(process);
    await timers.setTimeout(pauseMs);
    await this.cell.restart(process);
  }

  private async pauseProcess(lastsMs: number): Promise<void> {
    const process = this.pick(this.cell.processes);
    if (this.disturbedProcesses.has(process)) return;
    this.disturbedProcesses.add(process);
    process.child.signal('SIGSTOP');
    await timers.setTimeout(lastsMs);
    process.child.signal('SIGCONT');
    this.disturbedProcesses.delete(process);
  }

  private async silenceStore(lastsMs: number): Promise<void> {
    this.cell.store.silent = true;
    await timers.setTimeout(lastsMs);
    this.cell.store.silent = false;
  }

  private async disturbRelay(
    relay: faultRelay.FaultRelay,
    lastsMs: number,
  ): Promise<void> {
    const modes: ReadonlyArray<faultRelay.RelayMode> = [
      'delay',
      'loseAnswers',
      'silent',
    ];
    relay.mode = this.pick(modes);
    await timers.setTimeout(lastsMs);
    relay.mode = 'pass';
    // Connections that lost bytes are of no use any more.
    relay.reset();
  }

  private async awaitCompletion(): Promise<void> {
    const until = performance.now() + RECOVERY_TIMEOUT_MS;
    for (const id of this.checker.acceptedJobs()) {
      for (let look = 0; ; look += 1) {
        const entry = this.cell.processes[look % PROCESS_COUNT];
        const {status, body} = await this.cell.callFront(entry, 'GET', id);
        if (status === 200 && body.state === 'completed') break;
        const isLost =
          status !== NO_ANSWER_STATUS &&
          !REFUSAL_STATUSES.has(status) &&
          status !== 200;
        if (isLost && status !== 504) this.checker.jobLost(id, status);
        if (performance.now() > until) {
          this.checker.jobUnfinished(id, status, String(body.state));
          break;
        }
        await timers.setTimeout(POLL_INTERVAL_MS);
      }
    }
  }

  private randomBelow(bound: number): number {
    return this.random.below(bound);
  }

  private pick<Item>(items: ReadonlyArray<Item>): Item {
    return items[this.randomBelow(items.length)];
  }
}
