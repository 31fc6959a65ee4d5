import * as schedulingHarness from '../test/support/scheduling_harness.js';
import type * as clock from '../src/machines/clock.js';
import type * as request from '../src/contracts/request.js';
import type * as resources from '../src/machines/resources.js';
import type * as placement from '../src/contracts/placement.js';
import type * as team from '../src/contracts/team.js';
import type * as worker from '../src/machines/worker.js';
import type * as workload from '../src/contracts/workload.js';

/** What a benchmark drives: the scheduler or the plain baseline. */
export interface SchedulerUnderTest {
  readonly workers: ReadonlyArray<worker.Worker>;
  /** Returns false when the request is refused. */
  admit(admitted: request.Request, now: clock.Milliseconds): boolean;
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement>;
  /** Tasks that the last calls of `place` want checkpointed. */
  takeCheckpoints(): ReadonlyArray<string>;
  started(placement: placement.Placement, now: clock.Milliseconds): void;
  ended(placement: placement.Placement, now: clock.Milliseconds): void;
  /** Takes back the request of a task that was checkpointed. */
  checkpointed(placement: placement.Placement, now: clock.Milliseconds): void;
  /** Passes on what the tasks of one worker use. */
  report(
    of: worker.Worker,
    usageOf: (task: string) => resources.Resources,
    now: clock.Milliseconds,
  ): void;
}

/** The world in which a subject decides. */
export interface SchedulerUnderTestOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly capacity: resources.Resources;
  readonly teams: ReadonlyArray<team.Team>;
}

/** The real scheduler. */
export class ProductionScheduler implements SchedulerUnderTest {
  readonly workers: ReadonlyArray<worker.Worker>;
  private readonly world: schedulingHarness.SchedulingHarness;

  constructor(options: SchedulerUnderTestOptions) {
    this.world = new schedulingHarness.SchedulingHarness(options.seed);
    for (const described of options.teams) this.world.addTeam(described);
    this.world.setPlan({
      zones: [],
      workerShapes: [{capacity: options.capacity, zones: ['kigali-a']}],
    });
    this.workers = this.world.addWorkers(options.workerCount, options.capacity);
  }

  admit(admitted: request.Request, now: clock.Milliseconds): boolean {
    return this.world.scheduler.admit(admitted, now).isRight();
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    return this.world.scheduler.place(now);
  }

  takeCheckpoints(): ReadonlyArray<string> {
    return this.world.scheduler
      .takeInterventions()
      .filter(item => item.kind !== 'throttle')
      .map(item => item.task);
  }

  started(placement: placement.Placement, now: clock.Milliseconds): void {
    this.world.start(placement, now);
  }

  ended(placement: placement.Placement, now: clock.Milliseconds): void {
    this.world.end(placement, false, now);
  }

  checkpointed(placement: placement.Placement, now: clock.Milliseconds): void {
    this.world.checkpoint(placement, now);
    this.world.scheduler.requeue(placement.request);
  }

  report(
    of: worker.Worker,
    usageOf: (task: string) => resources.Resources,
    now: clock.Milliseconds,
  ): void {
    const tasks = [...of.reservations().values()].map(held => ({
      task: held.task,
      label: held.label,
      state: 'running' as const,
      size: held.size,
      usage: usageOf(held.task),
      leaseEnd: Infinity,
    }));
    const {capacity, rack} = of;
    const known = {worker: of.name, workerClock: now, capacity, rack};
    this.world.scheduler.observeReport({...known, leaving: false, tasks}, now);
  }
}

/** Builds numbered requests. */
export class RequestFactory {
  private lastNumber = 0;

  /** Returns a request of a team that arrives now. */
  next(
    teamName: string,
    described: workload.Workload,
    now: clock.Milliseconds,
  ): request.Request {
    this.lastNumber += 1;
    return {
      identity: `${teamName}_${this.lastNumber}`,
      client: teamName,
      team: teamName,
      workload: described,
      payload: '',
      size: described.size,
      taskCount: described.taskCount,
      arrivedAt: now,
      startBy: Infinity,
    };
  }
}
