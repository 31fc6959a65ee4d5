import * as hdr from 'hdr-histogram-js';
import * as randomSource from '../src/machines/random_source.js';
import * as schedulingHarness from '../test/support/scheduling_harness.js';
import * as schedulerUnderTest from './scheduler_under_test.js';
import type * as benchRow from './bench_row.js';
import type * as placement from '../src/contracts/placement.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 101;

/** Sizes of the fleet; the last one is the scale target. */
const WORKER_COUNTS = [30, 300, 900, 2_700] as const;

/** Tasks a worker runs at the target: 25,000 on 2,700. */
const TASKS_PER_WORKER = 25_000 / 2_700;

const TEAM_COUNT = 72;

const CAPACITY = schedulingHarness.buildResources(16_000, 32_768, 2, 16);

/** Injected time between decisions: 610 starts a second. */
const DECISION_INTERVAL_MS = 1_000 / 610;

/** Requests of each team that wait in the run with a full fleet. */
const BACKLOG_PER_TEAM = 20;

/** Ends measured with a full fleet; each reopens every waiting lane. */
const MEASURED_BACKLOG_ENDS = 300;

const WARM_UP_DECISIONS = 5_000;

const MEASURED_DECISIONS = 30_000;

/** Every fifth running task at the target belongs to a service. */
const TASKS_PER_SERVICE_TASK = 5;

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
  readonly perSecond: number;
  readonly p99Ms: number;
  readonly runningCount: number;
}

/** Ends one task and starts one, again and again, and times the decisions. */
class DecisionRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly workloads = batchWorkloads(this.random);
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly scheduler: schedulerUnderTest.ProductionScheduler;
  private readonly running: placement.Placement[] = [];
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private nowMs = 0;
  private spentMs = 0;
  private waitingCount = 0;
  private decisionCount = 0;

  constructor(
    workerCount: number,
    private readonly targetRunning: number,
  ) {
    const teams = Array.from({length: TEAM_COUNT}, (_, index) =>
      schedulingHarness.buildTeam(`team-${index}`),
    );
    const capacity = CAPACITY;
    const options = {seed: SEED, workerCount, capacity, teams};
    this.scheduler = new schedulerUnderTest.ProductionScheduler(options);
  }

  /** Fills the fleet, warms up, and measures. */
  measure(): DecisionFigures {
    for (let index = 0; index < this.targetRunning; index += 1) {
      this.admitAndPlace(
        index % TASKS_PER_SERVICE_TASK === 0
          ? SERVICE_WORKLOAD
          : this.pickWorkload(),
      );
    }
    for (let index = 0; index < WARM_UP_DECISIONS; index += 1) this.swapTask();
    this.histogram.reset();
    this.spentMs = 0;
    this.decisionCount = 0;
    for (let index = 0; index < MEASURED_DECISIONS; index += 1) this.swapTask();
    return this.figures();
  }

  /** Fills the fleet, keeps a backlog, and measures what each end costs. */
  measureBacklog(): DecisionFigures {
    const backlog = BACKLOG_PER_TEAM * TEAM_COUNT;
    for (let index = 0; index < this.targetRunning * 1.5; index += 1) {
      this.admitAndPlace(this.pickWorkload());
    }
    this.histogram.reset();
    this.spentMs = 0;
    this.decisionCount = 0;
    for (let index = 0; index < MEASURED_BACKLOG_ENDS; index += 1) {
      this.endOne();
      while (this.waitingCount < backlog) this.admit(this.pickWorkload());
      this.place();
    }
    return this.figures();
  }

  private figures(): DecisionFigures {
    return {
      perSecond: this.decisionCount / (this.spentMs / 1_000),
      p99Ms: this.histogram.getValueAtPercentile(99) / 1_000,
      runningCount: this.running.length,
    };
  }

  private swapTask(): void {
    if (this.running.length >= this.targetRunning) this.endOne();
    this.admitAndPlace(this.pickWorkload());
  }

  private endOne(): void {
    const position = this.random.below(this.running.length);
    const ended = this.running[position];
    const last = this.running.pop();
    if (last !== undefined && last !== ended) this.running[position] = last;
    this.scheduler.ended(ended, this.nowMs);
  }

  private admitAndPlace(described: workload.Workload): void {
    const elapsed = this.admit(described);
    this.place(elapsed);
  }

  /** Returns the time that the admission took. */
  private admit(described: workload.Workload): number {
    const name = `team-${this.random.below(TEAM_COUNT)}`;
    const built = this.requests.next(name, described, this.nowMs);
    const before = performance.now();
    if (this.scheduler.admit(built, this.nowMs)) this.waitingCount += 1;
    return performance.now() - before;
  }

  private place(admissionMs = 0): void {
    this.nowMs += DECISION_INTERVAL_MS;
    const before = performance.now();
    const placed = this.scheduler.place(this.nowMs);
    const elapsed = performance.now() - before + admissionMs;
    this.histogram.recordValue(Math.max(1, Math.round(elapsed * 1_000)));
    this.spentMs += elapsed;
    this.decisionCount += placed.length;
    this.waitingCount -= placed.length;
    for (const placement of placed) {
      this.scheduler.started(placement, this.nowMs);
      this.running.push(placement);
    }
    this.scheduler.takeCheckpoints();
  }

  private pickWorkload(): workload.Workload {
    return this.workloads[this.random.below(this.workloads.length)];
  }
}

function figureRows(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const target = Math.round(workerCount * TASKS_PER_WORKER);
  const figures = new DecisionRun(workerCount, target).measure();
  const name = `decisions at ${workerCount} workers, ${figures.runningCount} tasks`;
  const row = {seed: SEED, baseline: ''};
  return [
    {
      ...row,
      name,
      figure: Math.round(figures.perSecond),
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
  const target = Math.round(workerCount * TASKS_PER_WORKER);
  const figures = new DecisionRun(workerCount, target).measureBacklog();
  const where = `a full fleet of ${workerCount} workers and a backlog`;
  const row = {seed: SEED, baseline: ''};
  return [
    {
      ...row,
      name: `decisions with ${where}, ${figures.runningCount} tasks`,
      figure: Math.round(figures.perSecond),
      unit: 'per second',
      goal: 'at least 5000',
    },
    {
      ...row,
      name: `p99 of a turn with ${where}`,
      figure: figures.p99Ms,
      unit: 'ms',
      goal: 'under 2',
    },
  ];
}

/** Speed of decisions by size of the fleet. */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  // The first run only lets the compiler finish, so that sizes compare.
  new DecisionRun(300, 2_000).measure();
  const rows = WORKER_COUNTS.flatMap(figureRows);
  const rates = rows.filter(row => row.unit === 'per second');
  const growth = rates[0].figure / rates[rates.length - 1].figure;
  const grown: benchRow.BenchRow = {
    name: 'growth of the cost of a decision from 30 to 2,700 workers',
    figure: Number(growth.toFixed(2)),
    unit: 'times',
    seed: SEED,
    goal: 'under 2',
    baseline: '',
  };
  return [...rows, grown, ...backlogRows(30), ...backlogRows(2_700)];
}
