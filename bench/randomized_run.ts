import * as checker from './fakes/checker.js';
import * as client from './fakes/client.js';
import * as entryHost from './fakes/entry_host.js';
import * as network from './fakes/network.js';
import * as platform from './fakes/platform.js';
import * as randomSource from '../src/machines/random_source.js';
import * as timeline from './fakes/timeline.js';
import * as tomlDocumentReader from '../src/links/toml_document_reader.js';
import * as worker from './fakes/worker.js';
import type * as effect from '../src/contracts/effect.js';
import type * as event from '../src/contracts/event.js';

/** The faults that a run injects, each from its own seed stream. */
export const FAULTS = [
  'kill',
  'pause',
  'replaceVm',
  'workerLoss',
  'zoneCut',
  'platformCut',
  'logOutage',
  'lostMessages',
  'lateMessages',
  'blackHole',
  'flood',
  'workerLeaves',
] as const;

/** One of `FAULTS`. */
export type Fault = (typeof FAULTS)[number];

/** What a run is made with. */
export interface RunOptions {
  readonly seed: number;
  /** Faults that may occur; an empty list gives a run without faults. */
  readonly faults: ReadonlyArray<Fault>;
  /** Keeps the last lines of what happened. */
  readonly trace: boolean;
}

/** What a run showed. */
export interface RunResult {
  readonly seed: number;
  readonly violations: ReadonlyArray<checker.Violation>;
  readonly checks: number;
  readonly injected: ReadonlyMap<Fault, number>;
  readonly codes: ReadonlyMap<number, number>;
  readonly unfinished: number;
  /** Last replies of the requests that did not end. */
  readonly pending: ReadonlyArray<string>;
  /** Broken invariants that the program itself reported. */
  readonly reported: ReadonlyArray<string>;
  readonly trace: ReadonlyArray<string>;
}

const ZONES = ['north-a', 'south-a'] as const;
const ENTRY_VMS_PER_ZONE = 3;
const WORKERS_PER_ZONE = 4;
const FAULTY_MS = 120_000;
const RECOVERY_MS = 180_000;
const REQUEST_COUNT = 60;
const GANG_SIZE = 3;
/** How late the VM list says that a worker leaves. */
const VM_LIST_LAG_MS = 20_000;

const TRACE_LINES = 4_000;
/** Time that the platform takes to start a process that ended itself. */
const RESTART_MS = 500;
const MOST_CLOCK_OFFSET_MS = 1_000_000;

/** Half of the allowed drift on either side of real time, in thousandths. */
const DRIFT_THOUSANDTHS = 5;

function workloadText(
  name: string,
  idempotent: boolean,
  tasks: number,
): string {
  const kind = tasks > 1 ? 'gang' : 'batch';
  return `
[[workloads]]
name = "${name}"
kind = "${kind}"
urgency = "normal"
worth = 1
idempotent = ${idempotent}
size = {processors = 1000, memory = 1024, accelerators = 0, slots = 1}
runTimeMs = 2000
taskCount = ${tasks}
startDeadlineMs = 0
zones = []
maximumPerRack = 0
`;
}

const TEAM = `
name = "dispatch"
clients = ["client-north-a", "client-south-a"]
share = 1
queueLimit = 1000
quota = {processors = 1000000, memory = 1000000, accelerators = 100, slots = 1000}
${workloadText('order', false, 1)}
${workloadText('inspection', true, 1)}
${workloadText('together', true, GANG_SIZE)}
`;

const FLEET = `
zones = [{name = "north-a", region = "north"}, {name = "south-a", region = "south"}]

[[workerShapes]]
capacity = {processors = 4000, memory = 8192, accelerators = 1, slots = 4}
zones = ["north-a", "south-a"]
`;

/** One randomised run of entry processes between fakes, with injected time. */
class RandomizedRun {
  private readonly time = new timeline.Timeline();
  private readonly random: randomSource.SeededRandom;
  private readonly network: network.FakeNetwork;
  private readonly log = new platform.FakeLog(20_000);
  private readonly checker: checker.Checker;
  private readonly workers = new Map<string, worker.FakeWorker>();
  private readonly hosts = new Map<string, entryHost.EntryHost>();
  private readonly listed = new Map<string, event.ListedVm>();
  private readonly clients: client.FakeClient[] = [];
  private readonly injected = new Map<Fault, number>();
  private readonly reported: string[] = [];
  private readonly trace: string[] = [];
  private readonly around: entryHost.Surroundings;
  private incarnations = 0;

  constructor(private readonly options: RunOptions) {
    this.random = new randomSource.SeededRandom(options.seed);
    this.network = new network.FakeNetwork(
      this.time,
      new randomSource.SeededRandom(options.seed + 1),
    );
    this.checker = new checker.Checker(
      () => this.time.now(),
      line => this.note(line),
    );
    this.around = {
      time: this.time,
      network: this.network,
      log: this.log,
      workers: this.workers,
      hosts: this.hosts,
      random: new randomSource.SeededRandom(options.seed + 2),
      reader: new tomlDocumentReader.TomlDocumentReader(),
      listVms: () => [...this.listed.values()],
      runTimeMs: payload => 200 + (payload.length % 7) * 700,
      logged: (host, wanted) => this.logged(host, wanted),
      ended: host => this.ended(host),
    };
  }

  run(): RunResult {
    this.build();
    this.scheduleRequests();
    this.options.faults.forEach((fault, index) => this.schedule(fault, index));
    this.time.runUntil(FAULTY_MS);
    this.network.heal();
    this.log.down = false;
    this.time.runUntil(FAULTY_MS + RECOVERY_MS);
    return this.result();
  }

  private build(): void {
    for (const zone of ZONES) {
      for (let index = 0; index < WORKERS_PER_ZONE; index += 1) {
        this.addWorker(zone, index);
      }
      for (let index = 0; index < ENTRY_VMS_PER_ZONE; index += 1) {
        this.startEntry(`${zone}-entry-${index}`, zone);
      }
      this.clients.push(
        new client.FakeClient(`client-${zone}`, zone, {
          around: this.around,
          checker: this.checker,
          random: new randomSource.SeededRandom(this.options.seed + 3),
        }),
      );
    }
    this.publish('fleet', FLEET);
    this.publish('team/dispatch', TEAM);
  }

  private publish(document: string, content: string): void {
    const record = {
      kind: 'publish',
      document,
      baseVersion: 0,
      content,
      publication: `first ${document}`,
    };
    this.log.append('configuration', [JSON.stringify(record)]);
  }

  private addWorker(zone: string, index: number): void {
    const name = `${zone}-worker-${index}`;
    this.workers.set(
      name,
      new worker.FakeWorker(
        name,
        zone,
        `${zone}-rack-${index % 2}`,
        {processors: 4000, memory: 8192, accelerators: 1, slots: 4},
        this.driftingClock(),
        this.time,
        this.checker,
      ),
    );
    this.listed.set(name, {
      vm: name,
      role: 'worker',
      zone,
      address: name,
      state: 'live',
    });
  }

  private startEntry(vm: string, zone: string): void {
    this.incarnations += 1;
    const name = `${zone}.${vm}.${this.incarnations}`;
    const host = new entryHost.EntryHost(
      name,
      vm,
      zone,
      this.driftingClock(),
      this.around,
    );
    this.hosts.set(name, host);
    this.listed.set(vm, {
      vm,
      role: 'entry',
      zone,
      address: vm,
      state: 'live',
    });
    host.boot();
  }

  private driftingClock(): timeline.DriftingClock {
    const drift = this.random.below(2 * DRIFT_THOUSANDTHS + 1);
    const rate = 1 + (drift - DRIFT_THOUSANDTHS) / 1_000;
    const offset = this.random.below(MOST_CLOCK_OFFSET_MS);
    return new timeline.DriftingClock(this.time, offset, rate);
  }

  private scheduleRequests(): void {
    const workloads = ['order', 'order', 'inspection', 'together'];
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
      const chosen = this.clients[this.random.below(this.clients.length)];
      const workload = workloads[this.random.below(workloads.length)];
      const payload = `${workload}-${index}-${'x'.repeat(this.random.below(7))}`;
      this.time.after(this.random.below(FAULTY_MS), () =>
        chosen.begin(
          'dispatch',
          workload,
          payload,
          workload === 'together' ? GANG_SIZE : 1,
        ),
      );
    }
  }

  private schedule(fault: Fault, index: number): void {
    const stream = new randomSource.SeededRandom(
      this.options.seed * 100 + index,
    );
    const times = stream.below(3);
    for (let occurrence = 0; occurrence < times; occurrence += 1) {
      const at = 10_000 + stream.below(FAULTY_MS - 20_000);
      this.time.after(at, () => {
        this.injected.set(fault, (this.injected.get(fault) ?? 0) + 1);
        this.note(`fault ${fault}`);
        this.inject(fault, stream);
      });
    }
  }

  private inject(fault: Fault, random: randomSource.RandomSource): void {
    const zone = ZONES[random.below(ZONES.length)];
    const duration = 1_000 + random.below(40_000);
    switch (fault) {
      case 'kill':
        return this.killOne(random, vm => vm, duration);
      case 'replaceVm':
        return this.killOne(random, vm => `${vm}-next`, duration);
      case 'pause':
        return this.pauseOne(random, duration);
      case 'workerLoss':
        return this.loseWorker(random);
      case 'zoneCut':
        return this.cut(ZONES[0], ZONES[1], duration);
      case 'platformCut':
        return this.cut(zone, '', duration);
      case 'logOutage':
        this.log.down = true;
        this.time.after(duration, () => (this.log.down = false));
        return;
      case 'lostMessages':
        this.network.lossPerThousand = 100;
        this.time.after(duration, () => (this.network.lossPerThousand = 0));
        return;
      case 'lateMessages':
        this.network.latePerThousand = 200;
        this.network.longestDelayMs = 20_000;
        this.time.after(duration, () => (this.network.latePerThousand = 0));
        return;
      case 'blackHole':
        return this.breakWorker(random, duration);
      case 'workerLeaves':
        return this.leaveWorker(random);
      case 'flood':
        for (let index = 0; index < 100; index += 1) {
          this.clients[0].begin('dispatch', 'inspection', `flood-${index}`);
        }
        return;
    }
  }

  private killOne(
    random: randomSource.RandomSource,
    nextVm: (vm: string) => string,
    duration: number,
  ): void {
    const hosts = [...this.hosts.values()];
    if (hosts.length === 0) return;
    const host = hosts[random.below(hosts.length)];
    host.kill();
    this.note(`killed ${host.name}`);
    const vm = nextVm(host.vm);
    if (vm !== host.vm) {
      this.time.after(5_000, () => this.listed.delete(host.vm));
    }
    this.time.after(duration, () => this.startEntry(vm, host.zone));
  }

  private pauseOne(random: randomSource.RandomSource, duration: number): void {
    const hosts = [...this.hosts.values()];
    if (hosts.length === 0) return;
    const host = hosts[random.below(hosts.length)];
    host.pause();
    this.note(`paused ${host.name}`);
    this.time.after(duration, () => host.resume());
  }

  private loseWorker(random: randomSource.RandomSource): void {
    const workers = [...this.workers.values()];
    const lost = workers[random.below(workers.length)];
    lost.lose();
    this.note(`lost ${lost.name}`);
    this.time.after(10_000, () => this.listed.delete(lost.name));
  }

  private leaveWorker(random: randomSource.RandomSource): void {
    const workers = [...this.workers.values()];
    const leaving = workers[random.below(workers.length)];
    if (leaving.leavingSince < Infinity) return;
    leaving.leavingSince = this.time.now();
    this.note(`${leaving.name} leaves`);
    const known = this.listed.get(leaving.name);
    this.time.after(VM_LIST_LAG_MS, () => {
      if (known === undefined || leaving.dead) return;
      this.listed.set(leaving.name, {...known, state: 'leaving'});
    });
  }

  private breakWorker(
    random: randomSource.RandomSource,
    duration: number,
  ): void {
    const workers = [...this.workers.values()];
    const broken = workers[random.below(workers.length)];
    broken.failsEverything = true;
    this.time.after(duration, () => (broken.failsEverything = false));
  }

  private cut(left: string, right: string, duration: number): void {
    this.network.setCut(left, right, true);
    this.time.after(duration, () => this.network.setCut(left, right, false));
  }

  private logged(host: entryHost.EntryHost, wanted: effect.Effect): void {
    if (wanted.kind === 'log') {
      this.note(
        `${host.name} ${wanted.event} ${JSON.stringify(wanted.fields)}`,
      );
    }
    if (wanted.kind !== 'count' || !wanted.metric.startsWith('invariant')) {
      return;
    }
    this.reported.push(`${host.name} ${JSON.stringify(wanted.labels)}`);
  }

  /** Starts a process again that ended itself, as the platform does. */
  private ended(host: entryHost.EntryHost): void {
    host.kill();
    this.time.after(RESTART_MS, () => this.startEntry(host.vm, host.zone));
  }

  private note(line: string): void {
    if (!this.options.trace) return;
    this.trace.push(`${this.time.now().toFixed(1)} ${line}`);
    if (this.trace.length > TRACE_LINES) this.trace.shift();
  }

  private result(): RunResult {
    const requests = this.clients.flatMap(item => item.requests);
    const codes = new Map<number, number>();
    for (const request of requests) {
      codes.set(request.code, (codes.get(request.code) ?? 0) + 1);
    }
    return {
      seed: this.options.seed,
      violations: this.checker.violations(),
      checks: this.checker.checkCount(),
      injected: this.injected,
      codes,
      unfinished: requests.filter(request => !request.ended).length,
      pending: requests
        .filter(request => !request.ended)
        .map(request => `${request.identity} ${request.detail}`),
      reported: this.reported,
      trace: this.trace,
    };
  }
}

/** Performs one randomised run; the same options give the same run. */
export function runRandomized(options: RunOptions): RunResult {
  return new RandomizedRun(options).run();
}
