import * as hdr from 'hdr-histogram-js';
import * as firstFitBaseline from './first_fit_baseline.js';
import * as randomSource from '../src/machines/random_source.js';
import * as scheduling from '../test/support/scheduling.js';
import * as schedulingSubject from './scheduling_subject.js';
import * as taskClock from './task_clock.js';
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
const TASK_SIZE = scheduling.size(2_000, 4_096);

const TEAMS = ['one', 'two', 'three', 'four'] as const;

const FLOOD_TEAM = 'flood';

/** Load of the four teams together without the flood. */
const USUAL_LOAD = 0.6;

/** Load of the flood alone. */
const FLOOD_LOAD = 10;

const RUN_TIME_MS = 1_000;

/** Requests that a team may have waiting. */
const QUEUE_LIMIT = 1_000;

/** Network time that every start has besides its wait for room. */
const NETWORK_MS = 4;

/** Time that a checkpoint takes to free its room. */
const CHECKPOINT_MS = 500;

const WARM_UP_MS = 60_000;

const MEASURED_MS = 300_000;

interface Flood {
  readonly name: string;
  readonly urgency: workload.Urgency;
  readonly runTimeMs: clock.Milliseconds;
}

interface Figures {
  /** Starts of the other teams in the measured time. */
  readonly starts: number;
  readonly p99Ms: number;
  /** Tasks of the flood that ended in the measured time. */
  readonly floodEnds: number;
  readonly urgentWorstMs: number;
}

interface Source {
  readonly team: string;
  readonly described: workload.Workload;
  readonly meanGapMs: clock.Milliseconds;
  /** Each source has its own, so that a flood changes no other arrival. */
  readonly random: randomSource.RandomSource;
  next: clock.Milliseconds;
}

const USUAL = scheduling.workloadOf({
  name: 'order',
  size: TASK_SIZE,
  runTimeMs: RUN_TIME_MS,
});

const URGENT: workload.Workload = {...USUAL, name: 'alarm', urgency: 'urgent'};

/** Every tenth request of the other teams is urgent. */
const URGENT_SHARE = 0.1;

function sources(flood: Flood | undefined): ReadonlyArray<Source> {
  const perTeam = (RUN_TIME_MS * TEAMS.length) / (USUAL_LOAD * SLOTS);
  const made = TEAMS.flatMap((team, index) => [
    source(team, USUAL, perTeam / (1 - URGENT_SHARE), 2 * index),
    source(team, URGENT, perTeam / URGENT_SHARE, 2 * index + 1),
  ]);
  if (flood === undefined) return made;
  const {urgency, runTimeMs} = flood;
  const described = {...USUAL, name: 'flood', worth: 0, urgency, runTimeMs};
  const meanGapMs = runTimeMs / (FLOOD_LOAD * SLOTS);
  return [...made, source(FLOOD_TEAM, described, meanGapMs, made.length)];
}

function source(
  team: string,
  described: workload.Workload,
  meanGapMs: clock.Milliseconds,
  index: number,
): Source {
  const random = new randomSource.SeededRandom(SEED + index);
  return {team, described, meanGapMs, random, next: 0};
}

function exponential(random: randomSource.RandomSource, mean: number): number {
  const uniform = (random.below(1_000_000) + 1) / 1_000_001;
  return -Math.log(uniform) * mean;
}

/** Runs the usual load, with or without a flood of one kind of work. */
class FloodRun {
  /** Run time that each waiting or running request still needs. */
  private readonly needed = new Map<string, clock.Milliseconds>();
  private readonly requests = new schedulingSubject.RequestSource();
  private readonly tasks = new taskClock.TaskClock();
  private readonly checkpoints = new taskClock.TaskClock();
  private readonly waits = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private starts = 0;
  private floodEnds = 0;
  private urgentWorstMs = 0;

  constructor(
    private readonly subject: schedulingSubject.SchedulingSubject,
    private readonly sources: ReadonlyArray<Source>,
  ) {}

  run(): Figures {
    for (const source of this.sources) this.schedule(source, 0);
    let now = 0;
    while (now < WARM_UP_MS + MEASURED_MS) {
      now = this.nextTime();
      this.endTasks(now);
      this.admitArrivals(now);
      for (const placement of this.subject.place(now)) {
        this.start(placement, now);
      }
      for (const task of this.subject.takeCheckpoints()) {
        this.checkpoint(task, now);
      }
    }
    return {
      starts: this.starts,
      p99Ms: this.waits.getValueAtPercentile(99) / 1_000,
      floodEnds: this.floodEnds,
      urgentWorstMs: this.urgentWorstMs,
    };
  }

  private nextTime(): clock.Milliseconds {
    const arrivals = this.sources.map(source => source.next);
    return Math.min(this.tasks.next(), this.checkpoints.next(), ...arrivals);
  }

  private schedule(source: Source, now: clock.Milliseconds): void {
    source.next = now + exponential(source.random, source.meanGapMs);
  }

  private endTasks(now: clock.Milliseconds): void {
    for (const {placement} of this.tasks.takeEnded(now)) {
      this.subject.ended(placement, now);
      this.needed.delete(placement.request.identity);
      const isFlood = placement.request.team === FLOOD_TEAM;
      if (isFlood && now >= WARM_UP_MS) this.floodEnds += 1;
    }
    for (const {placement} of this.checkpoints.takeEnded(now)) {
      this.subject.checkpointed(placement, now);
    }
  }

  private checkpoint(task: string, now: clock.Milliseconds): void {
    const running = this.tasks.stop(task);
    if (running === undefined) return;
    const {identity} = running.placement.request;
    this.needed.set(identity, running.endsAt - now);
    this.checkpoints.start(running.placement, now, CHECKPOINT_MS);
  }

  private admitArrivals(now: clock.Milliseconds): void {
    for (const source of this.sources) {
      if (source.next > now) continue;
      const {team, described, random} = source;
      const built = this.requests.next(team, described, now);
      const runTimeMs = exponential(random, described.runTimeMs);
      if (this.subject.admit(built, now)) {
        this.needed.set(built.identity, runTimeMs);
      }
      this.schedule(source, now);
    }
  }

  private start(placement: placement.Placement, now: clock.Milliseconds): void {
    const {request} = placement;
    this.subject.started(placement, now);
    const runTimeMs = this.needed.get(request.identity) ?? 0;
    this.tasks.start(placement, now, runTimeMs);
    if (now >= WARM_UP_MS) this.count(request, now);
  }

  private count(started: request.Request, now: clock.Milliseconds): void {
    if (started.team === FLOOD_TEAM) return;
    this.starts += 1;
    const wait = now - started.arrivedAt + NETWORK_MS;
    this.waits.recordValue(Math.round(wait * 1_000));
    if (started.workload.urgency === 'urgent') {
      this.urgentWorstMs = Math.max(this.urgentWorstMs, wait);
    }
  }
}

type SubjectKind = 'scheduler' | 'baseline';

function run(kind: SubjectKind, flood: Flood | undefined): Figures {
  const teams = [...TEAMS, FLOOD_TEAM].map(name =>
    scheduling.teamOf(name, {queueLimit: QUEUE_LIMIT}),
  );
  const options: schedulingSubject.SubjectOptions = {
    seed: SEED,
    workerCount: WORKER_COUNT,
    capacity: scheduling.AUTHORITY_WORKER,
    teams,
  };
  const subject =
    kind === 'scheduler'
      ? new schedulingSubject.SchedulerSubject(options)
      : new firstFitBaseline.FirstFitBaseline(
          options,
          teams.length * QUEUE_LIMIT,
        );
  return new FloodRun(subject, sources(flood)).run();
}

/** Tasks of the flood that some part of the fleet's slots allows. */
function floodTasks(flood: Flood, part: number): number {
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
    figureOf: (flooded: Figures, usual: Figures) => number,
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
      (flooded, usual) => flooded.starts / usual.starts,
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
      flooded => flooded.urgentWorstMs,
    ),
    row(
      'goodput of the flood, part of its fair share',
      'fraction',
      'above 0.9',
      flooded => flooded.floodEnds / floodTasks(flood, 1 / (TEAMS.length + 1)),
    ),
    row(
      'goodput of the flood, part of the room left to it',
      'fraction',
      '',
      flooded => flooded.floodEnds / floodTasks(flood, 1 - USUAL_LOAD),
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
