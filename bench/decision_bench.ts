import * as hdr from 'hdr-histogram-js';
import * as randomSource from '../src/machines/random_source.js';
import * as scheduling from '../test/support/scheduling.js';
import * as schedulingSubject from './scheduling_subject.js';
import type * as benchRow from './bench_row.js';
import type * as placement from '../src/contracts/placement.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 101;

/** Sizes of the fleet; the last one is the scale target. */
const WORKER_COUNTS = [30, 300, 900, 2_700] as const;

/** Tasks a worker runs at the target: 25,000 on 2,700. */
const TASKS_PER_WORKER = 25_000 / 2_700;

const TEAM_COUNT = 72;

const CAPACITY = scheduling.size(16_000, 32_768, 2, 16);

/** Injected time between decisions: 610 starts a second. */
const STEP_MS = 1_000 / 610;

/** Requests of each team that wait in the run with a full fleet. */
const BACKLOG_PER_TEAM = 20;

/** Ends measured with a full fleet; each reopens every waiting lane. */
const BACKLOG_ENDS = 300;

const WARM_UP_DECISIONS = 5_000;

const MEASURED_DECISIONS = 30_000;

/** Every fifth running task at the target belongs to a service. */
const SERVICE_EVERY = 5;

const SERVICE = scheduling.workloadOf({
  name: 'watch',
  kind: 'service',
  size: scheduling.size(500, 1_024),
});

function batchWorkloads(
  random: randomSource.RandomSource,
): ReadonlyArray<workload.Workload> {
  return Array.from({length: 40}, (_, index) =>
    scheduling.workloadOf({
      name: `batch-${index}`,
      urgency: index % 8 === 0 ? 'urgent' : 'normal',
      worth: random.below(10),
      size: scheduling.size(
        200 + random.below(2_000),
        256 + random.below(4_000),
        index % 10 === 0 ? 1 : 0,
      ),
    }),
  );
}

interface Figures {
  readonly perSecond: number;
  readonly p99Ms: number;
  readonly running: number;
}

/** Ends one task and starts one, again and again, and times the decisions. */
class DecisionRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly workloads = batchWorkloads(this.random);
  private readonly source = new schedulingSubject.RequestSource();
  private readonly subject: schedulingSubject.SchedulerSubject;
  private readonly running: placement.Placement[] = [];
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private now = 0;
  private spentMs = 0;
  private waiting = 0;
  private decisions = 0;

  constructor(
    workerCount: number,
    private readonly target: number,
  ) {
    const teams = Array.from({length: TEAM_COUNT}, (_, index) =>
      scheduling.teamOf(`team-${index}`),
    );
    const capacity = CAPACITY;
    const options = {seed: SEED, workerCount, capacity, teams};
    this.subject = new schedulingSubject.SchedulerSubject(options);
  }

  /** Fills the fleet, warms up, and measures. */
  measure(): Figures {
    for (let index = 0; index < this.target; index += 1) {
      this.step(index % SERVICE_EVERY === 0 ? SERVICE : this.pick());
    }
    for (let index = 0; index < WARM_UP_DECISIONS; index += 1) this.exchange();
    this.histogram.reset();
    this.spentMs = 0;
    this.decisions = 0;
    for (let index = 0; index < MEASURED_DECISIONS; index += 1) this.exchange();
    return this.figures();
  }

  /** Fills the fleet, keeps a backlog, and measures what each end costs. */
  measureBacklog(): Figures {
    const backlog = BACKLOG_PER_TEAM * TEAM_COUNT;
    for (let index = 0; index < this.target * 1.5; index += 1) {
      this.step(this.pick());
    }
    this.histogram.reset();
    this.spentMs = 0;
    this.decisions = 0;
    for (let index = 0; index < BACKLOG_ENDS; index += 1) {
      this.endOne();
      while (this.waiting < backlog) this.admit(this.pick());
      this.place();
    }
    return this.figures();
  }

  private figures(): Figures {
    return {
      perSecond: this.decisions / (this.spentMs / 1_000),
      p99Ms: this.histogram.getValueAtPercentile(99) / 1_000,
      running: this.running.length,
    };
  }

  private exchange(): void {
    if (this.running.length >= this.target) this.endOne();
    this.step(this.pick());
  }

  private endOne(): void {
    const position = this.random.below(this.running.length);
    const ended = this.running[position];
    const last = this.running.pop();
    if (last !== undefined && last !== ended) this.running[position] = last;
    this.subject.ended(ended, this.now);
  }

  private step(described: workload.Workload): void {
    const elapsed = this.admit(described);
    this.place(elapsed);
  }

  /** Returns the time that the admission took. */
  private admit(described: workload.Workload): number {
    const name = `team-${this.random.below(TEAM_COUNT)}`;
    const built = this.source.next(name, described, this.now);
    const before = performance.now();
    if (this.subject.admit(built, this.now)) this.waiting += 1;
    return performance.now() - before;
  }

  private place(admissionMs = 0): void {
    this.now += STEP_MS;
    const before = performance.now();
    const placed = this.subject.place(this.now);
    const elapsed = performance.now() - before + admissionMs;
    this.histogram.recordValue(Math.max(1, Math.round(elapsed * 1_000)));
    this.spentMs += elapsed;
    this.decisions += placed.length;
    this.waiting -= placed.length;
    for (const placement of placed) {
      this.subject.started(placement, this.now);
      this.running.push(placement);
    }
    this.subject.takeCheckpoints();
  }

  private pick(): workload.Workload {
    return this.workloads[this.random.below(this.workloads.length)];
  }
}

function figureRows(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const target = Math.round(workerCount * TASKS_PER_WORKER);
  const figures = new DecisionRun(workerCount, target).measure();
  const name = `decisions at ${workerCount} workers, ${figures.running} tasks`;
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
      name: `decisions with ${where}, ${figures.running} tasks`,
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
