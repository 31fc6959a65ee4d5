import * as firstFitBaseline from './first_fit_baseline.js';
import * as randomSource from '../src/machines/random_source.js';
import * as resources from '../src/machines/resources.js';
import * as scheduling from '../test/support/scheduling.js';
import * as schedulingSubject from './scheduling_subject.js';
import * as taskClock from './task_clock.js';
import type * as benchRow from './bench_row.js';
import type * as placement from '../src/contracts/placement.js';
import type * as worker from '../src/machines/worker.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 202;

const WORKER_COUNT = 40;

/** Slots are plentiful, so that processors and memory limit the packing. */
const CAPACITY = scheduling.size(16_000, 32_768, 0, 64);

const WORKLOAD_COUNT = 20;

/** Requests kept waiting, so that room is never empty for lack of work. */
const BACKLOG = 400;

const STEP_MS = 100;

/** Workers report once a second. */
const REPORT_STEPS = 10;

/** Time in which sizes are learned, before the measurement. */
const WARM_UP_MS = 240_000;

const MEASURED_MS = 600_000;

const SHORTEST_RUN_MS = 20_000;

const LONGEST_RUN_MS = 60_000;

interface Mix {
  readonly declared: workload.Workload;
  readonly used: resources.Resources;
}

function fraction(random: randomSource.RandomSource): number {
  return random.below(1_000_000) / 1_000_000;
}

/** Workloads whose declared sizes are a tenth to ten times what they use. */
function mixes(random: randomSource.RandomSource): ReadonlyArray<Mix> {
  return Array.from({length: WORKLOAD_COUNT}, (_, index) => {
    const used = scheduling.size(
      200 + random.below(1_300),
      400 + random.below(2_600),
    );
    const error = 10 ** (2 * fraction(random) - 1);
    const size = scheduling.size(
      Math.min(CAPACITY.processors, Math.ceil(used.processors * error)),
      Math.min(CAPACITY.memory, Math.ceil(used.memory * error)),
    );
    const declared = scheduling.workloadOf({name: `mix-${index}`, size});
    return {declared, used};
  });
}

interface Figures {
  /** Fraction of the bound that was reached. */
  readonly packing: number;
  /** Fraction of worker time in which tasks used more than the capacity. */
  readonly overLimit: number;
}

/** Keeps a backlog and measures what the workers' capacity is used for. */
class PackingRun {
  private readonly random = new randomSource.SeededRandom(SEED);
  private readonly mixes = mixes(this.random);
  private readonly source = new schedulingSubject.RequestSource();
  private readonly clock = new taskClock.TaskClock();
  private readonly usage = new Map<string, resources.Resources>();
  private used = resources.NONE;
  private samples = 0;
  private overLimit = 0;
  private waiting = 0;

  constructor(
    private readonly subject: schedulingSubject.SchedulingSubject,
    /** Largest relative difference between tasks of one workload. */
    private readonly variation: number,
  ) {}

  run(): Figures {
    const end = WARM_UP_MS + MEASURED_MS;
    for (let step = 0; step * STEP_MS < end; step += 1) {
      this.step(step * STEP_MS, step);
    }
    const total = resources.scale(CAPACITY, WORKER_COUNT * this.samples);
    return {
      packing: Math.max(
        this.used.processors / total.processors,
        this.used.memory / total.memory,
      ),
      overLimit: this.overLimit / (this.samples * WORKER_COUNT),
    };
  }

  private step(now: number, step: number): void {
    for (const ended of this.clock.takeEnded(now)) {
      this.usage.delete(ended.placement.task);
      this.subject.ended(ended.placement, now);
    }
    if (step % REPORT_STEPS === 0) this.report(now);
    for (; this.waiting < BACKLOG; this.waiting += 1) {
      const {declared} = this.mixes[this.random.below(WORKLOAD_COUNT)];
      this.subject.admit(this.source.next('team', declared, now), now);
    }
    for (const placement of this.subject.place(now)) {
      this.start(placement, now);
    }
    if (now >= WARM_UP_MS) this.sample();
  }

  private start(placement: placement.Placement, now: number): void {
    this.waiting -= 1;
    const {name} = placement.request.workload;
    const {used} = this.mixes.find(mix => mix.declared.name === name) as Mix;
    const spread = 1 + this.variation * (2 * fraction(this.random) - 1);
    this.usage.set(placement.task, {
      ...used,
      processors: Math.round(used.processors * spread),
      memory: Math.round(used.memory * spread),
    });
    const runTimeMs =
      SHORTEST_RUN_MS + this.random.below(LONGEST_RUN_MS - SHORTEST_RUN_MS);
    this.clock.start(placement, now, runTimeMs);
    this.subject.started(placement, now);
  }

  private report(now: number): void {
    for (const target of this.subject.workers) {
      this.subject.report(target, task => this.usageOf(task), now);
    }
    for (const task of this.subject.takeCheckpoints()) {
      const stopped = this.clock.stop(task);
      if (stopped === undefined) continue;
      this.usage.delete(task);
      this.subject.checkpointed(stopped.placement, now);
      this.waiting += 1;
    }
  }

  private sample(): void {
    this.samples += 1;
    for (const target of this.subject.workers) {
      const sum = this.usageOn(target);
      if (!resources.fits(sum, CAPACITY)) this.overLimit += 1;
      this.used = resources.add(this.used, resources.minimum(sum, CAPACITY));
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
    return this.usage.get(task) ?? resources.NONE;
  }
}

function options(): schedulingSubject.SubjectOptions {
  return {
    seed: SEED,
    workerCount: WORKER_COUNT,
    capacity: CAPACITY,
    teams: [scheduling.teamOf('team')],
  };
}

function rowsAt(variation: number): ReadonlyArray<benchRow.BenchRow> {
  const real = new schedulingSubject.SchedulerSubject(options());
  const plain = new firstFitBaseline.FirstFitBaseline(options(), 1e6);
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
      figure: Number(figures.overLimit.toFixed(5)),
      unit: 'fraction',
      seed: SEED,
      goal: '0',
      baseline: baseline.overLimit.toFixed(5),
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
