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
const WORKER_CAPACITY = schedulingHarness.buildResources(16_000, 32_768, 0, 64);

const WORKLOAD_COUNT = 20;

/** Waiting requests, enough that no capacity is idle for lack of work. */
const BACKLOG_REQUESTS = 400;

const STEP_MS = 100;

/** Makes each worker report once a second. */
const STEPS_PER_REPORT = 10;

/** Time in which the scheduler learns task sizes before the measurement. */
const WARM_UP_MS = 240_000;

const MEASURED_MS = 600_000;

const MINIMUM_RUN_TIME_MS = 20_000;

const MAXIMUM_RUN_TIME_MS = 60_000;

interface MisdeclaredWorkload {
  readonly definition: workload.Workload;
  readonly actualUsage: resources.Resources;
}

function randomFraction(random: randomSource.RandomSource): number {
  return random.below(1_000_000) / 1_000_000;
}

/** Returns workloads that declare a tenth to ten times their actual usage. */
function misdeclaredWorkloads(
  random: randomSource.RandomSource,
): ReadonlyArray<MisdeclaredWorkload> {
  return Array.from({length: WORKLOAD_COUNT}, (_, index) => {
    const actualUsage = schedulingHarness.buildResources(
      200 + random.below(1_300),
      400 + random.below(2_600),
    );
    const error = 10 ** (2 * randomFraction(random) - 1);
    const size = schedulingHarness.buildResources(
      Math.min(
        WORKER_CAPACITY.processors,
        Math.ceil(actualUsage.processors * error),
      ),
      Math.min(WORKER_CAPACITY.memory, Math.ceil(actualUsage.memory * error)),
    );
    const definition = schedulingHarness.buildWorkload({
      name: `mix-${index}`,
      size,
    });
    return {definition, actualUsage};
  });
}

interface PackingFigures {
  /** Used fraction of the offline bound. */
  readonly boundFraction: number;
  /** Fraction of worker time in which usage exceeded the capacity. */
  readonly overCapacity: number;
}

/** Keeps a backlog and measures how much of the workers' capacity is used. */
class PackingRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly workloads = misdeclaredWorkloads(this.random);
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly runningTasks = new runningTasks.RunningTasks();
  private readonly usageByTask = new Map<string, resources.Resources>();
  private usedTotal = resources.NONE;
  private sampleCount = 0;
  private overCapacitySamples = 0;
  private waitingCount = 0;

  constructor(
    private readonly scheduler: schedulerUnderTest.SchedulerUnderTest,
    /** Largest relative deviation of a task's usage from its workload's. */
    private readonly variation: number,
  ) {}

  run(): PackingFigures {
    const end = WARM_UP_MS + MEASURED_MS;
    for (let step = 0; step * STEP_MS < end; step += 1) {
      this.runStep(step * STEP_MS, step);
    }
    const total = resources.scale(
      WORKER_CAPACITY,
      WORKER_COUNT * this.sampleCount,
    );
    return {
      boundFraction: Math.max(
        this.usedTotal.processors / total.processors,
        this.usedTotal.memory / total.memory,
      ),
      overCapacity:
        this.overCapacitySamples / (this.sampleCount * WORKER_COUNT),
    };
  }

  private runStep(now: number, step: number): void {
    for (const ended of this.runningTasks.takeEnded(now)) {
      this.usageByTask.delete(ended.placement.task);
      this.scheduler.taskEnded(ended.placement, now);
    }
    if (step % STEPS_PER_REPORT === 0) this.reportUsage(now);
    for (; this.waitingCount < BACKLOG_REQUESTS; this.waitingCount += 1) {
      const {definition} = this.workloads[this.random.below(WORKLOAD_COUNT)];
      this.scheduler.admit(this.requests.create('team', definition, now), now);
    }
    for (const placement of this.scheduler.place(now)) {
      this.startTask(placement, now);
    }
    if (now >= WARM_UP_MS) this.sampleUsage();
  }

  private startTask(placement: placement.Placement, now: number): void {
    this.waitingCount -= 1;
    const {name} = placement.request.workload;
    const {actualUsage} = this.workloads.find(
      workload => workload.definition.name === name,
    ) as MisdeclaredWorkload;
    const usageFactor =
      1 + this.variation * (2 * randomFraction(this.random) - 1);
    this.usageByTask.set(placement.task, {
      ...actualUsage,
      processors: Math.round(actualUsage.processors * usageFactor),
      memory: Math.round(actualUsage.memory * usageFactor),
    });
    const runTimeMs =
      MINIMUM_RUN_TIME_MS +
      this.random.below(MAXIMUM_RUN_TIME_MS - MINIMUM_RUN_TIME_MS);
    this.runningTasks.add(placement, now, runTimeMs);
    this.scheduler.taskStarted(placement, now);
  }

  private reportUsage(now: number): void {
    for (const target of this.scheduler.workers) {
      this.scheduler.reportUsage(target, task => this.usageOf(task), now);
    }
    for (const task of this.scheduler.takeCheckpoints()) {
      const checkpointed = this.runningTasks.remove(task);
      if (checkpointed === undefined) continue;
      this.usageByTask.delete(task);
      this.scheduler.taskCheckpointed(checkpointed.placement, now);
      this.waitingCount += 1;
    }
  }

  private sampleUsage(): void {
    this.sampleCount += 1;
    for (const target of this.scheduler.workers) {
      const sum = this.usageOn(target);
      if (!resources.fits(sum, WORKER_CAPACITY)) this.overCapacitySamples += 1;
      this.usedTotal = resources.add(
        this.usedTotal,
        resources.minimum(sum, WORKER_CAPACITY),
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
    capacity: WORKER_CAPACITY,
    teams: [schedulingHarness.buildTeam('team')],
  };
}

function rowsAt(variation: number): ReadonlyArray<benchRow.BenchRow> {
  const schedulerRun = new schedulerUnderTest.ProductionScheduler(
    schedulerOptions(),
  );
  const baselineScheduler = new firstFitBaseline.FirstFitBaseline(
    schedulerOptions(),
    1e6,
  );
  const figures = new PackingRun(schedulerRun, variation).run();
  const baseline = new PackingRun(baselineScheduler, variation).run();
  const scenario = `tasks of a workload within ${variation * 100}%`;
  return [
    {
      name: `packing, share of the offline bound, ${scenario}`,
      figure: Number(figures.boundFraction.toFixed(3)),
      unit: 'fraction',
      seed: SEED,
      goal: 'at least 0.95',
      baseline: baseline.boundFraction.toFixed(3),
    },
    {
      name: `worker time over capacity, ${scenario}`,
      figure: Number(figures.overCapacity.toFixed(5)),
      unit: 'fraction',
      seed: SEED,
      goal: '0',
      baseline: baseline.overCapacity.toFixed(5),
    },
  ];
}

/**
 * Measures packing with declared sizes wrong by up to a factor of ten. The
 * offline bound uses the scarcer of processors and memory of all workers in
 * full at all times.
 */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  return [0, 0.05].flatMap(rowsAt);
}
