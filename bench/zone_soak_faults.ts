import * as timers from 'node:timers/promises';
import * as linkFault from '../stand_ins/link_fault.js';
import type * as jobInvariantChecker from './job_invariant_checker.js';
import type * as linkSwitch from '../stand_ins/link_switch.js';
import type * as platformCell from '../stand_ins/platform_cell.js';
import type * as platformWorker from '../stand_ins/platform_worker.js';
import type * as randomSource from '../src/machines/random_source.js';
import type * as zoneSoakPlan from './zone_soak_plan.js';

/** Time within which a process ends after SIGTERM; its drain may take 4 s. */
const TERMINATION_TIMEOUT_MS = 15_000;

/** Time between two restarts of a rolling restart. */
const ROLL_INTERVAL_MS = 500;

/** The endpoints that are cut off together. */
export interface CutGroup {
  /** Zones whose VMs are in the group. */
  readonly zones: ReadonlySet<string>;
  /** Names of the workers in the group. */
  readonly workers: ReadonlySet<string>;
}

/** What faults act on. */
export interface FaultScene {
  readonly cell: platformCell.PlatformCell;
  readonly linkSwitch: linkSwitch.LinkSwitch;
  readonly checker: jobInvariantChecker.JobInvariantChecker;
  readonly random: randomSource.RandomSource;
}

/** Stops and replaces the processes of a cell, one fault at a time each. */
export class CellOperator {
  /** Names of the processes that a fault holds now. */
  private readonly held = new Set<string>();
  private isClosed = false;

  constructor(private readonly scene: FaultScene) {
    for (const process of scene.cell.processes) this.watchExit(process);
  }

  /** Replaces a process after a signal has ended it. */
  async restart(
    name: string,
    signal: 'SIGKILL' | 'SIGTERM',
    downMs: number,
  ): Promise<void> {
    await this.hold(name, async process => {
      await this.end(process, signal);
      await timers.setTimeout(downMs);
      this.watchExit(await this.scene.cell.replace(process));
    });
  }

  /** Suspends a process; returns whether no other fault holds it. */
  suspend(name: string): boolean {
    const process = this.processOf(name);
    if (process === undefined || this.held.has(name)) return false;
    this.held.add(name);
    process.child.signal('SIGSTOP');
    return true;
  }

  /** Resumes a process that `suspend` has suspended. */
  resume(name: string): void {
    this.processOf(name)?.child.signal('SIGCONT');
    this.held.delete(name);
  }

  /** Runs an action on a process unless another fault holds it. */
  private async hold(
    name: string,
    action: (process: platformCell.CellProcess) => Promise<void>,
  ): Promise<void> {
    const process = this.processOf(name);
    if (process === undefined || this.held.has(name)) return;
    this.held.add(name);
    try {
      await action(process);
    } finally {
      this.held.delete(name);
    }
  }

  private processOf(name: string): platformCell.CellProcess | undefined {
    return this.scene.cell.processes.find(item => item.name === name);
  }

  private async end(
    {name, child}: platformCell.CellProcess,
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> {
    child.signal(signal);
    const hasExited = await Promise.race([
      child.waitForExit().then(() => true),
      timers.setTimeout(TERMINATION_TIMEOUT_MS, false),
    ]);
    if (hasExited) return;
    this.scene.checker.processLingered(name);
    await child.kill();
  }

  /** A process that ends while no fault holds it has failed. */
  private watchExit({name, child}: platformCell.CellProcess): void {
    void child.waitForExit().then(exitCode => {
      if (this.held.has(name) || this.isClosed) return;
      this.scene.checker.processExited(name, exitCode);
    });
  }

  /** Takes all later exits for the end of the run. */
  close(): void {
    this.isClosed = true;
  }
}

/** A way in which a group loses contact with all others. */
export interface ContactLoss {
  begin(): void;
  end(): void;
}

/** The links between the group and the others fail. */
export class LinkLoss implements ContactLoss {
  private readonly fault: linkFault.LinkFault;

  constructor(
    private readonly linkSwitch: linkSwitch.LinkSwitch,
    private readonly plan: zoneSoakPlan.CutPlan,
    names: ReadonlySet<string>,
  ) {
    this.fault = new linkFault.GroupCut(names, plan.direction, plan.spared);
  }

  begin(): void {
    this.linkSwitch.beginFault(this.fault);
  }

  end(): void {
    this.linkSwitch.endFault(this.fault, this.plan.ending);
  }
}

/** All VMs of the group are suspended at once. */
export class SuspensionLoss implements ContactLoss {
  private suspended: ReadonlyArray<string> = [];

  constructor(
    private readonly operator: CellOperator,
    /** Names of the VMs. */
    private readonly names: ReadonlyArray<string>,
  ) {}

  begin(): void {
    this.suspended = this.names.filter(name => this.operator.suspend(name));
  }

  end(): void {
    for (const name of this.suspended) this.operator.resume(name);
  }
}

/** A further fault while a group is cut off. */
export interface Disruption {
  run(durationMs: number): Promise<void>;
}

/** Nobody reaches the store. */
class StoreSilence implements Disruption {
  constructor(private readonly scene: FaultScene) {}

  async run(durationMs: number): Promise<void> {
    const {linkSwitch, random} = this.scene;
    const fault = new linkFault.StoreSilence();
    linkSwitch.beginFault(fault);
    await timers.setTimeout(durationMs);
    linkSwitch.endFault(fault, random.below(2) === 0 ? 'reset' : 'deliver');
  }
}

/** One process ends by a signal and is replaced. */
class ProcessRestart implements Disruption {
  constructor(
    private readonly operator: CellOperator,
    private readonly name: string,
    private readonly signal: 'SIGKILL' | 'SIGTERM',
  ) {}

  run(durationMs: number): Promise<void> {
    return this.operator.restart(this.name, this.signal, durationMs);
  }
}

/** Processes end by SIGTERM and are replaced, one after the other. */
class RollingRestart implements Disruption {
  constructor(
    private readonly operator: CellOperator,
    private readonly names: ReadonlyArray<string>,
  ) {}

  async run(): Promise<void> {
    for (const name of this.names) {
      await this.operator.restart(name, 'SIGTERM', ROLL_INTERVAL_MS);
    }
  }
}

/** One process is suspended and resumed. */
class ProcessSuspension implements Disruption {
  constructor(
    private readonly operator: CellOperator,
    private readonly name: string,
  ) {}

  async run(durationMs: number): Promise<void> {
    if (!this.operator.suspend(this.name)) return;
    await timers.setTimeout(durationMs);
    this.operator.resume(this.name);
  }
}

/** One worker loses its state and comes back under its id. */
class WorkerCrash implements Disruption {
  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly worker: platformWorker.PlatformWorker,
  ) {}

  async run(durationMs: number): Promise<void> {
    if (this.worker.isDown) return;
    this.worker.crash();
    await timers.setTimeout(durationMs);
    this.cell.bringWorkerBack(this.worker);
  }
}

/** Returns the further fault of a plan; undefined if nothing is there for it. */
export function createDisruption(
  {kind, isInside}: zoneSoakPlan.DisruptionPlan,
  scene: FaultScene,
  operator: CellOperator,
  group: CutGroup,
): Disruption | undefined {
  const {cell, random} = scene;
  const names = cell.processes
    .filter(({zone}) => group.zones.has(zone) === isInside)
    .map(({name}) => name);
  const name = names[random.below(names.length)];
  const workers = cell.workers.filter(
    ({id}) => group.workers.has(id) === isInside,
  );
  switch (kind) {
    case 'storeSilence':
      return new StoreSilence(scene);
    case 'kill':
      return new ProcessRestart(operator, name, 'SIGKILL');
    case 'terminate':
      return new ProcessRestart(operator, name, 'SIGTERM');
    case 'rollingRestart':
      return new RollingRestart(operator, names);
    case 'suspend':
      return new ProcessSuspension(operator, name);
    case 'crashWorker':
      if (workers.length === 0) return undefined;
      return new WorkerCrash(cell, workers[random.below(workers.length)]);
  }
}
