import * as cellGateway from '../../src/zones/cell_gateway.js';
import * as jobCell from '../../test/support/job_cell.js';
import * as loopBoundWorkers from './loop_bound_workers.js';
import * as loopMeter from '../../src/machines/loop_meter.js';
import * as loopMonitor from '../../src/operations/loop_monitor.js';
import * as simulatedLoop from './simulated_loop.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as schedulerOptions from '../../src/jobs/scheduler_options.js';

/** Size of a simulated cell and the loop time that work costs its leader. */
export interface LoadedCellOptions {
  readonly workerCount: number;
  readonly processorsPerWorker: number;
  readonly costs: loopBoundWorkers.LoopCosts;
}

/** Outcome of one submission through a front. */
export type FrontOutcome =
  cellGateway.GatewayOutcome<jobAdmission.SubmitOutcome>;

/** Interactive queue of the simulated cell, and one of batch work. */
export const URGENT_QUEUE: job.Queue = jobCell.QUEUE;
export const BATCH_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  stretch: 4,
};

const FRONT_COUNT = 3;

const TICK_INTERVAL_MS = 100;
const PING_INTERVAL_MS = 800;

const LEADER_CLAIM = {
  term: 1,
  node: 'leader',
  incarnation: 'leader-1',
  address: 'leader:1',
};

/**
 * Cell with a real scheduler and real gateways in simulated time, in which all
 * work of the leader takes time of one event loop.
 */
export class LoadedCell {
  readonly cell = new jobCell.JobCell();
  readonly time = this.cell.time;
  readonly loop = new simulatedLoop.SimulatedLoop(this.time);
  /** When each completed job was settled, by id. */
  readonly completedAtMs = new Map<string, number>();
  /** Counters of the leader and the fronts, by name and reason. */
  readonly counts = new Map<string, number>();
  private readonly fronts: cellGateway.CellGateway[] = [];
  /** What the fronts know from their pings. */
  private leaderOverloaded = false;
  private readonly monitor = new loopMonitor.LoopMonitor(
    this.time,
    TICK_INTERVAL_MS,
    () => this.loop.times,
    new loopMeter.LoopMeter(this.time),
    {event: () => {}},
    {count: () => {}, observe: () => {}},
  );
  private scheduler!: jobScheduler.JobScheduler;

  private constructor(private readonly options: LoadedCellOptions) {}

  /** Starts the scheduler and the fronts. */
  static async start(options: LoadedCellOptions): Promise<LoadedCell> {
    const loaded = new LoadedCell(options);
    await loaded.start();
    return loaded;
  }

  /** Submits a job through a front as a caller that waits `waitMs` does. */
  submit(
    front: number,
    definition: job.JobDefinition,
    waitMs: number,
  ): Promise<FrontOutcome> {
    const gateway = this.fronts[front % FRONT_COUNT];
    return gateway.submit(definition, 1, this.time.now() + waitMs);
  }

  /** Returns whether the job's definition is stored. */
  isStored(id: string): boolean {
    return this.cell.journal.definitions.has(id);
  }

  /** Returns a counter of all processes. */
  countOf(name: string, reason: string): number {
    return this.counts.get(`${name} ${reason}`) ?? 0;
  }

  private async start(): Promise<void> {
    const {cell, options} = this;
    const {processorsPerWorker, workerCount, costs} = options;
    cell.queues = [URGENT_QUEUE, BATCH_QUEUE];
    cell.log = {event: (_level, name, fields) => this.observe(name, fields)};
    cell.workerClient = new loopBoundWorkers.LoopBoundWorkers(
      cell.workers,
      this.loop,
      costs,
    );
    for (let index = 0; index < workerCount; index += 1) {
      const entry = jobCell.registryEntry(`worker-${index}`);
      const processors = 1_000 * processorsPerWorker;
      const memory = 4_096 * processorsPerWorker;
      const capacity = {...entry.capacity, processors, memory};
      cell.addWorker({...entry, capacity}, estimatedRuntimes);
    }
    cell.loopLoad = this.monitor;
    this.scheduler = await cell.startTerm(1);
    void this.tickLoop();
    for (let index = 0; index < FRONT_COUNT; index += 1) {
      this.fronts.push(this.createFront());
      this.time.runEvery(PING_INTERVAL_MS, () => void this.ping());
    }
  }

  private createFront(): cellGateway.CellGateway {
    const isOverloaded = (): boolean => this.leaderOverloaded;
    const member = {
      leader: LEADER_CLAIM,
      runsScheduler: false,
      get leaderOverloaded() {
        return isOverloaded();
      },
      submit: () => undefined,
    } as unknown as cellGateway.LocalMember;
    const peers = {
      submit: (
        _address: string,
        definition: job.JobDefinition,
        version: number,
        timeoutMs: number,
      ) =>
        this.withTimeout(timeoutMs, () =>
          this.submitToLeader(definition, version),
        ),
      screen: (
        _address: string,
        jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
        timeoutMs: number,
      ) => this.withTimeout(timeoutMs, () => this.screenAtLeader(jobs)),
    } as unknown as cellPeers.CellPeers;
    const counters: schedulerOptions.Counters = {
      count: (name, reason) => this.count(name, reason),
      observe: () => {},
    };
    return new cellGateway.CellGateway(
      member,
      peers,
      this.time,
      this.time,
      this.time,
      counters,
    );
  }

  private async submitToLeader(
    definition: job.JobDefinition,
    version: number,
  ): Promise<jobAdmission.SubmitOutcome> {
    this.count('leader_calls', 'submit');
    await this.loop.run(this.options.costs.submitMs);
    return new Promise(resolve =>
      this.scheduler.submit(definition, version, resolve),
    );
  }

  private async screenAtLeader(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): Promise<ReadonlyArray<jobAdmission.ScreeningOutcome>> {
    this.count('leader_calls', 'screen');
    await this.loop.run(this.options.costs.screenMs);
    return this.scheduler.screen(jobs);
  }

  /** Pings the leader as each front does, and measures its loop. */
  private async ping(): Promise<void> {
    await this.loop.run(this.options.costs.pingMs);
    this.leaderOverloaded = this.scheduler.overloaded;
  }

  private async tickLoop(): Promise<void> {
    for (;;) {
      await this.loop.run(0);
      this.monitor.tick();
      await this.time.delay(TICK_INTERVAL_MS);
    }
  }

  /** A call that timed out still takes effect. */
  private withTimeout<Value>(
    timeoutMs: number,
    call: () => Promise<Value>,
  ): Promise<cellPeers.LeaderCallOutcome<Value>> {
    const answered = call().then(value => ({kind: 'answered', value}) as const);
    const timedOut = this.time
      .delay(timeoutMs)
      .then(() => ({kind: 'unanswered', detail: 'timeout'}) as const);
    return Promise.race([answered, timedOut]);
  }

  private count(name: string, reason: string): void {
    const key = `${name} ${reason}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  private observe(
    name: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    if (name !== 'jobSettled' || fields.outcome !== 'completed') return;
    this.completedAtMs.set(String(fields.job), this.time.now());
  }
}

/** Tasks of jobs whose id begins with `b` take two seconds, others one. */
function estimatedRuntimes(command: {readonly task: string}): {
  runTimeMs: number;
  outcome: 'done';
} {
  const runTimeMs = command.task.startsWith('b') ? 2_000 : 1_000;
  return {runTimeMs, outcome: 'done'};
}
