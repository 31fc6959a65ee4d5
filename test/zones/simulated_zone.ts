import * as fleet from '../../src/machines/fleet.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as zoneController from '../../src/zones/zone_controller.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

/** Time after which a call to the platform or a peer fails. */
const CALL_DEADLINE_MS = 2_000;

/** Number of records that the log keeps; enough for the snapshot policy. */
const RETAINED_RECORDS = 22;

/** Maximum lag of the VM list. */
const LIST_LAG_MS = 4_000;

/** Zone of all simulated processes. */
export const ZONE = 'kigali-a';

interface Step {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A simulated process with a clock of its own rate. */
export class SimulatedProcess {
  readonly workers = new fleet.Fleet();
  readonly controller: zoneController.ZoneController;
  /** Ends of permits in real time, by worker, after the last event. */
  permitEnds = new Map<string, number>();
  permitEnd = -Infinity;
  alive = true;
  pausedUntil = 0;
  cutFromLog = false;
  /** Separate from the log: the list may show absences while the log is cut. */
  cutFromList = false;
  timerNumber = 0;

  constructor(
    readonly name: string,
    readonly vm: string,
    private readonly startedAt: number,
    private readonly clockRate: number,
  ) {
    this.controller = new zoneController.ZoneController(
      {
        process: name,
        vm,
        zone: ZONE,
        region: 'kigali',
        address: `${vm}:7000`,
      },
      this.workers,
      {snapshotPolicy: {records: 5, intervalMs: 30_000}},
    );
  }

  localTime(real: number): number {
    return 1_000 + (real - this.startedAt) * this.clockRate;
  }

  realTime(local: number): number {
    return this.startedAt + (local - 1_000) / this.clockRate;
  }
}

/**
 * Several `ZoneController` objects with an in-memory log and VM list, in
 * simulated real time. After each event it checks that no worker has two
 * permits.
 */
export class SimulatedZone {
  readonly random: randomSource.SeededRandom;
  readonly processes: SimulatedProcess[] = [];
  readonly violations: string[] = [];
  readonly records: event.StreamRecord[] = [];
  now = 0;
  logDown = false;
  /** Probability, in thousandths, that a message is lost or late. */
  lossThousandths = 0;
  eventCount = 0;
  private readonly steps: Step[] = [];
  private readonly cuts = new Set<string>();
  private readonly listVersions: {
    readonly at: number;
    readonly vms: ReadonlyMap<string, event.ListedVm>;
  }[] = [{at: -Infinity, vms: new Map()}];
  private order = 0;
  private incarnationCount = 0;
  private callCount = 0;

  constructor(seed: number) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /** Returns the workers and entry VMs as listed without any lag. */
  listed(): ReadonlyMap<string, event.ListedVm> {
    return this.listVersions[this.listVersions.length - 1].vms;
  }

  list(vm: string, role: event.ListedVm['role']): void {
    const vms = new Map(this.listed());
    const address = `${vm}:7000`;
    vms.set(vm, {vm, role, zone: ZONE, address, state: 'live'});
    this.listVersions.push({at: this.now, vms});
  }

  unlist(vm: string): void {
    const vms = new Map(this.listed());
    vms.delete(vm);
    this.listVersions.push({at: this.now, vms});
  }

  start(vm: string): SimulatedProcess {
    this.incarnationCount += 1;
    const rate = 0.995 + this.random.below(11) / 1_000;
    const name = `${vm}.${this.incarnationCount}`;
    const process = new SimulatedProcess(name, vm, this.now, rate);
    this.processes.push(process);
    this.deliver(process, {kind: 'timePassed'});
    return process;
  }

  kill(process: SimulatedProcess): void {
    process.alive = false;
    process.permitEnds.clear();
  }

  liveProcesses(): ReadonlyArray<SimulatedProcess> {
    return this.processes.filter(process => process.alive);
  }

  cut(first: SimulatedProcess, second: SimulatedProcess): void {
    this.cuts.add(`${first.name} ${second.name}`);
    this.cuts.add(`${second.name} ${first.name}`);
  }

  endFaults(): void {
    this.cuts.clear();
    this.logDown = false;
    this.lossThousandths = 0;
    for (const process of this.processes) {
      process.cutFromLog = false;
      process.cutFromList = false;
    }
  }

  /** Runs a function later in real time. */
  schedule(delayMs: number, run: () => void): void {
    this.order += 1;
    const step = {at: this.now + delayMs, order: this.order, run};
    let low = 0;
    let high = this.steps.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.steps[middle].at > step.at) low = middle + 1;
      else high = middle;
    }
    this.steps.splice(low, 0, step);
  }

  /** Runs until a time, or until a condition holds after a step. */
  run(until: number, isDone: () => boolean = () => false): boolean {
    for (;;) {
      const next = this.steps[this.steps.length - 1];
      if (next === undefined || next.at > until) break;
      this.steps.pop();
      this.now = next.at;
      next.run();
      if (isDone()) return true;
    }
    this.now = until;
    return isDone();
  }

  /** Returns the processes that may place on a worker now. */
  permitHolders(worker: string): ReadonlyArray<SimulatedProcess> {
    return this.liveProcesses().filter(
      process => (process.permitEnds.get(worker) ?? -Infinity) > this.now,
    );
  }

  private deliver(process: SimulatedProcess, posted: event.Event): void {
    if (!process.alive) return;
    if (this.now < process.pausedUntil) {
      const wait = process.pausedUntil - this.now;
      this.schedule(wait, () => this.deliver(process, posted));
      return;
    }
    this.handleEvent(process, posted);
  }

  private handleEvent(process: SimulatedProcess, posted: event.Event): void {
    this.eventCount += 1;
    const local = process.localTime(this.now);
    const requested = process.controller.handle(posted, local);
    this.checkPermits(process);
    for (const item of requested) this.perform(process, item);
    process.timerNumber += 1;
    const timer = process.timerNumber;
    const due = process.realTime(process.controller.nextDeadline());
    if (due === Infinity) return;
    this.schedule(Math.max(1, due - this.now), () => {
      if (process.timerNumber === timer) {
        this.deliver(process, {kind: 'timePassed'});
      }
    });
  }

  /** Checks that a process whose successor may act has no permit any more. */
  private checkNoPermitAfterSuccession(): void {
    for (const process of this.liveProcesses()) {
      if (process.permitEnd <= this.now) continue;
      for (const other of this.liveProcesses()) {
        const local = other.localTime(this.now);
        if (!other.controller.hasSuccessor(process.name, local)) continue;
        const text = `${process.name} may act but ended for ${other.name}`;
        this.violations.push(`${this.now}: ${text}`);
      }
    }
  }

  private checkPermits(process: SimulatedProcess): void {
    process.permitEnds.clear();
    process.permitEnd = process.realTime(process.controller.processPermitEnd());
    this.checkNoPermitAfterSuccession();
    for (const worker of this.listed().keys()) {
      const end = process.realTime(process.controller.permitEnd(worker));
      if (end <= this.now) continue;
      process.permitEnds.set(worker, end);
      const permitHolders = this.permitHolders(worker);
      if (permitHolders.length < 2) continue;
      const names = permitHolders.map(holder => holder.name).join(' and ');
      this.violations.push(`${this.now}: ${names} both hold ${worker}`);
    }
  }

  private perform(process: SimulatedProcess, requested: effect.Effect): void {
    switch (requested.kind) {
      case 'append':
        return this.append(process, requested);
      case 'readStream':
        return this.readStream(process, requested);
      case 'readVmList':
        return this.readVmList(process);
      case 'confirmPeer':
        return this.confirm(process, requested);
      case 'count':
        if (requested.metric === 'invariant') {
          this.violations.push(
            `${this.now}: ${process.name} broke an invariant`,
          );
        }
    }
  }

  private isLost(): boolean {
    return this.random.below(1_000) < this.lossThousandths;
  }

  private randomDelayMs(): number {
    const late = this.isLost() ? this.random.below(5_000) : 0;
    return 1 + this.random.below(20) + late;
  }

  /** Calls `serve` after a delay and delivers its answer, or `failed`. */
  private call(
    process: SimulatedProcess,
    isReachable: () => boolean,
    serve: () => event.Event,
    failed: event.Event,
  ): void {
    let settled = false;
    const settle = (posted: event.Event): void => {
      if (settled) return;
      settled = true;
      this.deliver(process, posted);
    };
    this.schedule(CALL_DEADLINE_MS, () => settle(failed));
    if (this.isLost()) return;
    this.schedule(this.randomDelayMs(), () => {
      if (!isReachable()) return;
      const answer = serve();
      if (this.isLost()) return;
      this.schedule(this.randomDelayMs(), () => {
        if (isReachable()) settle(answer);
      });
    });
  }

  private append(
    process: SimulatedProcess,
    requested: Extract<effect.Effect, {kind: 'append'}>,
  ): void {
    const {stream, append} = requested;
    const serve = (): event.Event => {
      for (const data of requested.records) {
        this.records.push({offset: this.records.length, data});
      }
      return {kind: 'appendAnswered', stream, append, answer: 'appended'};
    };
    const isReachable = (): boolean => this.reachesLog(process);
    const answer = 'lost';
    const failed = {kind: 'appendAnswered', stream, append, answer} as const;
    this.call(process, isReachable, serve, failed);
  }

  private readStream(
    process: SimulatedProcess,
    requested: Extract<effect.Effect, {kind: 'readStream'}>,
  ): void {
    const sentAt = process.localTime(this.now);
    const {stream, from} = requested;
    const serve = (): event.Event => {
      const next = this.records.length;
      const first = Math.max(0, next - RETAINED_RECORDS);
      const start = Math.max(first, from);
      const records = this.records.slice(start, start + 30);
      return {kind: 'recordsRead', stream, sentAt, first, next, records};
    };
    const isReachable = (): boolean => this.reachesLog(process);
    this.call(process, isReachable, serve, {kind: 'readFailed', stream});
  }

  private reachesLog(process: SimulatedProcess): boolean {
    return !this.logDown && !process.cutFromLog;
  }

  private readVmList(process: SimulatedProcess): void {
    const sentAt = process.localTime(this.now);
    const serve = (): event.Event => {
      const visibleAt = this.now - this.random.below(LIST_LAG_MS);
      const visible = this.listVersions.filter(list => list.at <= visibleAt);
      const vms = [...visible[visible.length - 1].vms.values()];
      return {kind: 'vmListRead', sentAt, vms};
    };
    const isReachable = (): boolean => !process.cutFromList;
    this.call(process, isReachable, serve, {kind: 'vmListFailed'});
  }

  private confirm(
    process: SimulatedProcess,
    requested: Extract<effect.Effect, {kind: 'confirmPeer'}>,
  ): void {
    const {peer, zonePosition, status} = requested;
    const sentAt = process.localTime(this.now);
    const target = this.processes.find(item => item.name === peer);
    this.callCount += 1;
    const request = {
      kind: 'confirmArrived',
      call: this.callCount,
      to: peer,
      zonePosition,
      status,
    } as const;
    const failed = {kind: 'confirmFailed', peer} as const;
    if (target === undefined || this.isLost()) return;
    this.schedule(this.randomDelayMs(), () => {
      if (this.isCut(process, target)) return;
      this.whenRunning(target, () => {
        const answer = this.answerTo(target, request);
        if (answer === undefined || this.isLost()) return;
        const {confirmed, zoneRecords, status: answerStatus} = answer;
        this.schedule(this.randomDelayMs(), () => {
          if (this.isCut(process, target)) return this.deliver(process, failed);
          this.deliver(process, {
            kind: 'confirmAnswered',
            peer,
            sentAt,
            confirmed,
            zoneRecords,
            status: answerStatus,
          });
        });
      });
    });
  }

  private answerTo(
    target: SimulatedProcess,
    request: Extract<event.Event, {kind: 'confirmArrived'}>,
  ): Extract<effect.Effect, {kind: 'answerConfirm'}> | undefined {
    this.eventCount += 1;
    const requested = target.controller.handle(
      request,
      target.localTime(this.now),
    );
    this.checkPermits(target);
    return requested.find(item => item.kind === 'answerConfirm');
  }

  private whenRunning(process: SimulatedProcess, run: () => void): void {
    if (!process.alive) return;
    const wait = process.pausedUntil - this.now;
    if (wait > 0) this.schedule(wait, () => this.whenRunning(process, run));
    else run();
  }

  private isCut(first: SimulatedProcess, second: SimulatedProcess): boolean {
    return this.cuts.has(`${first.name} ${second.name}`);
  }
}
