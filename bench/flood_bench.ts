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

const FLEET_SLOTS = WORKER_COUNT * SLOTS_PER_WORKER;

/** A worker has capacity for eight tasks of this size. */
const TASK_SIZE = schedulingHarness.buildResources(2_000, 4_096);

const OTHER_TEAMS = ['one', 'two', 'three', 'four'] as const;

const FLOOD_TEAM = 'flood';

/** Load of the four other teams together, as a fraction of the fleet. */
const BASE_LOAD = 0.6;

/** Load of the flood, as a multiple of the fleet. */
const FLOOD_LOAD = 10;

const RUN_TIME_MS = 1_000;

/** Largest number of waiting requests of a team. */
const QUEUE_LIMIT = 1_000;

/** Network delay of every start, in addition to the wait for capacity. */
const NETWORK_DELAY_MS = 4;

/** Time from the request of a checkpoint until the capacity is free. */
const CHECKPOINT_DURATION_MS = 500;

const WARM_UP_MS = 60_000;

const MEASURED_MS = 300_000;

interface Flood {
  readonly name: string;
  readonly urgency: workload.UrgencyLevel;
  readonly runTimeMs: clock.Milliseconds;
}

interface FloodFigures {
  /** Starts of the other teams during the measurement. */
  readonly otherStarts: number;
  readonly p99Ms: number;
  /** Tasks of the flood that ended during the measurement. */
  readonly floodEnds: number;
  readonly longestUrgentWaitMs: number;
}

interface RequestStream {
  readonly team: string;
  readonly definition: workload.Workload;
  readonly meanIntervalMs: clock.Milliseconds;
  /** One per stream, so that a flood does not change other arrivals. */
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

/** Fraction of the other teams' requests that are urgent. */
const URGENT_SHARE = 0.1;

function requestStreams(
  flood: Flood | undefined,
): ReadonlyArray<RequestStream> {
  const teamIntervalMs =
    (RUN_TIME_MS * OTHER_TEAMS.length) / (BASE_LOAD * FLEET_SLOTS);
  const streams = OTHER_TEAMS.flatMap((team, index) => [
    requestStream(
      team,
      BASE_WORKLOAD,
      teamIntervalMs / (1 - URGENT_SHARE),
      2 * index,
    ),
    requestStream(
      team,
      URGENT_WORKLOAD,
      teamIntervalMs / URGENT_SHARE,
      2 * index + 1,
    ),
  ]);
  if (flood === undefined) return streams;
  const {urgency, runTimeMs} = flood;
  const definition = {
    ...BASE_WORKLOAD,
    name: 'flood',
    worth: 0,
    urgency,
    runTimeMs,
  };
  const meanIntervalMs = runTimeMs / (FLOOD_LOAD * FLEET_SLOTS);
  return [
    ...streams,
    requestStream(FLOOD_TEAM, definition, meanIntervalMs, streams.length),
  ];
}

function requestStream(
  team: string,
  definition: workload.Workload,
  meanIntervalMs: clock.Milliseconds,
  index: number,
): RequestStream {
  const random = new randomSource.SeededRandom(SEED + index);
  return {
    team,
    definition,
    meanIntervalMs,
    random,
    nextArrivalMs: 0,
  };
}

function drawExponential(
  random: randomSource.RandomSource,
  mean: number,
): number {
  const uniform = (random.below(1_000_000) + 1) / 1_000_001;
  return -Math.log(uniform) * mean;
}

/** Runs the base load in virtual time, with or without a flood. */
class FloodRun {
  /** Remaining run time of each waiting or running request, by identity. */
  private readonly remainingRunTimesMs = new Map<string, clock.Milliseconds>();
  private readonly requests = new schedulerUnderTest.RequestFactory();
  private readonly runningTasks = new runningTasks.RunningTasks();
  private readonly runningCheckpoints = new runningTasks.RunningTasks();
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
    for (const stream of this.streams) this.scheduleNextArrival(stream, 0);
    let now = 0;
    while (now < WARM_UP_MS + MEASURED_MS) {
      now = this.nextEventMs();
      this.endTasks(now);
      this.admitArrivals(now);
      for (const placement of this.scheduler.place(now)) {
        this.startTask(placement, now);
      }
      for (const task of this.scheduler.takeCheckpoints()) {
        this.checkpointTask(task, now);
      }
    }
    return {
      otherStarts: this.otherStarts,
      p99Ms: this.waitHistogram.getValueAtPercentile(99) / 1_000,
      floodEnds: this.floodEnds,
      longestUrgentWaitMs: this.longestUrgentWaitMs,
    };
  }

  private nextEventMs(): clock.Milliseconds {
    const arrivals = this.streams.map(stream => stream.nextArrivalMs);
    return Math.min(
      this.runningTasks.nextEndMs(),
      this.runningCheckpoints.nextEndMs(),
      ...arrivals,
    );
  }

  private scheduleNextArrival(
    stream: RequestStream,
    now: clock.Milliseconds,
  ): void {
    stream.nextArrivalMs =
      now + drawExponential(stream.random, stream.meanIntervalMs);
  }

  private endTasks(now: clock.Milliseconds): void {
    for (const {placement} of this.runningTasks.takeEnded(now)) {
      this.scheduler.taskEnded(placement, now);
      this.remainingRunTimesMs.delete(placement.request.identity);
      const isFlood = placement.request.team === FLOOD_TEAM;
      if (isFlood && now >= WARM_UP_MS) this.floodEnds += 1;
    }
    for (const {placement} of this.runningCheckpoints.takeEnded(now)) {
      this.scheduler.taskCheckpointed(placement, now);
    }
  }

  private checkpointTask(task: string, now: clock.Milliseconds): void {
    const running = this.runningTasks.remove(task);
    if (running === undefined) return;
    const {identity} = running.placement.request;
    this.remainingRunTimesMs.set(identity, running.endsAtMs - now);
    this.runningCheckpoints.add(running.placement, now, CHECKPOINT_DURATION_MS);
  }

  private admitArrivals(now: clock.Milliseconds): void {
    for (const stream of this.streams) {
      if (stream.nextArrivalMs > now) continue;
      const {team, definition, random} = stream;
      const request = this.requests.create(team, definition, now);
      const runTimeMs = drawExponential(random, definition.runTimeMs);
      if (this.scheduler.admit(request, now)) {
        this.remainingRunTimesMs.set(request.identity, runTimeMs);
      }
      this.scheduleNextArrival(stream, now);
    }
  }

  private startTask(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): void {
    const {request} = placement;
    this.scheduler.taskStarted(placement, now);
    const runTimeMs = this.remainingRunTimesMs.get(request.identity) ?? 0;
    this.runningTasks.add(placement, now, runTimeMs);
    if (now >= WARM_UP_MS) this.recordWait(request, now);
  }

  private recordWait(started: request.Request, now: clock.Milliseconds): void {
    if (started.team === FLOOD_TEAM) return;
    this.otherStarts += 1;
    const waitMs = now - started.arrivedAt + NETWORK_DELAY_MS;
    this.waitHistogram.recordValue(Math.round(waitMs * 1_000));
    if (started.workload.urgency === 'urgent') {
      this.longestUrgentWaitMs = Math.max(this.longestUrgentWaitMs, waitMs);
    }
  }
}

type SchedulerKind = 'scheduler' | 'baseline';

function runFlood(kind: SchedulerKind, flood: Flood | undefined): FloodFigures {
  const teams = [...OTHER_TEAMS, FLOOD_TEAM].map(name =>
    schedulingHarness.buildTeam(name, {queueLimit: QUEUE_LIMIT}),
  );
  const options: schedulerUnderTest.SchedulerUnderTestOptions = {
    seed: SEED,
    workerCount: WORKER_COUNT,
    capacity: schedulingHarness.STANDARD_WORKER_CAPACITY,
    teams,
  };
  const scheduler =
    kind === 'scheduler'
      ? new schedulerUnderTest.ProductionScheduler(options)
      : new firstFitBaseline.FirstFitBaseline(
          options,
          teams.length * QUEUE_LIMIT,
        );
  return new FloodRun(scheduler, requestStreams(flood)).run();
}

/** Returns how many flood tasks a fraction of the fleet can run. */
function floodTaskCapacity(flood: Flood, fraction: number): number {
  return (fraction * FLEET_SLOTS * MEASURED_MS) / flood.runTimeMs;
}

function rowsOf(flood: Flood): ReadonlyArray<benchRow.BenchRow> {
  const schedulerWithoutFlood = runFlood('scheduler', undefined);
  const schedulerWithFlood = runFlood('scheduler', flood);
  const baselineWithoutFlood = runFlood('baseline', undefined);
  const baselineWithFlood = runFlood('baseline', flood);
  const row = (
    metric: string,
    unit: string,
    goal: string,
    figureOf: (withFlood: FloodFigures, withoutFlood: FloodFigures) => number,
  ): benchRow.BenchRow => ({
    name: `${flood.name}: ${metric}`,
    figure: Number(
      figureOf(schedulerWithFlood, schedulerWithoutFlood).toFixed(3),
    ),
    unit,
    seed: SEED,
    goal,
    baseline: figureOf(baselineWithFlood, baselineWithoutFlood).toFixed(3),
  });
  return [
    row(
      'throughput that other teams keep',
      'fraction',
      'at least 0.95',
      (withFlood, withoutFlood) =>
        withFlood.otherStarts / withoutFlood.otherStarts,
    ),
    row(
      'p99 wait of other teams against no flood',
      'times',
      'at most 2',
      (withFlood, withoutFlood) => withFlood.p99Ms / withoutFlood.p99Ms,
    ),
    row('p99 wait of other teams', 'ms', '', withFlood => withFlood.p99Ms),
    row(
      'longest wait of urgent work of other teams',
      'ms',
      'at most 3500',
      withFlood => withFlood.longestUrgentWaitMs,
    ),
    row(
      'goodput of the flood, part of its fair share',
      'fraction',
      'above 0.9',
      withFlood =>
        withFlood.floodEnds /
        floodTaskCapacity(flood, 1 / (OTHER_TEAMS.length + 1)),
    ),
    row(
      'goodput of the flood, part of the room left to it',
      'fraction',
      '',
      withFlood =>
        withFlood.floodEnds / floodTaskCapacity(flood, 1 - BASE_LOAD),
    ),
  ];
}

/** Measures the throughput and waits of other teams during floods. */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  const floods: ReadonlyArray<Flood> = [
    {name: 'deferrable flood', urgency: 'deferrable', runTimeMs: RUN_TIME_MS},
    {name: 'urgent flood', urgency: 'urgent', runTimeMs: RUN_TIME_MS},
    {name: 'flood of long tasks', urgency: 'normal', runTimeMs: 30_000},
  ];
  return floods.flatMap(rowsOf);
}
