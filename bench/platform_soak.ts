import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as jobClients from './job_clients.js';
import * as jobInvariantChecker from './job_invariant_checker.js';
import * as randomSource from '../src/machines/random_source.js';
import type * as faultRelay from '../stand_ins/fault_relay.js';

/** Size of the cell of a run and the load on it. */
export interface SoakSize {
  readonly processCount: number;
  readonly workerCount: number;
  /** Time between two submissions. */
  readonly jobIntervalMs: number;
  /** Whether processes also get too little processor time. */
  readonly hasSlowProcesses: boolean;
}

/** Size of the runs in the test suite. */
export const SMALL_SIZE: SoakSize = {
  processCount: 3,
  workerCount: 4,
  jobIntervalMs: 120,
  hasSlowProcesses: false,
};

/** Size at which a leader has many members and workers to keep in touch with. */
export const LARGE_SIZE: SoakSize = {
  processCount: 20,
  workerCount: 80,
  jobIntervalMs: 40,
  hasSlowProcesses: true,
};

/** Time with faults, and the time within which all jobs complete after it. */
const FAULT_PERIOD_MS = 9_000;
const RECOVERY_TIMEOUT_MS = 40_000;

/** Time between two faults, and the range of their durations. */
const FAULT_INTERVAL_MS = 500;
const MINIMUM_FAULT_DURATION_MS = 200;
const FAULT_DURATION_SPREAD_MS = 2_500;

/** Most signals of a series of SIGTERM, and the range of their distances. */
const MAXIMUM_TERMINATION_SIGNALS = 4;
const TERMINATION_SPREAD_MS = 150;

/** Limit of a process's drain, `grace_s` of the stand-in's settings. */
const GRACE_MS = 4_000;

/** A request that was sent this long before SIGTERM was certainly read. */
const READ_MARGIN_MS = 250;

/** Turns of a process that gets a quarter of its processor time. */
const SLOW_PAUSE_MS = 300;
const SLOW_RUN_MS = 100;

/** Number of kinds of faults without slow processes. */
const FAULT_KIND_COUNT = 8;

/** Time between two changes of the configuration. */
const CHANGE_INTERVAL_MS = 400;

/** Queue that changes of the configuration add and remove. */
const OTHER_QUEUE_PATH = '/inspections/';

const OTHER_QUEUE_ROUTE = {
  ...platformCell.QUEUE_ROUTE,
  name: 'inspections',
  path_prefix: OTHER_QUEUE_PATH,
};

/**
 * Time after the last fault and the last change from which each process has to
 * decide by the last version: contact is due again after 4 s.
 */
const CONFIGURATION_TIMEOUT_MS = 4_000;

/** Range of the random part of a task's run time. */
const RUN_TIME_SPREAD_MS = 700;

/** Runtime that the jobs announce. */
const ESTIMATED_RUN_TIME_MS = 300;

/** Result of a run with one seed. */
export interface SoakOutcome {
  readonly violations: ReadonlyArray<string>;
  readonly acceptedCount: number;
  readonly startCount: number;
}

/**
 * Runs real processes over the stand-ins and injects random faults: processes
 * are killed, paused, slowed, or stopped by series of SIGTERM and restarted; connections are reset, delayed
 * or silent in one or both directions; the store stops answering; a queue is
 * added and removed meanwhile.
 */
export class PlatformSoak {
  private readonly random: randomSource.SeededRandom;
  private readonly checker: jobInvariantChecker.JobInvariantChecker;
  private readonly activeFaults: Array<Promise<void>> = [];
  private readonly faultyProcesses = new Set<platformCell.CellProcess>();
  private readonly clients: jobClients.JobClients;
  /** When each process that is being terminated got its first SIGTERM. */
  private readonly terminatedAtMs = new Map<platformCell.CellProcess, number>();
  /** A source of its own, so that the faults of a seed keep their course. */
  private readonly signalRandom: randomSource.SeededRandom;
  private faultsEnded = false;
  private version = 1;
  private hasOtherQueue = false;

  private constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly size: SoakSize,
    private readonly seed: number,
  ) {
    this.random = new randomSource.SeededRandom(seed);
    this.signalRandom = new randomSource.SeededRandom(seed + 3);
    this.checker = new jobInvariantChecker.JobInvariantChecker(cell);
    this.clients = new jobClients.JobClients(cell, this.checker, this.random, {
      jobIntervalMs: size.jobIntervalMs,
      estimatedRunTimeMs: ESTIMATED_RUN_TIME_MS,
      unanswered: call => this.checkCutOff(call),
    });
  }

  /** Runs one seed and returns the guarantees that were violated. */
  static async runSeed(
    seed: number,
    size: SoakSize = SMALL_SIZE,
  ): Promise<SoakOutcome> {
    const durations = new randomSource.SeededRandom(seed + 1);
    const cell = await platformCell.PlatformCell.start({
      processCount: size.processCount,
      workerCount: size.workerCount,
      runPlan: () => ({
        runTimeMs: 20 + durations.below(RUN_TIME_SPREAD_MS),
        outcome: 'done',
      }),
    });
    try {
      return await new PlatformSoak(cell, size, seed).run();
    } finally {
      await cell.stop();
    }
  }

  private async run(): Promise<SoakOutcome> {
    const load = this.clients.submitJobs();
    const changes = this.changeConfigurations();
    const faultsEndMs = performance.now() + FAULT_PERIOD_MS;
    while (performance.now() < faultsEndMs) {
      this.activeFaults.push(this.injectFault());
      await timers.setTimeout(FAULT_INTERVAL_MS);
    }
    this.faultsEnded = true;
    this.clients.end();
    await load;
    await changes;
    await Promise.all(this.activeFaults);
    await this.checkConfiguration();
    await this.clients.waitForSubmissions();
    await this.clients.waitForCompletion(RECOVERY_TIMEOUT_MS);
    this.checker.checkRuns(new jobInvariantChecker.AnySuccess());
    return {
      violations: this.checker.violations,
      acceptedCount: this.checker.acceptedCount,
      startCount: this.cell.startCount(),
    };
  }

  /** Adds and removes a queue until the faults end, in uneven steps. */
  private async changeConfigurations(): Promise<void> {
    // A source of its own, so that the faults of a seed keep their course.
    const random = new randomSource.SeededRandom(this.seed + 2);
    while (!this.faultsEnded) {
      await timers.setTimeout(random.below(2 * CHANGE_INTERVAL_MS));
      this.version += 1 + random.below(3);
      this.hasOtherQueue = random.below(2) === 0;
      const others = this.hasOtherQueue ? [OTHER_QUEUE_ROUTE] : [];
      const routes = [platformCell.QUEUE_ROUTE, ...others];
      this.cell.publishConfiguration(this.version, routes);
    }
  }

  /** Checks that all processes decide by the last version of the operator. */
  private async checkConfiguration(): Promise<void> {
    await timers.setTimeout(CONFIGURATION_TIMEOUT_MS);
    const expected = this.hasOtherQueue ? 200 : 404;
    for (const target of this.cell.processes) {
      const status = await this.cell.countPending(target, OTHER_QUEUE_PATH);
      if (status === expected) continue;
      this.checker.configurationOutdated(target.name, status, this.version);
    }
  }

  private async injectFault(): Promise<void> {
    const durationMs =
      MINIMUM_FAULT_DURATION_MS + this.randomBelow(FAULT_DURATION_SPREAD_MS);
    const kindCount = FAULT_KIND_COUNT + (this.size.hasSlowProcesses ? 1 : 0);
    switch (this.randomBelow(kindCount)) {
      case 0:
        return this.endProcess(target => target.child.kill(), durationMs);
      case 1:
        return this.endProcess(target => this.terminate(target), durationMs);
      case 2:
        return this.pauseProcess(durationMs);
      case 3:
        return this.silenceStore(durationMs);
      case 4:
        return this.injectRelayFault(
          this.pick(this.cell.workerRelays),
          durationMs,
        );
      case 5:
        this.pick(this.cell.workerRelays).reset();
        return;
      case 6:
        return this.injectRelayFault(
          this.pick(this.cell.processes).storeRelay,
          durationMs,
        );
      case 7:
        this.pick(this.cell.processes).storeRelay.reset();
        return;
      default:
        return this.slowDownLeader(durationMs);
    }
  }

  private async endProcess(
    end: (target: platformCell.CellProcess) => Promise<unknown>,
    downTimeMs: number,
  ): Promise<void> {
    const target = this.pick(this.cell.processes);
    if (this.faultyProcesses.has(target)) return;
    this.faultyProcesses.add(target);
    await end(target);
    await timers.setTimeout(downTimeMs);
    await this.cell.restart(target);
  }

  /** Sends a series of SIGTERM, as overlapping rolling restarts do. */
  private async terminate(target: platformCell.CellProcess): Promise<void> {
    const {signalRandom} = this;
    this.terminatedAtMs.set(target, performance.now());
    const exit = target.child.waitForExit();
    const count = 1 + signalRandom.below(MAXIMUM_TERMINATION_SIGNALS);
    for (let sent = 0; sent < count; sent += 1) {
      target.child.signal('SIGTERM');
      const pauseMs = signalRandom.below(TERMINATION_SPREAD_MS);
      await Promise.race([exit, timers.setTimeout(pauseMs)]);
    }
    await exit;
    // Calls that ended with the process are checked before it is forgotten.
    await timers.setTimeout(READ_MARGIN_MS);
    this.terminatedAtMs.delete(target);
  }

  /** Checks that only the limit of the drain has ended an open request. */
  private checkCutOff({target, id, sentAtMs}: jobClients.UnansweredCall): void {
    const terminatedAtMs = this.terminatedAtMs.get(target);
    if (terminatedAtMs === undefined) return;
    const wasRead = sentAtMs <= terminatedAtMs - READ_MARGIN_MS;
    const isWithinGrace = performance.now() < terminatedAtMs + GRACE_MS;
    if (wasRead && isWithinGrace) this.checker.requestCutOff(target.name, id);
  }

  private async pauseProcess(durationMs: number): Promise<void> {
    const target = this.pick(this.cell.processes);
    if (this.faultyProcesses.has(target)) return;
    this.faultyProcesses.add(target);
    target.child.signal('SIGSTOP');
    await timers.setTimeout(durationMs);
    target.child.signal('SIGCONT');
    this.faultyProcesses.delete(target);
  }

  /** Makes the leader's event loop late again and again, but never silent. */
  private async slowDownLeader(durationMs: number): Promise<void> {
    const target = this.cell.leader();
    if (this.faultyProcesses.has(target)) return;
    this.faultyProcesses.add(target);
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      target.child.signal('SIGSTOP');
      await timers.setTimeout(SLOW_PAUSE_MS);
      target.child.signal('SIGCONT');
      await timers.setTimeout(SLOW_RUN_MS);
    }
    this.faultyProcesses.delete(target);
  }

  private async silenceStore(durationMs: number): Promise<void> {
    this.cell.store.silent = true;
    await timers.setTimeout(durationMs);
    this.cell.store.silent = false;
  }

  private async injectRelayFault(
    relay: faultRelay.FaultRelay,
    durationMs: number,
  ): Promise<void> {
    const modes: ReadonlyArray<faultRelay.RelayMode> = [
      'delay',
      'loseAnswers',
      'silent',
    ];
    relay.mode = this.pick(modes);
    await timers.setTimeout(durationMs);
    relay.mode = 'pass';
    // Connections that lost bytes cannot be used again.
    relay.reset();
  }

  private randomBelow(bound: number): number {
    return this.random.below(bound);
  }

  private pick<Item>(items: ReadonlyArray<Item>): Item {
    return items[this.randomBelow(items.length)];
  }
}
