import * as fleet from '../../src/machines/fleet.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as zoneController from '../../src/zones/zone_controller.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

/** How long a call to the platform or a peer waits for its answer. */
const CALL_DEADLINE_MS = 2_000;

/** Records that the log keeps; enough for the snapshot rule below. */
const RETAINED_RECORDS = 22;

/** Lag of the VM list in the simulation. */
const LIST_LAG_MS = 4_000;

export const ZONE = 'kigali-a';

interface Step {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** One simulated process with a clock of its own rate. */
export class SimulatedProcess {
  readonly workers = new fleet.Fleet();
  readonly control: zoneController.ZoneController;
  /** Ends of permits in real time, by worker, after the last turn. */
  permits = new Map<string, number>();
  permitEnd = -Infinity;
  alive = true;
  pausedUntil = 0;
  cutFromLog = false;
  /** The list can be reachable while the log is not: it shows absences then. */
  cutFromList = false;
  timer = 0;

  constructor(
    readonly name: string,
    readonly vm: string,
    private readonly startedAt: number,
    private readonly rate: number,
  ) {
    this.control = new zoneController.ZoneController(
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
    return 1_000 + (real - this.startedAt) * this.rate;
  }

  realTime(local: number): number {
    return this.startedAt + (local - 1_000) / this.rate;
  }
}

/**
 * Several `ZoneControl` objects against an in-memory log and VM list, in
 * simulated real time. Every turn checks that no worker has two permits.
 */
export class SimulatedZone {
  readonly random: randomSource.SeededRandom;
  readonly processes: SimulatedProcess[] = [];
  readonly violations: string[] = [];
  readonly records: event.StreamRecord[] = [];
  now = 0;
  logDown = false;
  /** Chance in a thousand that an answer or a message is lost or late. */
  loss = 0;
  turns = 0;
  private readonly queue: Step[] = [];
  private readonly cuts = new Set<string>();
  private readonly lists: {
    readonly at: number;
    readonly vms: ReadonlyMap<string, event.ListedVm>;
  }[] = [{at: -Infinity, vms: new Map()}];
  private order = 0;
  private incarnations = 0;
  private calls = 0;

  constructor(seed: number) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /** Workers and entry VMs as they are listed without any lag. */
  listed(): ReadonlyMap<string, event.ListedVm> {
    return this.lists[this.lists.length - 1].vms;
  }

  list(vm: string, role: event.ListedVm['role']): void {
    const vms = new Map(this.listed());
    const address = `${vm}:7000`;
    vms.set(vm, {vm, role, zone: ZONE, address, state: 'live'});
    this.lists.push({at: this.now, vms});
  }

  unlist(vm: string): void {
    const vms = new Map(this.listed());
    vms.delete(vm);
    this.lists.push({at: this.now, vms});
  }

  start(vm: string): SimulatedProcess {
    this.incarnations += 1;
    const rate = 0.995 + this.random.below(11) / 1_000;
    const name = `${vm}.${this.incarnations}`;
    const process = new SimulatedProcess(name, vm, this.now, rate);
    this.processes.push(process);
    this.post(process, {kind: 'timePassed'});
    return process;
  }

  kill(process: SimulatedProcess): void {
    process.alive = false;
    process.permits.clear();
  }

  living(): ReadonlyArray<SimulatedProcess> {
    return this.processes.filter(process => process.alive);
  }

  cut(first: SimulatedProcess, second: SimulatedProcess): void {
    this.cuts.add(`${first.name} ${second.name}`);
    this.cuts.add(`${second.name} ${first.name}`);
  }

  endFaults(): void {
    this.cuts.clear();
    this.logDown = false;
    this.loss = 0;
    for (const process of this.processes) {
      process.cutFromLog = false;
      process.cutFromList = false;
    }
  }

  /** Runs a function later in real time. */
  after(delay: number, run: () => void): void {
    this.order += 1;
    const step = {at: this.now + delay, order: this.order, run};
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.queue[middle].at > step.at) low = middle + 1;
      else high = middle;
    }
    this.queue.splice(low, 0, step);
  }

  /** Runs until a time, or until a condition holds after some step. */
  run(until: number, done: () => boolean = () => false): boolean {
    for (;;) {
      const next = this.queue[this.queue.length - 1];
      if (next === undefined || next.at > until) break;
      this.queue.pop();
      this.now = next.at;
      next.run();
      if (done()) return true;
    }
    this.now = until;
    return done();
  }

  /** Processes that may place on a worker now. */
  holders(worker: string): ReadonlyArray<SimulatedProcess> {
    return this.living().filter(
      process => (process.permits.get(worker) ?? -Infinity) > this.now,
    );
  }

  private post(process: SimulatedProcess, posted: event.Event): void {
    if (!process.alive) return;
    if (this.now < process.pausedUntil) {
      const wait = process.pausedUntil - this.now;
      this.after(wait, () => this.post(process, posted));
      return;
    }
    this.turn(process, posted);
  }

  private turn(process: SimulatedProcess, posted: event.Event): void {
    this.turns += 1;
    const local = process.localTime(this.now);
    const done = process.control.handle(posted, local);
    this.checkPermits(process);
    for (const wanted of done) this.perform(process, wanted);
    process.timer += 1;
    const timer = process.timer;
    const due = process.realTime(process.control.nextDeadline());
    if (due === Infinity) return;
    this.after(Math.max(1, due - this.now), () => {
      if (process.timer === timer) this.post(process, {kind: 'timePassed'});
    });
  }

  /** A process that others count as dead must not answer for its identities. */
  private checkSuccession(): void {
    for (const process of this.living()) {
      if (process.permitEnd <= this.now) continue;
      for (const other of this.living()) {
        const local = other.localTime(this.now);
        if (!other.control.permitsHaveExpired(process.name, local)) continue;
        const names = `${process.name} acts, succeeded for ${other.name}`;
        this.violations.push(`${this.now}: ${names}`);
      }
    }
  }

  private checkPermits(process: SimulatedProcess): void {
    process.permits.clear();
    process.permitEnd = process.realTime(process.control.processPermitEnd());
    this.checkSuccession();
    for (const worker of this.listed().keys()) {
      const end = process.realTime(process.control.permitEnd(worker));
      if (end <= this.now) continue;
      process.permits.set(worker, end);
      const holders = this.holders(worker);
      if (holders.length < 2) continue;
      const names = holders.map(holder => holder.name).join(' and ');
      this.violations.push(`${this.now}: ${names} both hold ${worker}`);
    }
  }

  private perform(process: SimulatedProcess, wanted: effect.Effect): void {
    switch (wanted.kind) {
      case 'append':
        return this.append(process, wanted);
      case 'readStream':
        return this.readStream(process, wanted);
      case 'readVmList':
        return this.readVmList(process);
      case 'confirmPeer':
        return this.confirm(process, wanted);
      case 'count':
        if (wanted.metric === 'invariant') {
          this.violations.push(`${this.now}: ${process.name} counted it`);
        }
    }
  }

  private isLost(): boolean {
    return this.random.below(1_000) < this.loss;
  }

  private delay(): number {
    const late = this.isLost() ? this.random.below(5_000) : 0;
    return 1 + this.random.below(20) + late;
  }

  /** Calls `serve` after a delay and gives its answer, or `failed`, back. */
  private call(
    process: SimulatedProcess,
    reach: () => boolean,
    serve: () => event.Event,
    failed: event.Event,
  ): void {
    let settled = false;
    const settle = (posted: event.Event): void => {
      if (settled) return;
      settled = true;
      this.post(process, posted);
    };
    this.after(CALL_DEADLINE_MS, () => settle(failed));
    if (this.isLost()) return;
    this.after(this.delay(), () => {
      if (!reach()) return;
      const answer = serve();
      if (this.isLost()) return;
      this.after(this.delay(), () => {
        if (reach()) settle(answer);
      });
    });
  }

  private append(
    process: SimulatedProcess,
    wanted: Extract<effect.Effect, {kind: 'append'}>,
  ): void {
    const {stream, append} = wanted;
    const serve = (): event.Event => {
      for (const data of wanted.records) {
        this.records.push({offset: this.records.length, data});
      }
      return {kind: 'appendAnswered', stream, append, answer: 'appended'};
    };
    const reach = (): boolean => this.reachesLog(process);
    const answer = 'lost';
    const failed = {kind: 'appendAnswered', stream, append, answer} as const;
    this.call(process, reach, serve, failed);
  }

  private readStream(
    process: SimulatedProcess,
    wanted: Extract<effect.Effect, {kind: 'readStream'}>,
  ): void {
    const sentAt = process.localTime(this.now);
    const {stream, from} = wanted;
    const serve = (): event.Event => {
      const next = this.records.length;
      const first = Math.max(0, next - RETAINED_RECORDS);
      const start = Math.max(first, from);
      const records = this.records.slice(start, start + 30);
      return {kind: 'recordsRead', stream, sentAt, first, next, records};
    };
    const reach = (): boolean => this.reachesLog(process);
    this.call(process, reach, serve, {kind: 'readFailed', stream});
  }

  private reachesLog(process: SimulatedProcess): boolean {
    return !this.logDown && !process.cutFromLog;
  }

  private readVmList(process: SimulatedProcess): void {
    const sentAt = process.localTime(this.now);
    const serve = (): event.Event => {
      const seen = this.now - this.random.below(LIST_LAG_MS);
      const shown = this.lists.filter(list => list.at <= seen);
      const vms = [...shown[shown.length - 1].vms.values()];
      return {kind: 'vmListRead', sentAt, vms};
    };
    const reach = (): boolean => !process.cutFromList;
    this.call(process, reach, serve, {kind: 'vmListFailed'});
  }

  private confirm(
    process: SimulatedProcess,
    wanted: Extract<effect.Effect, {kind: 'confirmPeer'}>,
  ): void {
    const {peer, zonePosition, news} = wanted;
    const sentAt = process.localTime(this.now);
    const target = this.processes.find(known => known.name === peer);
    this.calls += 1;
    const asked = {
      kind: 'confirmArrived',
      call: this.calls,
      to: peer,
      zonePosition,
      news,
    } as const;
    const failed = {kind: 'confirmFailed', peer} as const;
    if (target === undefined || this.isLost()) return;
    this.after(this.delay(), () => {
      if (this.isCut(process, target)) return;
      this.whenRunning(target, () => {
        const answer = this.answerTo(target, asked);
        if (answer === undefined || this.isLost()) return;
        const {confirmed, zoneRecords, news: told} = answer;
        this.after(this.delay(), () => {
          if (this.isCut(process, target)) return this.post(process, failed);
          this.post(process, {
            kind: 'confirmAnswered',
            peer,
            sentAt,
            confirmed,
            zoneRecords,
            news: told,
          });
        });
      });
    });
  }

  private answerTo(
    target: SimulatedProcess,
    asked: Extract<event.Event, {kind: 'confirmArrived'}>,
  ): Extract<effect.Effect, {kind: 'answerConfirm'}> | undefined {
    this.turns += 1;
    const done = target.control.handle(asked, target.localTime(this.now));
    this.checkPermits(target);
    return done.find(wanted => wanted.kind === 'answerConfirm');
  }

  private whenRunning(process: SimulatedProcess, run: () => void): void {
    if (!process.alive) return;
    const wait = process.pausedUntil - this.now;
    if (wait > 0) this.after(wait, () => this.whenRunning(process, run));
    else run();
  }

  private isCut(first: SimulatedProcess, second: SimulatedProcess): boolean {
    return this.cuts.has(`${first.name} ${second.name}`);
  }
}
