import type * as simulatedZone from './simulated_zone.js';

/** End of the faults in simulated real time. */
export const FAULTS_END_MS = 110_000;

type Fault = () => void;

/** Draws faults at random times and applies them to a simulated zone. */
export class FaultSchedule {
  private vmCount = 0;
  private isolatedProcess: simulatedZone.SimulatedProcess | undefined;
  /** Whether one process is isolated while all others are replaced. */
  private replacesOthers = false;
  private faultsEnded = false;

  constructor(private readonly zone: simulatedZone.SimulatedZone) {}

  /** Starts members and workers and schedules all faults. */
  start(): void {
    const {zone} = this;
    for (let count = 0; count < 7; count += 1) zone.list(`w${count}`, 'worker');
    const members = 1 + this.randomBelow(4);
    for (let count = 0; count < members; count += 1) this.startOnNewVm();
    zone.lossThousandths = [0, 20, 80][this.randomBelow(3)];
    this.replacesOthers = this.randomBelow(3) === 0;
    const faults = 4 + this.randomBelow(10);
    for (let count = 0; count < faults; count += 1) {
      zone.schedule(6_000 + this.randomBelow(FAULTS_END_MS - 30_000), () =>
        this.applyRandomFault(),
      );
    }
  }

  /** Ends all faults; from now on at least one process is kept running. */
  end(): void {
    this.zone.endFaults();
    this.faultsEnded = true;
  }

  /** Restarts superseded processes periodically, as their supervisor does. */
  restartSuperseded(): void {
    for (const process of this.zone.liveProcesses()) {
      const {controller} = process;
      if (controller.isSuperseded()) {
        this.zone.kill(process);
        if (this.zone.listed().has(process.vm)) this.zone.start(process.vm);
      } else if (controller.hasLeft()) this.zone.kill(process);
    }
    if (this.faultsEnded && this.zone.liveProcesses().length === 0) {
      this.startOnNewVm();
    }
    this.zone.schedule(500, () => this.restartSuperseded());
  }

  private applyRandomFault(): void {
    const faults = this.replacesOthers
      ? this.isolationFaults()
      : this.mixedFaults();
    faults[this.randomBelow(faults.length)]();
  }

  private isolationFaults(): ReadonlyArray<Fault> {
    return [
      () => this.isolateProcess(),
      () => this.replaceVm(),
      () => this.replaceVm(),
      () => this.startOnNewVm(),
      () => this.startOnNewVm(),
      () => this.drain(),
    ];
  }

  private mixedFaults(): ReadonlyArray<Fault> {
    return [
      () => this.logOutage(),
      () => this.logOutage(),
      () => this.cutFromPlatform(),
      () => this.cutFromPlatform(),
      () => this.cutPair(),
      () => this.isolateProcess(),
      () => this.isolateProcess(),
      () => this.pause(),
      () => this.killInPlace(),
      () => this.replaceVm(),
      () => this.replaceVm(),
      () => this.replaceVm(),
      () => this.startOnNewVm(),
      () => this.drain(),
      () => this.replaceAll(),
      () => this.changeWorkers(),
    ];
  }

  private logOutage(): void {
    this.zone.logDown = true;
    this.zone.schedule(
      this.randomDurationMs(),
      () => (this.zone.logDown = false),
    );
  }

  private cutFromPlatform(): void {
    const process = this.pickProcess();
    if (process === undefined) return;
    process.cutFromLog = true;
    process.cutFromList = this.randomBelow(2) === 0;
    this.zone.schedule(this.randomDurationMs(), () => {
      process.cutFromLog = false;
      process.cutFromList = false;
    });
  }

  private cutPair(): void {
    const first = this.pickProcess();
    const second = this.pickProcess();
    if (first === undefined || second === undefined) return;
    if (first !== second) this.zone.cut(first, second);
  }

  /** Disconnects a process from the platform and from some members. */
  private isolateProcess(): void {
    const process = this.replacesOthers
      ? (this.isolatedProcess ?? this.pickProcess())
      : this.pickProcess();
    if (process === undefined) return;
    this.isolatedProcess = process;
    process.cutFromLog = true;
    process.cutFromList = this.randomBelow(3) === 0;
    for (const other of this.zone.liveProcesses()) {
      if (other !== process && this.randomBelow(2) === 0) {
        this.zone.cut(process, other);
      }
    }
  }

  private pause(): void {
    const process = this.pickProcess();
    if (process === undefined) return;
    process.pausedUntil = this.zone.now + this.randomDurationMs();
  }

  private killInPlace(): void {
    const process = this.pickProcess();
    if (process === undefined) return;
    this.zone.kill(process);
    this.zone.schedule(200 + this.randomBelow(8_000), () =>
      this.zone.start(process.vm),
    );
  }

  private replaceVm(): void {
    const process = this.pickProcess();
    if (process === undefined) return;
    this.remove(process);
    this.zone.schedule(this.randomBelow(20_000), () => this.startOnNewVm());
  }

  private replaceAll(): void {
    for (const process of this.zone.liveProcesses()) this.remove(process);
    this.zone.schedule(this.randomBelow(10_000), () => this.startOnNewVm());
  }

  private drain(): void {
    const process = this.pickProcess();
    if (process === undefined || this.zone.liveProcesses().length < 2) return;
    process.controller.drain();
  }

  private changeWorkers(): void {
    if (this.randomBelow(2) === 0) this.zone.unlist(`w${this.randomBelow(7)}`);
    else this.zone.list(`w${this.randomBelow(9)}`, 'worker');
  }

  private remove(process: simulatedZone.SimulatedProcess): void {
    this.zone.kill(process);
    this.zone.unlist(process.vm);
  }

  private startOnNewVm(): void {
    if (this.zone.liveProcesses().length >= 6) return;
    this.vmCount += 1;
    const vm = `entry-${this.vmCount}`;
    this.zone.list(vm, 'entry');
    const process = this.zone.start(vm);
    if (this.isolatedProcess?.alive && this.randomBelow(2) === 0) {
      this.zone.cut(process, this.isolatedProcess);
    }
  }

  private pickProcess(): simulatedZone.SimulatedProcess | undefined {
    // While the others are replaced, the isolated process is left running.
    const living = this.zone
      .liveProcesses()
      .filter(
        process => !this.replacesOthers || process !== this.isolatedProcess,
      );
    return living.length === 0
      ? undefined
      : living[this.randomBelow(living.length)];
  }

  private randomDurationMs(): number {
    return 1_000 + this.randomBelow(this.randomBelow(2) === 0 ? 8_000 : 40_000);
  }

  private randomBelow(limit: number): number {
    return this.zone.random.below(limit);
  }
}
