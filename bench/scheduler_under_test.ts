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
  private readonly harness: schedulingHarness.SchedulingHarness;

  constructor(options: SchedulerUnderTestOptions) {
    this.harness = new schedulingHarness.SchedulingHarness(options.seed);
    for (const added of options.teams) this.harness.addTeam(added);
    this.harness.setFleetDefinition({
      zones: [],
      workerShapes: [{capacity: options.capacity, zones: ['kigali-a']}],
    });
    this.workers = this.harness.addWorkers(
      options.workerCount,
      options.capacity,
    );
  }

  admit(admitted: request.Request, now: clock.Milliseconds): boolean {
    return this.harness.scheduler.admit(admitted, now).isRight();
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    return this.harness.scheduler.place(now);
  }

  takeCheckpoints(): ReadonlyArray<string> {
    return this.harness.scheduler
      .takeInterventions()
      .filter(item => item.kind !== 'throttle')
      .map(item => item.task);
  }

  taskStarted(placement: placement.Placement, now: clock.Milliseconds): void {
    this.harness.start(placement, now);
  }

  taskEnded(placement: placement.Placement, now: clock.Milliseconds): void {
    this.harness.end(placement, false, now);
  }

  taskCheckpointed(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): void {
    this.harness.checkpoint(placement, now);
    this.harness.scheduler.requeue(placement.request);
  }

  reportUsage(
    worker: worker.Worker,
    usageOf: (task: string) => resources.Resources,
    now: clock.Milliseconds,
  ): void {
    const tasks = [...worker.reservations().values()].map(reservation => ({
      task: reservation.task,
      label: reservation.label,
      state: 'running' as const,
      size: reservation.size,
      usage: usageOf(reservation.task),
      leaseEnd: Infinity,
    }));
    const {capacity, rack} = worker;
    const reportHeader = {
      worker: worker.name,
      workerClock: now,
      capacity,
      rack,
    };
    this.harness.scheduler.observeReport(
      {...reportHeader, leaving: false, tasks},
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
