import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as jobClients from './job_clients.js';
import * as jobInvariantChecker from './job_invariant_checker.js';
import * as linkSwitch from '../stand_ins/link_switch.js';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as randomSource from '../src/machines/random_source.js';
import * as zoneSoakFaults from './zone_soak_faults.js';
import * as zoneSoakPlan from './zone_soak_plan.js';
import * as zoneSoakReport from './zone_soak_report.js';

/** Size of the cell of a run and the load on it. */
export interface ZoneSoakSize {
  readonly processCount: number;
  readonly workerCount: number;
  /** Time between two submissions. */
  readonly jobIntervalMs: number;
}

/** Zones of three, three and two VMs, and four workers each. */
export const SMALL_SIZE: ZoneSoakSize = {
  processCount: 8,
  workerCount: 12,
  jobIntervalMs: 160,
};

/** Size at which a leader has many members to hear from. */
export const LARGE_SIZE: ZoneSoakSize = {
  processCount: 22,
  workerCount: 36,
  jobIntervalMs: 80,
};

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Workers' clocks run slow by up to this many thousandths. */
const MAXIMUM_SLOWNESS_THOUSANDTHS = 20;

/** Range of the runtime of a task, and what jobs announce. */
const MINIMUM_RUN_TIME_MS = 50;
const RUN_TIME_SPREAD_MS = 2_500;
const ESTIMATED_RUN_TIME_MS = 1_200;

/** Starts before the first cut, and the time within which they happen. */
const WARM_START_COUNT = 40;
const WARM_UP_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

/** Time between two status calls of a client for an open job. */
const WATCH_INTERVAL_MS = 2_000;

/** Time between the last cut and the end of the load. */
const LOAD_AFTER_CUTS_MS = 3_000;

/** Time after a cut in which its members' lines still belong to it. */
const SETTLE_MS = 2_000;

/** Time within which all jobs complete after the faults. */
const RECOVERY_TIMEOUT_MS = 60_000;

/** How to run a seed. */
export interface ZoneSoakOptions {
  readonly seed: number;
  readonly size: ZoneSoakSize;
  /** Cuts in place of those of the seed. */
  readonly cuts?: ReadonlyArray<zoneSoakPlan.CutPlan>;
  /** Program under test and its arguments; defaults to the compiled code. */
  readonly command?: ReadonlyArray<string>;
  /** Folder for the processes' logs and the workers' events. */
  readonly logFolder?: string;
}

/** Result of a run with one seed. */
export interface ZoneSoakOutcome {
  readonly violations: ReadonlyArray<string>;
  readonly acceptedCount: number;
  readonly startCount: number;
  /** One line per cut: what it was and what its members have logged. */
  readonly cutLines: ReadonlyArray<string>;
}

/**
 * Runs real processes in three availability zones over the stand-ins and cuts
 * whole zones off from the others, from the store and from workers, while
 * processes and workers restart inside and outside the cut.
 */
export class ZoneSoak {
  private readonly random: randomSource.SeededRandom;
  private readonly checker: jobInvariantChecker.JobInvariantChecker;
  private readonly scene: zoneSoakFaults.FaultScene;
  private readonly operator: zoneSoakFaults.CellOperator;
  private readonly clients: jobClients.JobClients;
  private readonly reports: Array<Promise<string>> = [];
  private previousZones: ReadonlySet<string> = new Set();

  private constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly links: linkSwitch.LinkSwitch,
    private readonly options: ZoneSoakOptions,
  ) {
    this.random = new randomSource.SeededRandom(options.seed);
    this.checker = new jobInvariantChecker.JobInvariantChecker(cell);
    const {checker, random} = this;
    this.scene = {cell, linkSwitch: links, checker, random};
    this.operator = new zoneSoakFaults.CellOperator(this.scene);
    const loadRandom = new randomSource.SeededRandom(options.seed + 2);
    this.clients = new jobClients.JobClients(cell, checker, loadRandom, {
      jobIntervalMs: options.size.jobIntervalMs,
      estimatedRunTimeMs: ESTIMATED_RUN_TIME_MS,
      watchIntervalMs: WATCH_INTERVAL_MS,
    });
  }

  /** Runs one seed and returns the guarantees that were violated. */
  static async runSeed(options: ZoneSoakOptions): Promise<ZoneSoakOutcome> {
    const {seed, size, command} = options;
    const durations = new randomSource.SeededRandom(seed + 1);
    const rates = new randomSource.SeededRandom(seed + 3);
    const links = new linkSwitch.LinkSwitch();
    const cell = await platformCell.PlatformCell.start({
      processCount: size.processCount,
      workerCount: size.workerCount,
      zones: ZONES,
      linkSwitch: links,
      command,
      runPlan: () => ({
        runTimeMs: MINIMUM_RUN_TIME_MS + durations.below(RUN_TIME_SPREAD_MS),
        outcome: 'done',
      }),
      workerClockRate: () =>
        1 - rates.below(MAXIMUM_SLOWNESS_THOUSANDTHS + 1) / 1_000,
    });
    try {
      return await new ZoneSoak(cell, links, options).run();
    } finally {
      await cell.stop();
    }
  }

  private async run(): Promise<ZoneSoakOutcome> {
    const plans = this.options.cuts ?? zoneSoakPlan.planCuts(this.random);
    const load = this.clients.submitJobs();
    await this.waitForStarts();
    for (const plan of plans) await this.playCut(plan);
    await timers.setTimeout(LOAD_AFTER_CUTS_MS);
    this.clients.end();
    await load;
    await this.clients.waitForSubmissions();
    await this.checkReadiness();
    await this.clients.waitForCompletion(RECOVERY_TIMEOUT_MS);
    this.checker.checkRuns(
      new jobInvariantChecker.AcknowledgedSuccess(this.cell),
    );
    this.checkLinks();
    this.operator.close();
    this.writeLogs();
    return {
      violations: this.checker.violations,
      acceptedCount: this.checker.acceptedCount,
      startCount: this.cell.startCount(),
      cutLines: await Promise.all(this.reports),
    };
  }

  private async waitForStarts(): Promise<void> {
    const deadlineMs = performance.now() + WARM_UP_TIMEOUT_MS;
    while (this.cell.startCount() < WARM_START_COUNT) {
      if (performance.now() > deadlineMs) {
        throw new Error(`no ${WARM_START_COUNT} starts before the first cut`);
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  private async playCut(plan: zoneSoakPlan.CutPlan): Promise<void> {
    await timers.setTimeout(plan.leadMs);
    const restart = this.killLeader(plan.leaderKilledMs);
    await timers.setTimeout(plan.leaderKilledMs);
    const leader = this.cell.leader();
    const group = this.chooseGroup(plan, leader);
    const loss = this.createLoss(plan, group);
    const report = new zoneSoakReport.CutReport(this.cell, group, leader);
    loss.begin();
    const disruptions = plan.disruptions.map(disruption =>
      this.playDisruption(disruption, group),
    );
    await timers.setTimeout(plan.durationMs);
    loss.end();
    await Promise.all([restart, ...disruptions]);
    const plannedCut = zoneSoakPlan.describeCut(plan);
    this.reports.push(
      timers
        .setTimeout(SETTLE_MS)
        .then(() => `${plannedCut}: ${report.summarize()}`),
    );
  }

  /** Ends the leader, which is replaced shortly before the cut. */
  private async killLeader(leaderKilledMs: number): Promise<void> {
    if (leaderKilledMs === 0) return;
    const {name} = this.cell.leader();
    const downMs = this.random.below(leaderKilledMs);
    await this.operator.restart(name, 'SIGKILL', downMs);
  }

  private chooseGroup(
    plan: zoneSoakPlan.CutPlan,
    leader: platformCell.CellProcess,
  ): zoneSoakFaults.CutGroup {
    const zones = this.chooseZones(plan.zones, leader.zone);
    this.previousZones = zones;
    const nearby = this.cell.workers.filter(({zone}) => zones.has(zone));
    const workers = new Set<string>();
    const count = Math.min(plan.workersInside, nearby.length);
    while (workers.size < count) {
      workers.add(nearby[this.random.below(nearby.length)].id);
    }
    return {zones, workers};
  }

  private chooseZones(
    choice: zoneSoakPlan.ZoneChoice,
    leaderZone: string,
  ): ReadonlySet<string> {
    switch (choice) {
      case 'leader':
        return new Set([leaderZone]);
      case 'leaderAndOther': {
        const others = ZONES.filter(zone => zone !== leaderZone);
        const other = others[this.random.below(others.length)];
        return new Set([leaderZone, other]);
      }
      case 'previous':
        return this.previousZones;
    }
  }

  private createLoss(
    plan: zoneSoakPlan.CutPlan,
    group: zoneSoakFaults.CutGroup,
  ): zoneSoakFaults.ContactLoss {
    const names = this.cell.processes
      .filter(({zone}) => group.zones.has(zone))
      .map(({name}) => name);
    if (plan.kind === 'suspension') {
      return new zoneSoakFaults.SuspensionLoss(this.operator, names);
    }
    const members = new Set([...names, ...group.workers]);
    return new zoneSoakFaults.LinkLoss(this.links, plan, members);
  }

  private async playDisruption(
    plan: zoneSoakPlan.DisruptionPlan,
    group: zoneSoakFaults.CutGroup,
  ): Promise<void> {
    const {scene, operator} = this;
    await timers.setTimeout(plan.startMs);
    const disruption = zoneSoakFaults.createDisruption(
      plan,
      scene,
      operator,
      group,
    );
    await disruption?.run(plan.durationMs);
  }

  /** Checks that all processes, also restarted ones, are in service. */
  private async checkReadiness(): Promise<void> {
    for (const {name, child} of this.cell.processes) {
      try {
        await child.waitForLine(platformCell.READY_LINE);
      } catch {
        this.checker.processNotReady(name);
      }
    }
  }

  /** Checks that no connection has passed the switch by unseen. */
  private checkLinks(): void {
    const {unknownLinks} = this.links;
    if (unknownLinks.length === 0) return;
    throw new Error(`unknown links: ${unknownLinks.join('; ')}`);
  }

  private writeLogs(): void {
    const {logFolder} = this.options;
    if (logFolder === undefined) return;
    fs.mkdirSync(logFolder, {recursive: true});
    this.cell.incarnations.forEach(({name, child}, index) => {
      const file = path.join(logFolder, `${name}.${index}.log`);
      fs.writeFileSync(file, child.lines.join('\n'));
    });
    const events = this.cell.workers.flatMap(worker => worker.events);
    const eventFile = path.join(logFolder, 'events.json');
    fs.writeFileSync(eventFile, JSON.stringify(events, undefined, 1));
    const violationFile = path.join(logFolder, 'violations.txt');
    fs.writeFileSync(violationFile, this.checker.violations.join('\n'));
  }
}
