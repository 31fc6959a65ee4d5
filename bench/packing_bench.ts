import * as firstFitBaseline from './first_fit_baseline.js';
import * as randomSource from '../src/machines/random_source.js';
import * as resources from '../src/machines/resources.js';
import * as schedulingHarness from '../test/support/scheduling_harness.js';
import * as schedulerUnderTest from './scheduler_under_test.js';
import * as runningTasks from './running_tasks.js';
import type * as benchRow from './bench_row.js';
import type * as placement from '../src/contracts/placement.js';
import type * as worker from '../src/machines/worker.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 202;

const WORKER_COUNT = 40;

/** Slots are plentiful, so that processors and memory limit the packing. */
const CAPACITY = schedulingHarness.buildResources(16_000, 32_768, 0, 64);

const WORKLOAD_COUNT = 20;

/** Requests kept waiting, so that room is never empty for lack of work. */
const BACKLOG_REQUESTS = 400;

const STEP_MS = 100;

/** Workers report once a second. */
const STEPS_PER_REPORT = 10;

/** Time in which sizes are learned, before the measurement. */
const WARM_UP_MS = 240_000;

const MEASURED_MS = 600_000;

const MIN_RUN_TIME_MS = 20_000;

const MAX_RUN_TIME_MS = 60_000;

interface MisdeclaredWorkload {
  readonly declared: workload.Workload;
  readonly used: resources.Resources;
}

function randomFraction(random: randomSource.RandomSource): number {
  return random.below(1_000_000) / 1_000_000;
}

/** Workloads whose declared sizes are a tenth to ten times what they use. */
function misdeclaredWorkloads(
  random: randomSource.RandomSource,
): ReadonlyArray<MisdeclaredWorkload> {
  return Array.from({length: WORKLOAD_COUNT}, (_, index) => {
    const used = schedulingHarness.buildResources(
      200 + random.below(1_300),
      400 + random.below(2_600),
    );
    const error = 10 ** (2 * randomFraction(random) - 1);
    const size = schedulingHarness.buildResources(
      Math.min(CAPACITY.processors, Math.ceil(used.processors * error)),
      Math.min(CAPACITY.memory, Math.ceil(used.memory * error)),
    );
    const declared = schedulingHarness.buildWorkload({
      name: `mix-${index}`,
      size,
    });
    return {declared, used};
  });
}

interface PackingFigures {
  /** Fraction of the bound that was reached. */
  readonly packing: number;
  /** Fraction of worker time in which tasks used more than the capacity. */
  readonly overCapacity: number;
}

/** Keeps a backlog and measures what the workers' capacity is used for. */
class PackingRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly workloads = misdeclaredWorkloads(this.random);
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly running = new runningTasks.RunningTasks();
  private readonly usageByTask = new Map<string, resources.Resources>();
  private usedTotal = resources.NONE;
  private sampleCount = 0;
  private overCapacitySamples = 0;
  private waitingCount = 0;

  constructor(
    private readonly scheduler: schedulerUnderTest.SchedulerUnderTest,
    /** Largest relative difference between tasks of one workload. */
    private readonly variation: number,
  ) {}

  run(): PackingFigures {
    const end = WARM_UP_MS + MEASURED_MS;
    for (let step = 0; step * STEP_MS < end; step += 1) {
      this.step(step * STEP_MS, step);
    }
    const total = resources.scale(CAPACITY, WORKER_COUNT * this.sampleCount);
    return {
      packing: Math.max(
        this.usedTotal.processors / total.processors,
        this.usedTotal.memory / total.memory,
      ),
      overCapacity:
        this.overCapacitySamples / (this.sampleCount * WORKER_COUNT),
    };
  }

  private step(now: number, step: number): void {
    for (const ended of this.running.takeEnded(now)) {
      this.usageByTask.delete(ended.placement.task);
      this.scheduler.ended(ended.placement, now);
    }
    if (step % STEPS_PER_REPORT === 0) this.report(now);
    for (; this.waitingCount < BACKLOG_REQUESTS; this.waitingCount += 1) {
      const {declared} = this.workloads[this.random.below(WORKLOAD_COUNT)];
      this.scheduler.admit(this.requests.next('team', declared, now), now);
    }
    for (const placement of this.scheduler.place(now)) {
      this.start(placement, now);
    }
    if (now >= WARM_UP_MS) this.sample();
  }

  private start(placement: placement.Placement, now: number): void {
    this.waitingCount -= 1;
    const {name} = placement.request.workload;
    const {used} = this.workloads.find(
      mix => mix.declared.name === name,
    ) as MisdeclaredWorkload;
    const spread = 1 + this.variation * (2 * randomFraction(this.random) - 1);
    this.usageByTask.set(placement.task, {
      ...used,
      processors: Math.round(used.processors * spread),
      memory: Math.round(used.memory * spread),
    });
    const runTimeMs =
      MIN_RUN_TIME_MS + this.random.below(MAX_RUN_TIME_MS - MIN_RUN_TIME_MS);
    this.running.start(placement, now, runTimeMs);
    this.scheduler.started(placement, now);
  }

  private report(now: number): void {
    for (const target of this.scheduler.workers) {
      this.scheduler.report(target, task => this.usageOf(task), now);
    }
    for (const task of this.scheduler.takeCheckpoints()) {
      const stopped = this.running.stop(task);
      if (stopped === undefined) continue;
      this.usageByTask.delete(task);
      this.scheduler.checkpointed(stopped.placement, now);
      this.waitingCount += 1;
    }
  }

  private sample(): void {
    this.sampleCount += 1;
    for (const target of this.scheduler.workers) {
      const sum = this.usageOn(target);
      if (!resources.fits(sum, CAPACITY)) this.overCapacitySamples += 1;
      this.usedTotal = resources.add(
        this.usedTotal,
        resources.minimum(sum, CAPACITY),
      );
    }
  }

  private usageOn(target: worker.Worker): resources.Resources {
    let sum = resources.NONE;
    for (const task of target.reservations().keys()) {
      sum = resources.add(sum, this.usageOf(task));
    }
    return sum;
  }

  private usageOf(task: string): resources.Resources {
    return this.usageByTask.get(task) ?? resources.NONE;
  }
}

function schedulerOptions(): schedulerUnderTest.SchedulerUnderTestOptions {
  return {
    seed: SEED,
    workerCount: WORKER_COUNT,
    capacity: CAPACITY,
    teams: [schedulingHarness.buildTeam('team')],
  };
}

function rowsAt(variation: number): ReadonlyArray<benchRow.BenchRow> {
  const real = new schedulerUnderTest.ProductionScheduler(schedulerOptions());
  const plain = new firstFitBaseline.FirstFitBaseline(schedulerOptions(), 1e6);
  const figures = new PackingRun(real, variation).run();
  const baseline = new PackingRun(plain, variation).run();
  const which = `tasks of a workload within ${variation * 100}%`;
  return [
    {
      name: `packing, share of the offline bound, ${which}`,
      figure: Number(figures.packing.toFixed(3)),
      unit: 'fraction',
      seed: SEED,
      goal: 'at least 0.95',
      baseline: baseline.packing.toFixed(3),
    },
    {
      name: `worker time over capacity, ${which}`,
      figure: Number(figures.overCapacity.toFixed(5)),
      unit: 'fraction',
      seed: SEED,
      goal: '0',
      baseline: baseline.overCapacity.toFixed(5),
    },
  ];
}

/**
 * Packing with declared sizes wrong by up to a factor of ten. The bound fills
 * the scarcer of processors and memory of every worker at every moment with
 * the tasks that ran.
 */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  return [0, 0.05].flatMap(rowsAt);
}
