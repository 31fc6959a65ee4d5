import * as hdr from 'hdr-histogram-js';
import * as randomSource from '../src/machines/random_source.js';
import * as schedulingHarness from '../test/support/scheduling_harness.js';
import * as schedulerUnderTest from './scheduler_under_test.js';
import type * as benchRow from './bench_row.js';
import type * as placement from '../src/contracts/placement.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 101;

/** Numbers of workers of the measured fleets; the last is the scale target. */
const WORKER_COUNTS = [30, 300, 900, 2_700] as const;

/** Running tasks per worker at the scale target: 25,000 on 2,700 workers. */
const TARGET_TASKS_PER_WORKER = 25_000 / 2_700;

const TEAM_COUNT = 72;

const WORKER_CAPACITY = schedulingHarness.buildResources(16_000, 32_768, 2, 16);

/** Virtual time between decisions: 610 starts a second. */
const DECISION_INTERVAL_MS = 1_000 / 610;

/** Waiting requests of each team in the run with a full fleet. */
const BACKLOG_PER_TEAM = 20;

/** Task ends measured with a full fleet; after each, every queue is retried. */
const MEASURED_BACKLOG_ENDS = 300;

const WARM_UP_DECISIONS = 5_000;

const MEASURED_DECISIONS = 30_000;

/** Every fifth task that fills the fleet belongs to a service. */
const SERVICE_TASK_INTERVAL = 5;

const SERVICE_WORKLOAD = schedulingHarness.buildWorkload({
  name: 'watch',
  kind: 'service',
  size: schedulingHarness.buildResources(500, 1_024),
});

function batchWorkloads(
  random: randomSource.RandomSource,
): ReadonlyArray<workload.Workload> {
  return Array.from({length: 40}, (_, index) =>
    schedulingHarness.buildWorkload({
      name: `batch-${index}`,
      urgency: index % 8 === 0 ? 'urgent' : 'normal',
      worth: random.below(10),
      size: schedulingHarness.buildResources(
        200 + random.below(2_000),
        256 + random.below(4_000),
        index % 10 === 0 ? 1 : 0,
      ),
    }),
  );
}

interface DecisionFigures {
  readonly decisionsPerSecond: number;
  readonly p99Ms: number;
  readonly runningCount: number;
}

/** Ends and starts tasks on a fleet and measures the cost of the decisions. */
class DecisionRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly workloads = batchWorkloads(this.random);
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly scheduler: schedulerUnderTest.ProductionScheduler;
  private readonly running: placement.Placement[] = [];
  private readonly costHistogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private nowMs = 0;
  private totalCostMs = 0;
  private waitingCount = 0;
  private decisionCount = 0;

  constructor(
    workerCount: number,
    private readonly targetRunning: number,
  ) {
    const teams = Array.from({length: TEAM_COUNT}, (_, index) =>
      schedulingHarness.buildTeam(`team-${index}`),
    );
    const capacity = WORKER_CAPACITY;
    const options = {seed: SEED, workerCount, capacity, teams};
    this.scheduler = new schedulerUnderTest.ProductionScheduler(options);
  }

  /** Fills the fleet, warms up, and measures decisions with free capacity. */
  measure(): DecisionFigures {
    for (let index = 0; index < this.targetRunning; index += 1) {
      this.admitAndPlace(
        index % SERVICE_TASK_INTERVAL === 0
          ? SERVICE_WORKLOAD
          : this.pickWorkload(),
      );
    }
    for (let index = 0; index < WARM_UP_DECISIONS; index += 1) this.swapTask();
    this.costHistogram.reset();
    this.totalCostMs = 0;
    this.decisionCount = 0;
    for (let index = 0; index < MEASURED_DECISIONS; index += 1) this.swapTask();
    return this.figures();
  }

  /** Fills the fleet, keeps a backlog, and measures the turn after each end. */
  measureBacklog(): DecisionFigures {
    const backlog = BACKLOG_PER_TEAM * TEAM_COUNT;
    for (let index = 0; index < this.targetRunning * 1.5; index += 1) {
      this.admitAndPlace(this.pickWorkload());
    }
    this.costHistogram.reset();
    this.totalCostMs = 0;
    this.decisionCount = 0;
    for (let index = 0; index < MEASURED_BACKLOG_ENDS; index += 1) {
      this.endRandomTask();
      while (this.waitingCount < backlog) this.admit(this.pickWorkload());
      this.place();
    }
    return this.figures();
  }

  private figures(): DecisionFigures {
    return {
      decisionsPerSecond: this.decisionCount / (this.totalCostMs / 1_000),
      p99Ms: this.costHistogram.getValueAtPercentile(99) / 1_000,
      runningCount: this.running.length,
    };
  }

  private swapTask(): void {
    if (this.running.length >= this.targetRunning) this.endRandomTask();
    this.admitAndPlace(this.pickWorkload());
  }

  private endRandomTask(): void {
    const position = this.random.below(this.running.length);
    const ended = this.running[position];
    const last = this.running.pop();
    if (last !== undefined && last !== ended) this.running[position] = last;
    this.scheduler.taskEnded(ended, this.nowMs);
  }

  private admitAndPlace(definition: workload.Workload): void {
    const admissionMs = this.admit(definition);
    this.place(admissionMs);
  }

  /** Admits a request and returns the time that it took in milliseconds. */
  private admit(definition: workload.Workload): number {
    const teamName = `team-${this.random.below(TEAM_COUNT)}`;
    const request = this.requests.create(teamName, definition, this.nowMs);
    const startedAtMs = performance.now();
    if (this.scheduler.admit(request, this.nowMs)) this.waitingCount += 1;
    return performance.now() - startedAtMs;
  }

  private place(admissionMs = 0): void {
    this.nowMs += DECISION_INTERVAL_MS;
    const startedAtMs = performance.now();
    const placed = this.scheduler.place(this.nowMs);
    const elapsedMs = performance.now() - startedAtMs + admissionMs;
    this.costHistogram.recordValue(Math.max(1, Math.round(elapsedMs * 1_000)));
    this.totalCostMs += elapsedMs;
    this.decisionCount += placed.length;
    this.waitingCount -= placed.length;
    for (const placement of placed) {
      this.scheduler.taskStarted(placement, this.nowMs);
      this.running.push(placement);
    }
    this.scheduler.takeCheckpoints();
  }

  private pickWorkload(): workload.Workload {
    return this.workloads[this.random.below(this.workloads.length)];
  }
}

function figureRows(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const targetRunning = Math.round(workerCount * TARGET_TASKS_PER_WORKER);
  const figures = new DecisionRun(workerCount, targetRunning).measure();
  const name = `decisions at ${workerCount} workers, ${figures.runningCount} tasks`;
  const row = {seed: SEED, baseline: ''};
  return [
    {
      ...row,
      name,
      figure: Math.round(figures.decisionsPerSecond),
      unit: 'per second',
      goal: 'at least 5000',
    },
    {
      ...row,
      name: `p99 of a decision at ${workerCount} workers`,
      figure: figures.p99Ms,
      unit: 'ms',
      goal: 'under 2',
    },
  ];
}

function backlogRows(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const targetRunning = Math.round(workerCount * TARGET_TASKS_PER_WORKER);
  const figures = new DecisionRun(workerCount, targetRunning).measureBacklog();
  const scenario = `a full fleet of ${workerCount} workers and a backlog`;
  const row = {seed: SEED, baseline: ''};
  return [
    {
      ...row,
      name: `decisions with ${scenario}, ${figures.runningCount} tasks`,
      figure: Math.round(figures.decisionsPerSecond),
      unit: 'per second',
      goal: 'at least 5000',
    },
    {
      ...row,
      name: `p99 of a turn with ${scenario}`,
      figure: figures.p99Ms,
      unit: 'ms',
      goal: 'under 2',
    },
  ];
}

/** Measures the rate and latency of decisions by the size of the fleet. */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  // Warms up the JIT compiler, so that the fleet sizes are comparable.
  new DecisionRun(300, 2_000).measure();
  const rows = WORKER_COUNTS.flatMap(figureRows);
  const rates = rows.filter(row => row.unit === 'per second');
  const growthFactor = rates[0].figure / rates[rates.length - 1].figure;
  const growthRow: benchRow.BenchRow = {
    name: 'growth of the cost of a decision from 30 to 2,700 workers',
    figure: Number(growthFactor.toFixed(2)),
    unit: 'times',
    seed: SEED,
    goal: 'under 2',
    baseline: '',
  };
  return [...rows, growthRow, ...backlogRows(30), ...backlogRows(2_700)];
}
