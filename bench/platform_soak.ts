import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as promiseCheck from './promise_check.js';
import * as randomSource from '../src/machines/random_source.js';
import type * as faultRelay from '../stand_ins/fault_relay.js';

const PROCESSES = 3;
const WORKERS = 4;

/** Time with faults, and the longest time that everything may take after it. */
const EVENTFUL_MS = 9_000;
const RECOVERY_MS = 40_000;

/** Time between two faults, and how long one lasts at least and at most. */
const FAULT_GAP_MS = 500;
const LEAST_FAULT_MS = 200;
const FAULT_SPREAD_MS = 2_500;

/** Time between two jobs. */
const JOB_GAP_MS = 120;

/** Tries of a job, and the pause between them. */
const TRIES = 10;
const TRY_PAUSE_MS = 300;

/** Time between two looks at the jobs that are not done. */
const LOOK_MS = 100;

/** Longest time of a task. */
const LONGEST_MS = 700;

/** Status of a call that ended without an answer. */
const CUT = 0;

/** Answers that say that the job was not accepted. */
const REFUSED: ReadonlySet<number> = new Set([429, 503]);

/** What one run showed. */
export interface SoakOutcome {
  readonly broken: ReadonlyArray<string>;
  readonly accepted: number;
  readonly starts: number;
}

/**
 * Real processes over the stand-ins under random faults from outside: processes
 * that are killed, paused or told to stop and started again, connections that
 * are reset, delayed or silent in one way or both, and a store that is silent.
 */
export class PlatformSoak {
  private readonly random: randomSource.SeededRandom;
  private readonly check: promiseCheck.PromiseCheck;
  private readonly faults: Array<Promise<void>> = [];
  private readonly busy = new Set<platformCell.CellProcess>();
  private readonly jobs: Array<Promise<void>> = [];
  private isOver = false;

  private constructor(
    private readonly cell: platformCell.PlatformCell,
    seed: number,
  ) {
    this.random = new randomSource.SeededRandom(seed);
    this.check = new promiseCheck.PromiseCheck(cell);
  }

  /** Plays one seed. */
  static async play(seed: number): Promise<SoakOutcome> {
    const durations = new randomSource.SeededRandom(seed + 1);
    const cell = await platformCell.PlatformCell.start({
      processes: PROCESSES,
      workers: WORKERS,
      runs: () => ({runtimeMs: 20 + durations.below(LONGEST_MS), how: 'done'}),
    });
    try {
      return await new PlatformSoak(cell, seed).run();
    } finally {
      await cell.stop();
    }
  }

  private async run(): Promise<SoakOutcome> {
    const load = this.handIn();
    const until = performance.now() + EVENTFUL_MS;
    while (performance.now() < until) {
      this.faults.push(this.fault());
      await timers.setTimeout(FAULT_GAP_MS);
    }
    this.isOver = true;
    await load;
    await Promise.all(this.faults);
    await Promise.all(this.jobs);
    await this.awaitCompletion();
    this.check.checkRuns();
    return {
      broken: this.check.broken,
      accepted: this.check.acceptedCount,
      starts: this.cell.startCount(),
    };
  }

  private async handIn(): Promise<void> {
    for (let next = 1; !this.isOver; next += 1) {
      const id = platformCell.jobIdOf(next);
      this.jobs.push(this.submit(id, this.draw(PROCESSES)));
      await timers.setTimeout(JOB_GAP_MS);
    }
  }

  private async submit(id: string, first: number): Promise<void> {
    const count = 1 + this.draw(4);
    const step = {count, cpu: 1_000, mem_mb: 512, est_runtime_ms: 300};
    const steps = [step, {...step, count: 1, after: [0]}];
    this.check.handedIn(id);
    let mayRun = false;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      if (attempt > 0) await timers.setTimeout(TRY_PAUSE_MS);
      const {processes} = this.cell;
      const entry = processes[(first + attempt) % processes.length];
      const body = {spec: '{}', steps};
      const {status} = await this.cell.call(entry, 'POST', id, body);
      if (status === 200) {
        this.check.accepted(id);
        return;
      }
      if (!REFUSED.has(status)) mayRun = true;
    }
    if (!mayRun) this.check.refused(id);
  }

  // Faults.

  private async fault(): Promise<void> {
    const lastsMs = LEAST_FAULT_MS + this.draw(FAULT_SPREAD_MS);
    switch (this.draw(8)) {
      case 0:
        return this.endProcess(process => process.child.kill(), lastsMs);
      case 1:
        return this.endProcess(process => {
          process.child.signal('SIGTERM');
          return process.child.ended();
        }, lastsMs);
      case 2:
        return this.pauseProcess(lastsMs);
      case 3:
        return this.silenceStore(lastsMs);
      case 4:
        return this.disturb(this.pick(this.cell.workerRelays), lastsMs);
      case 5:
        this.pick(this.cell.workerRelays).reset();
        return;
      case 6:
        return this.disturb(this.pick(this.cell.processes).storeRelay, lastsMs);
      default:
        this.pick(this.cell.processes).storeRelay.reset();
    }
  }

  private async endProcess(
    end: (process: platformCell.CellProcess) => Promise<unknown>,
    pauseMs: number,
  ): Promise<void> {
    const process = this.pick(this.cell.processes);
    if (this.busy.has(process)) return;
    this.busy.add(process);
    await end(process);
    await timers.setTimeout(pauseMs);
    await this.cell.restart(process);
  }

  private async pauseProcess(lastsMs: number): Promise<void> {
    const process = this.pick(this.cell.processes);
    if (this.busy.has(process)) return;
    this.busy.add(process);
    process.child.signal('SIGSTOP');
    await timers.setTimeout(lastsMs);
    process.child.signal('SIGCONT');
    this.busy.delete(process);
  }

  private async silenceStore(lastsMs: number): Promise<void> {
    this.cell.store.silent = true;
    await timers.setTimeout(lastsMs);
    this.cell.store.silent = false;
  }

  private async disturb(
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
    const until = performance.now() + RECOVERY_MS;
    for (const id of this.check.acceptedJobs()) {
      for (let look = 0; ; look += 1) {
        const entry = this.cell.processes[look % PROCESSES];
        const {status, body} = await this.cell.call(entry, 'GET', id);
        if (status === 200 && body.state === 'completed') break;
        const isLost = status !== CUT && !REFUSED.has(status) && status !== 200;
        if (isLost && status !== 504) this.check.lost(id, status);
        if (performance.now() > until) {
          this.check.unfinished(id, status, String(body.state));
          break;
        }
        await timers.setTimeout(LOOK_MS);
      }
    }
  }

  private draw(bound: number): number {
    return this.random.below(bound);
  }

  private pick<Item>(items: ReadonlyArray<Item>): Item {
    return items[this.draw(items.length)];
  }
}
