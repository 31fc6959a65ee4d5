import * as fleet from '../../src/machines/fleet.js';
import * as placementPolicy from '../../src/contracts/placement_policy.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as scheduler from '../../src/contracts/scheduler.js';
import type * as placement from '../../src/contracts/placement.js';
import type * as clock from '../../src/machines/clock.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as request from '../../src/contracts/request.js';
import type * as resources from '../../src/machines/resources.js';
import type * as team from '../../src/contracts/team.js';
import type * as trackedTask from '../../src/machines/tracked_task.js';
import type * as worker from '../../src/machines/worker.js';
import type * as workload from '../../src/contracts/workload.js';

/** Builds a quantity; one slot unless stated. */
export function size(
  processors: number,
  memory: number,
  accelerators = 0,
  slots = 1,
): resources.Resources {
  return {processors, memory, accelerators, slots};
}

/** A worker of the Authority: 16 cores, 32 GB, 8 slots. */
export const AUTHORITY_WORKER = size(16_000, 32_768, 0, 8);

/** Builds a workload that differs from a plain batch one in `changes`. */
export function workloadOf(
  changes: Partial<workload.Workload> = {},
): workload.Workload {
  return {
    name: 'inspection',
    kind: 'batch',
    urgency: 'normal',
    worth: 1,
    idempotent: true,
    size: size(1_000, 1_024),
    runTimeMs: 1_000,
    taskCount: 1,
    startDeadlineMs: 0,
    zones: [],
    maximumPerRack: 0,
    ...changes,
  };
}

/** Builds a team whose quota is far above what tests use. */
export function teamOf(
  name: string,
  changes: Partial<team.Team> = {},
): team.Team {
  return {
    name,
    clients: [],
    quota: size(1e9, 1e9, 1e6, 1e6),
    share: 1,
    queueLimit: 1e6,
    workloads: [],
    ...changes,
  };
}

/** A scheduler with its fleet and configuration, driven by hand. */
export class SchedulingWorld {
  readonly workers: fleet.Fleet;
  readonly scheduler: scheduler.Scheduler;
  private readonly teams = new Map<string, team.Team>();
  private plan: configuration.FleetDefinition | undefined;
  private forbidden = new Set<string>();
  private sequence = 0;

  constructor(seed = 1) {
    this.workers = new fleet.Fleet(new randomSource.SeededRandom(seed));
    this.scheduler = new scheduler.Scheduler(
      this.workers,
      {mayPlace: name => !this.forbidden.has(name)},
      {current: () => this.configuration()},
    );
  }

  /** Puts a team in force. */
  addTeam(added: team.Team): void {
    this.teams.set(added.name, added);
  }

  /** Puts the plan of the fleet in force. */
  setPlan(plan: configuration.FleetDefinition): void {
    this.plan = plan;
  }

  /** Takes the permit for a worker away. */
  forbid(name: string): void {
    this.forbidden.add(name);
  }

  /** Adds workers of one capacity, eight to a rack. */
  addWorkers(
    count: number,
    capacity: resources.Resources = AUTHORITY_WORKER,
    zone = 'kigali-a',
  ): ReadonlyArray<worker.Worker> {
    const added: worker.Worker[] = [];
    for (let index = 0; index < count; index += 1) {
      const name = `${zone}-worker-${this.workers.all().length}`;
      const rack = `${zone}-rack-${Math.floor(index / 8)}`;
      const created = this.workers.ensure({name, zone, address: name});
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

  /** Builds a request of a team. */
  request(
    teamName: string,
    described: workload.Workload,
    arrivedAt: clock.Milliseconds,
    changes: Partial<request.Request> = {},
  ): request.Request {
    this.sequence += 1;
    return {
      identity: `${teamName}_${this.sequence}`,
      client: 'workshop-1',
      team: teamName,
      workload: described,
      payload: '',
      size: described.size,
      taskCount: described.taskCount,
      arrivedAt,
      startBy: Infinity,
      ...changes,
    };
  }

  /** Admits a number of equal requests; returns those that were admitted. */
  admit(
    teamName: string,
    described: workload.Workload,
    count: number,
    now: clock.Milliseconds,
  ): ReadonlyArray<request.Request> {
    const admitted: request.Request[] = [];
    for (let index = 0; index < count; index += 1) {
      const built = this.request(teamName, described, now);
      this.scheduler.admit(built, now).ifRight(() => admitted.push(built));
    }
    return admitted;
  }

  /** Notes that a start was acknowledged. */
  start(started: placement.Placement, now: clock.Milliseconds): void {
    this.scheduler.observe(
      {kind: 'started', reference: referenceOf(started)},
      now,
    );
  }

  /** Ends a task as its worker would. */
  end(
    ended: placement.Placement,
    failed: boolean,
    now: clock.Milliseconds,
  ): void {
    this.finish(ended, failed ? 'failed' : 'finished', now);
  }

  /** Ends a task because it was asked to make a checkpoint. */
  checkpoint(ended: placement.Placement, now: clock.Milliseconds): void {
    this.finish(ended, 'checkpointed', now);
  }

  private finish(
    ended: placement.Placement,
    end: trackedTask.TaskEndState,
    now: clock.Milliseconds,
  ): void {
    this.start(ended, now);
    ended.worker.release(ended.task);
    const reference = referenceOf(ended);
    this.scheduler.observe({kind: 'ended', reference, end, answer: ''}, now);
  }

  private configuration(): configuration.Configuration {
    return {fleet: this.plan, teams: this.teams, versions: new Map()};
  }
}

function referenceOf(
  placement: placement.Placement,
): trackedTask.TaskReference {
  const {task, worker: target} = placement;
  const label = placementPolicy.labelOf(placement.request);
  return {task, label, worker: target.name};
}
