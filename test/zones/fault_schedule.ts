import type * as simulatedZone from './simulated_zone.js';

/** Real time during which faults happen. */
export const FAULTS_END_MS = 110_000;

type Fault = () => void;

/** Draws faults at random times and applies them to a simulated zone. */
export class FaultSchedule {
  private vms = 0;
  private isolated: simulatedZone.SimulatedProcess | undefined;
  /** Whether one process is cut off while all others are replaced. */
  private siege = false;
  private ended = false;

  constructor(private readonly zone: simulatedZone.SimulatedZone) {}

  /** Starts members and workers and plans every fault. */
  begin(): void {
    const {zone} = this;
    for (let count = 0; count < 7; count += 1) zone.list(`w${count}`, 'worker');
    const members = 1 + this.below(4);
    for (let count = 0; count < members; count += 1) this.startOnNewVm();
    zone.loss = [0, 20, 80][this.below(3)];
    this.siege = this.below(3) === 0;
    const faults = 4 + this.below(10);
    for (let count = 0; count < faults; count += 1) {
      zone.after(6_000 + this.below(FAULTS_END_MS - 30_000), () =>
        this.strike(),
      );
    }
  }

  /** Ends every fault; from now on at least one process is kept up. */
  end(): void {
    this.zone.endFaults();
    this.ended = true;
  }

  /** Restarts processes that were superseded, as their supervisor does. */
  restartSuperseded(): void {
    for (const process of this.zone.living()) {
      const {control} = process;
      if (control.isSuperseded()) {
        this.zone.kill(process);
        if (this.zone.listed().has(process.vm)) this.zone.start(process.vm);
      } else if (control.hasLeft()) this.zone.kill(process);
    }
    if (this.ended && this.zone.living().length === 0) this.startOnNewVm();
    this.zone.after(500, () => this.restartSuperseded());
  }

  private strike(): void {
    const faults = this.siege ? this.siegeFaults() : this.mixedFaults();
    faults[this.below(faults.length)]();
  }

  private siegeFaults(): ReadonlyArray<Fault> {
    return [
      () => this.isolate(),
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
      () => this.isolate(),
      () => this.isolate(),
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
    this.zone.after(this.duration(), () => (this.zone.logDown = false));
  }

  private cutFromPlatform(): void {
    const process = this.pick();
    if (process === undefined) return;
    process.cutFromLog = true;
    process.cutFromList = this.below(2) === 0;
    this.zone.after(this.duration(), () => {
      process.cutFromLog = false;
      process.cutFromList = false;
    });
  }

  private cutPair(): void {
    const first = this.pick();
    const second = this.pick();
    if (first === undefined || second === undefined) return;
    if (first !== second) this.zone.cut(first, second);
  }

  /** Cuts a process from the platform and from some members. */
  private isolate(): void {
    const process = this.siege ? (this.isolated ?? this.pick()) : this.pick();
    if (process === undefined) return;
    this.isolated = process;
    process.cutFromLog = true;
    process.cutFromList = this.below(3) === 0;
    for (const other of this.zone.living()) {
      if (other !== process && this.below(2) === 0) {
        this.zone.cut(process, other);
      }
    }
  }

  private pause(): void {
    const process = this.pick();
    if (process === undefined) return;
    process.pausedUntil = this.zone.now + this.duration();
  }

  private killInPlace(): void {
    const process = this.pick();
    if (process === undefined) return;
    this.zone.kill(process);
    this.zone.after(200 + this.below(8_000), () => this.zone.start(process.vm));
  }

  private replaceVm(): void {
    const process = this.pick();
    if (process === undefined) return;
    this.remove(process);
    this.zone.after(this.below(20_000), () => this.startOnNewVm());
  }

  private replaceAll(): void {
    for (const process of this.zone.living()) this.remove(process);
    this.zone.after(this.below(10_000), () => this.startOnNewVm());
  }

  private drain(): void {
    const process = this.pick();
    if (process === undefined || this.zone.living().length < 2) return;
    process.control.drain();
  }

  private changeWorkers(): void {
    if (this.below(2) === 0) this.zone.unlist(`w${this.below(7)}`);
    else this.zone.list(`w${this.below(9)}`, 'worker');
  }

  private remove(process: simulatedZone.SimulatedProcess): void {
    this.zone.kill(process);
    this.zone.unlist(process.vm);
  }

  private startOnNewVm(): void {
    if (this.zone.living().length >= 6) return;
    this.vms += 1;
    const vm = `entry-${this.vms}`;
    this.zone.list(vm, 'entry');
    const process = this.zone.start(vm);
    if (this.isolated?.alive && this.below(2) === 0) {
      this.zone.cut(process, this.isolated);
    }
  }

  private pick(): simulatedZone.SimulatedProcess | undefined {
    // A siege spares the process that is cut off.
    const living = this.zone
      .living()
      .filter(process => !this.siege || process !== this.isolated);
    return living.length === 0 ? undefined : living[this.below(living.length)];
  }

  private duration(): number {
    return 1_000 + this.below(this.below(2) === 0 ? 8_000 : 40_000);
  }

  private below(limit: number): number {
    return this.zone.random.below(limit);
  }
}
