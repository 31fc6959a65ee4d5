import * as schedulingHarness from '../test/support/scheduling_harness.js';
import type * as clock from '../src/machines/clock.js';
import type * as request from '../src/contracts/request.js';
import type * as resources from '../src/machines/resources.js';
import type * as placement from '../src/contracts/placement.js';
import type * as team from '../src/contracts/team.js';
import type * as worker from '../src/machines/worker.js';
import type * as workload from '../src/contracts/workload.js';

/** Scheduler that a benchmark drives: the real one or the baseline. */
export interface SchedulerUnderTest {
  readonly workers: ReadonlyArray<worker.Worker>;
  /** Returns false if the request is refused. */
  admit(admitted: request.Request, now: clock.Milliseconds): boolean;
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement>;
  /** Returns and clears the tasks that `place` has asked to checkpoint. */
  takeCheckpoints(): ReadonlyArray<string>;
  taskStarted(placement: placement.Placement, now: clock.Milliseconds): void;
  taskEnded(placement: placement.Placement, now: clock.Milliseconds): void;
  /** Releases a checkpointed task and queues its request again. */
  taskCheckpointed(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): void;
  /** Reports the usage of the tasks on one worker. */
  reportUsage(
    worker: worker.Worker,
    usageOf: (task: string) => resources.Resources,
    now: clock.Milliseconds,
  ): void;
}

/** Fleet, teams and seed of a benchmarked scheduler. */
export interface SchedulerUnderTestOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly capacity: resources.Resources;
  readonly teams: ReadonlyArray<team.Team>;
}

/** The real scheduler on a simulated fleet. */
export class ProductionScheduler implements SchedulerUnderTest {
  readonly workers: ReadonlyArray<worker.Worker>;
  private readonly simulation: schedulingHarness.SchedulingHarness;

  constructor(options: SchedulerUnderTestOptions) {
    this.simulation = new schedulingHarness.SchedulingHarness(options.seed);
    for (const described of options.teams) this.simulation.addTeam(described);
    this.simulation.setFleetDefinition({
      zones: [],
      workerShapes: [{capacity: options.capacity, zones: ['kigali-a']}],
    });
    this.workers = this.simulation.addWorkers(
      options.workerCount,
      options.capacity,
    );
  }

  admit(admitted: request.Request, now: clock.Milliseconds): boolean {
    return this.simulation.scheduler.admit(admitted, now).isRight();
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    return this.simulation.scheduler.place(now);
  }

  takeCheckpoints(): ReadonlyArray<string> {
    return this.simulation.scheduler
      .takeInterventions()
      .filter(item => item.kind !== 'throttle')
      .map(item => item.task);
  }

  taskStarted(placement: placement.Placement, now: clock.Milliseconds): void {
    this.simulation.start(placement, now);
  }

  taskEnded(placement: placement.Placement, now: clock.Milliseconds): void {
    this.simulation.end(placement, false, now);
  }

  taskCheckpointed(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): void {
    this.simulation.checkpoint(placement, now);
    this.simulation.scheduler.requeue(placement.request);
  }

  reportUsage(
    worker: worker.Worker,
    usageOf: (task: string) => resources.Resources,
    now: clock.Milliseconds,
  ): void {
    const tasks = [...worker.reservations().values()].map(held => ({
      task: held.task,
      label: held.label,
      state: 'running' as const,
      size: held.size,
      usage: usageOf(held.task),
      leaseEnd: Infinity,
    }));
    const {capacity, rack} = worker;
    const known = {worker: worker.name, workerClock: now, capacity, rack};
    this.simulation.scheduler.observeReport(
      {...known, leaving: false, tasks},
      now,
    );
  }
}

/** Creates requests with numbered identities. */
export class RequestFactory {
  private lastNumber = 0;

  /** Returns a request of a team that arrives at `now`. */
  create(
    teamName: string,
    definition: workload.Workload,
    now: clock.Milliseconds,
  ): request.Request {
    this.lastNumber += 1;
    return {
      identity: `${teamName}_${this.lastNumber}`,
      client: teamName,
      team: teamName,
      workload: definition,
      payload: '',
      size: definition.size,
      taskCount: definition.taskCount,
      arrivedAt: now,
      startBy: Infinity,
    };
  }
}
