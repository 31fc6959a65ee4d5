import * as fleet from '../../src/machines/fleet.js';
import * as placementPolicy from '../../src/contracts/placement_policy.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as requestScheduler from '../../src/contracts/request_scheduler.js';
import type * as placement from '../../src/contracts/placement.js';
import type * as clock from '../../src/machines/clock.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as request from '../../src/contracts/request.js';
import type * as resources from '../../src/machines/resources.js';
import type * as team from '../../src/contracts/team.js';
import type * as trackedTask from '../../src/machines/tracked_task.js';
import type * as worker from '../../src/machines/worker.js';
import type * as workload from '../../src/contracts/workload.js';

/** Builds a quantity of resources with one slot by default. */
export function buildResources(
  processors: number,
  memory: number,
  accelerators = 0,
  slots = 1,
): resources.Resources {
  return {processors, memory, accelerators, slots};
}

/** Capacity of the workers by default: 16 cores, 32 GB, 8 slots. */
export const STANDARD_WORKER_CAPACITY = buildResources(16_000, 32_768, 0, 8);

/** Builds an idempotent batch workload with `changes` applied. */
export function buildWorkload(
  changes: Partial<workload.Workload> = {},
): workload.Workload {
  return {
    name: 'inspection',
    kind: 'batch',
    urgency: 'normal',
    worth: 1,
    idempotent: true,
    size: buildResources(1_000, 1_024),
    runTimeMs: 1_000,
    taskCount: 1,
    startDeadlineMs: 0,
    zones: [],
    maximumPerRack: 0,
    ...changes,
  };
}

/** Builds a team whose quota and queue limit exceed what tests need. */
export function buildTeam(
  name: string,
  changes: Partial<team.Team> = {},
): team.Team {
  return {
    name,
    clients: [],
    quota: buildResources(1e9, 1e9, 1e6, 1e6),
    share: 1,
    queueLimit: 1e6,
    workloads: [],
    ...changes,
  };
}

/** Scheduler with its fleet and configuration, under control of a test. */
export class SchedulingHarness {
  readonly fleet: fleet.Fleet;
  readonly scheduler: requestScheduler.RequestScheduler;
  private readonly teams = new Map<string, team.Team>();
  private fleetDefinition: configuration.FleetDefinition | undefined;
  private forbiddenWorkers = new Set<string>();
  private sequence = 0;

  constructor(seed = 1) {
    this.fleet = new fleet.Fleet(new randomSource.SeededRandom(seed));
    this.scheduler = new requestScheduler.RequestScheduler(
      this.fleet,
      {mayPlace: name => !this.forbiddenWorkers.has(name)},
      {current: () => this.configuration()},
    );
  }

  /** Adds a team to the configuration. */
  addTeam(added: team.Team): void {
    this.teams.set(added.name, added);
  }

  /** Sets the fleet definition of the configuration. */
  setFleetDefinition(definition: configuration.FleetDefinition): void {
    this.fleetDefinition = definition;
  }

  /** Revokes the permit to place on a worker. */
  denyPlacement(name: string): void {
    this.forbiddenWorkers.add(name);
  }

  /** Adds workers of the same capacity, eight in each rack. */
  addWorkers(
    count: number,
    capacity: resources.Resources = STANDARD_WORKER_CAPACITY,
    zone = 'kigali-a',
  ): ReadonlyArray<worker.Worker> {
    const added: worker.Worker[] = [];
    for (let index = 0; index < count; index += 1) {
      const name = `${zone}-worker-${this.fleet.all().length}`;
      const rack = `${zone}-rack-${Math.floor(index / 8)}`;
      const created = this.fleet.ensure({name, zone, address: name});
      created.update(
        {
          worker: name,
          workerClock: 0,
          capacity,
          rack,
          leaving: false,
          tasks: [],
        },
        0,
      );
      added.push(created);
    }
    return added;
  }

  /** Builds a request of a team with a new identity. */
  buildRequest(
    teamName: string,
    definition: workload.Workload,
    arrivedAt: clock.Milliseconds,
    changes: Partial<request.Request> = {},
  ): request.Request {
    this.sequence += 1;
    return {
      identity: `${teamName}_${this.sequence}`,
      client: 'workshop-1',
      team: teamName,
      workload: definition,
      payload: '',
      size: definition.size,
      taskCount: definition.taskCount,
      arrivedAt,
      startBy: Infinity,
      ...changes,
    };
  }

  /** Submits `count` equal requests; returns those that were admitted. */
  admit(
    teamName: string,
    definition: workload.Workload,
    count: number,
    now: clock.Milliseconds,
  ): ReadonlyArray<request.Request> {
    const admitted: request.Request[] = [];
    for (let index = 0; index < count; index += 1) {
      const built = this.buildRequest(teamName, definition, now);
      this.scheduler.admit(built, now).ifRight(() => admitted.push(built));
    }
    return admitted;
  }

  /** Reports an acknowledged start to the scheduler. */
  start(placed: placement.Placement, now: clock.Milliseconds): void {
    this.scheduler.observeOutcome(
      {kind: 'started', reference: referenceOf(placed)},
      now,
    );
  }

  /** Reports a finished or failed task and releases its reservation. */
  end(
    placed: placement.Placement,
    failed: boolean,
    now: clock.Milliseconds,
  ): void {
    this.finish(placed, failed ? 'failed' : 'finished', now);
  }

  /** Reports a checkpointed task and releases its reservation. */
  checkpoint(placed: placement.Placement, now: clock.Milliseconds): void {
    this.finish(placed, 'checkpointed', now);
  }

  private finish(
    placed: placement.Placement,
    end: trackedTask.TaskEndState,
    now: clock.Milliseconds,
  ): void {
    this.start(placed, now);
    placed.worker.release(placed.task);
    const reference = referenceOf(placed);
    this.scheduler.observeOutcome(
      {kind: 'ended', reference, end, answer: ''},
      now,
    );
  }

  private configuration(): configuration.Configuration {
    return {
      fleet: this.fleetDefinition,
      teams: this.teams,
      versions: new Map(),
    };
  }
}

function referenceOf(
  placement: placement.Placement,
): trackedTask.TaskReference {
  const {task, worker: target} = placement;
  const label = placementPolicy.buildTaskLabel(placement.request);
  return {task, label, worker: target.name};
}
