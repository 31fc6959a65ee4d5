import * as hdr from 'hdr-histogram-js';
import * as firstFitBaseline from './first_fit_baseline.js';
import * as randomSource from '../src/machines/random_source.js';
import * as schedulingHarness from '../test/support/scheduling_harness.js';
import * as schedulerUnderTest from './scheduler_under_test.js';
import * as runningTasks from './running_tasks.js';
import type * as benchRow from './bench_row.js';
import type * as clock from '../src/machines/clock.js';
import type * as request from '../src/contracts/request.js';
import type * as placement from '../src/contracts/placement.js';
import type * as workload from '../src/contracts/workload.js';

const SEED = 303;

const WORKER_COUNT = 30;

const SLOTS_PER_WORKER = 8;

const SLOTS = WORKER_COUNT * SLOTS_PER_WORKER;

/** Eight tasks of this size fill a worker. */
const TASK_SIZE = schedulingHarness.buildResources(2_000, 4_096);

const TEAMS = ['one', 'two', 'three', 'four'] as const;

const FLOOD_TEAM = 'flood';

/** Load of the four teams together without the flood. */
const BASE_LOAD = 0.6;

/** Load of the flood alone. */
const FLOOD_LOAD = 10;

const RUN_TIME_MS = 1_000;

/** Requests that a team may have waiting. */
const QUEUE_LIMIT = 1_000;

/** Network time that every start has besides its wait for room. */
const NETWORK_DELAY_MS = 4;

/** Time that a checkpoint takes to free its room. */
const CHECKPOINT_DURATION_MS = 500;

const WARM_UP_MS = 60_000;

const MEASURED_MS = 300_000;

interface Flood {
  readonly name: string;
  readonly urgency: workload.UrgencyLevel;
  readonly runTimeMs: clock.Milliseconds;
}

interface FloodFigures {
  /** Starts of the other teams in the measured time. */
  readonly otherStarts: number;
  readonly p99Ms: number;
  /** Tasks of the flood that ended in the measured time. */
  readonly floodEnds: number;
  readonly longestUrgentWaitMs: number;
}

interface RequestStream {
  readonly team: string;
  readonly described: workload.Workload;
  readonly meanGapMs: clock.Milliseconds;
  /** Each source has its own, so that a flood changes no other arrival. */
  readonly random: randomSource.RandomSource;
  nextArrivalMs: clock.Milliseconds;
}

const BASE_WORKLOAD = schedulingHarness.buildWorkload({
  name: 'order',
  size: TASK_SIZE,
  runTimeMs: RUN_TIME_MS,
});

const URGENT_WORKLOAD: workload.Workload = {
  ...BASE_WORKLOAD,
  name: 'alarm',
  urgency: 'urgent',
};

/** Every tenth request of the other teams is urgent. */
const URGENT_SHARE = 0.1;

function requestStreams(
  flood: Flood | undefined,
): ReadonlyArray<RequestStream> {
  const perTeam = (RUN_TIME_MS * TEAMS.length) / (BASE_LOAD * SLOTS);
  const made = TEAMS.flatMap((team, index) => [
    requestStream(team, BASE_WORKLOAD, perTeam / (1 - URGENT_SHARE), 2 * index),
    requestStream(team, URGENT_WORKLOAD, perTeam / URGENT_SHARE, 2 * index + 1),
  ]);
  if (flood === undefined) return made;
  const {urgency, runTimeMs} = flood;
  const described = {
    ...BASE_WORKLOAD,
    name: 'flood',
    worth: 0,
    urgency,
    runTimeMs,
  };
  const meanGapMs = runTimeMs / (FLOOD_LOAD * SLOTS);
  return [
    ...made,
    requestStream(FLOOD_TEAM, described, meanGapMs, made.length),
  ];
}

function requestStream(
  team: string,
  described: workload.Workload,
  meanGapMs: clock.Milliseconds,
  index: number,
): RequestStream {
  const random = new randomSource.SeededRandom(SEED + index);
  return {team, described, meanGapMs, random, nextArrivalMs: 0};
}

function exponential(random: randomSource.RandomSource, mean: number): number {
  const uniform = (random.below(1_000_000) + 1) / 1_000_001;
  return -Math.log(uniform) * mean;
}

/** Runs the usual load, with or without a flood of one kind of work. */
class FloodRun {
  /** Run time that each waiting or running request still needs. */
  private readonly remainingRunTimesMs = new Map<string, clock.Milliseconds>();
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly tasks = new runningTasks.RunningTasks();
  private readonly checkpoints = new runningTasks.RunningTasks();
  private readonly waitHistogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private otherStarts = 0;
  private floodEnds = 0;
  private longestUrgentWaitMs = 0;

  constructor(
    private readonly scheduler: schedulerUnderTest.SchedulerUnderTest,
    private readonly streams: ReadonlyArray<RequestStream>,
  ) {}

  run(): FloodFigures {
    for (const source of this.streams) this.scheduleNextArrival(source, 0);
    let now = 0;
    while (now < WARM_UP_MS + MEASURED_MS) {
      now = this.nextTime();
      this.endTasks(now);
      this.admitArrivals(now);
      for (const placement of this.scheduler.place(now)) {
        this.start(placement, now);
      }
      for (const task of this.scheduler.takeCheckpoints()) {
        this.checkpoint(task, now);
      }
    }
    return {
      otherStarts: this.otherStarts,
      p99Ms: this.waitHistogram.getValueAtPercentile(99) / 1_000,
      floodEnds: this.floodEnds,
      longestUrgentWaitMs: this.longestUrgentWaitMs,
    };
  }

  private nextTime(): clock.Milliseconds {
    const arrivals = this.streams.map(source => source.nextArrivalMs);
    return Math.min(
      this.tasks.nextEndMs(),
      this.checkpoints.nextEndMs(),
      ...arrivals,
    );
  }

  private scheduleNextArrival(
    source: RequestStream,
    now: clock.Milliseconds,
  ): void {
    source.nextArrivalMs = now + exponential(source.random, source.meanGapMs);
  }

  private endTasks(now: clock.Milliseconds): void {
    for (const {placement} of this.tasks.takeEnded(now)) {
      this.scheduler.ended(placement, now);
      this.remainingRunTimesMs.delete(placement.request.identity);
      const isFlood = placement.request.team === FLOOD_TEAM;
      if (isFlood && now >= WARM_UP_MS) this.floodEnds += 1;
    }
    for (const {placement} of this.checkpoints.takeEnded(now)) {
      this.scheduler.checkpointed(placement, now);
    }
  }

  private checkpoint(task: string, now: clock.Milliseconds): void {
    const running = this.tasks.stop(task);
    if (running === undefined) return;
    const {identity} = running.placement.request;
    this.remainingRunTimesMs.set(identity, running.endsAtMs - now);
    this.checkpoints.start(running.placement, now, CHECKPOINT_DURATION_MS);
  }

  private admitArrivals(now: clock.Milliseconds): void {
    for (const source of this.streams) {
      if (source.nextArrivalMs > now) continue;
      const {team, described, random} = source;
      const built = this.requests.next(team, described, now);
      const runTimeMs = exponential(random, described.runTimeMs);
      if (this.scheduler.admit(built, now)) {
        this.remainingRunTimesMs.set(built.identity, runTimeMs);
      }
      this.scheduleNextArrival(source, now);
    }
  }

  private start(placement: placement.Placement, now: clock.Milliseconds): void {
    const {request} = placement;
    this.scheduler.started(placement, now);
    const runTimeMs = this.remainingRunTimesMs.get(request.identity) ?? 0;
    this.tasks.start(placement, now, runTimeMs);
    if (now >= WARM_UP_MS) this.recordWait(request, now);
  }

  private recordWait(started: request.Request, now: clock.Milliseconds): void {
    if (started.team === FLOOD_TEAM) return;
    this.otherStarts += 1;
    const wait = now - started.arrivedAt + NETWORK_DELAY_MS;
    this.waitHistogram.recordValue(Math.round(wait * 1_000));
    if (started.workload.urgency === 'urgent') {
      this.longestUrgentWaitMs = Math.max(this.longestUrgentWaitMs, wait);
    }
  }
}

type SchedulerKind = 'scheduler' | 'baseline';

function run(kind: SchedulerKind, flood: Flood | undefined): FloodFigures {
  const teams = [...TEAMS, FLOOD_TEAM].map(name =>
    schedulingHarness.buildTeam(name, {queueLimit: QUEUE_LIMIT}),
  );
  const options: schedulerUnderTest.SchedulerUnderTestOptions = {
    seed: SEED,
    workerCount: WORKER_COUNT,
    capacity: schedulingHarness.STANDARD_WORKER_CAPACITY,
    teams,
  };
  const subject =
    kind === 'scheduler'
      ? new schedulerUnderTest.ProductionScheduler(options)
      : new firstFitBaseline.FirstFitBaseline(
          options,
          teams.length * QUEUE_LIMIT,
        );
  return new FloodRun(subject, requestStreams(flood)).run();
}

/** Tasks of the flood that some part of the fleet's slots allows. */
function floodTaskCapacity(flood: Flood, part: number): number {
  return (part * SLOTS * MEASURED_MS) / flood.runTimeMs;
}

function rowsOf(flood: Flood): ReadonlyArray<benchRow.BenchRow> {
  const calm = run('scheduler', undefined);
  const real = run('scheduler', flood);
  const plainCalm = run('baseline', undefined);
  const plain = run('baseline', flood);
  const row = (
    what: string,
    unit: string,
    goal: string,
    figureOf: (flooded: FloodFigures, usual: FloodFigures) => number,
  ): benchRow.BenchRow => ({
    name: `${flood.name}: ${what}`,
    figure: Number(figureOf(real, calm).toFixed(3)),
    unit,
    seed: SEED,
    goal,
    baseline: figureOf(plain, plainCalm).toFixed(3),
  });
  return [
    row(
      'throughput that other teams keep',
      'fraction',
      'at least 0.95',
      (flooded, usual) => flooded.otherStarts / usual.otherStarts,
    ),
    row(
      'p99 wait of other teams against no flood',
      'times',
      'at most 2',
      (flooded, usual) => flooded.p99Ms / usual.p99Ms,
    ),
    row('p99 wait of other teams', 'ms', '', flooded => flooded.p99Ms),
    row(
      'longest wait of urgent work of other teams',
      'ms',
      'at most 3500',
      flooded => flooded.longestUrgentWaitMs,
    ),
    row(
      'goodput of the flood, part of its fair share',
      'fraction',
      'above 0.9',
      flooded =>
        flooded.floodEnds / floodTaskCapacity(flood, 1 / (TEAMS.length + 1)),
    ),
    row(
      'goodput of the flood, part of the room left to it',
      'fraction',
      '',
      flooded => flooded.floodEnds / floodTaskCapacity(flood, 1 - BASE_LOAD),
    ),
  ];
}

/** What other teams keep while one team floods the fleet. */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  const floods: ReadonlyArray<Flood> = [
    {name: 'deferrable flood', urgency: 'deferrable', runTimeMs: RUN_TIME_MS},
    {name: 'urgent flood', urgency: 'urgent', runTimeMs: RUN_TIME_MS},
    {name: 'flood of long tasks', urgency: 'normal', runTimeMs: 30_000},
  ];
  return floods.flatMap(rowsOf);
}
