import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as fleet from './fleet.js';
import type * as requestTable from '../contracts/request_table.js';
import type * as scheduler from '../contracts/scheduler.js';
import type * as task from '../contracts/task.js';
import type * as worker from './worker.js';

/** Time between reads of a worker's report. */
const REPORT_INTERVAL_MS = 1_000;

/** Until when this process may place on a worker. */
export interface PermitSource {
  permitEnd(worker: string): clock.Milliseconds;
  owns(worker: string): boolean;
}

/** What became of a task; the caller of the runner acts on it. */
export type TaskOutcome =
  | {readonly kind: 'started'; readonly placement: scheduler.Placement}
  | {
      /** Proved not to run now or later. */
      readonly kind: 'notRun';
      readonly placement: scheduler.Placement;
      readonly detail: string;
    }
  | {
      readonly kind: 'ended';
      readonly placement: scheduler.Placement;
      readonly ending: requestTable.Ending;
    };

/** The outcomes and effects of one event. */
export interface RunnerTurn {
  readonly outcomes: ReadonlyArray<TaskOutcome>;
  readonly effects: ReadonlyArray<effect.Effect>;
}

type RunState = 'starting' | 'unknown' | 'running';

interface RunningTask {
  readonly placement: scheduler.Placement;
  readonly state: RunState;
  /** Lease end of the start, on the worker's clock. */
  readonly startLeaseEnd: clock.Milliseconds;
}

const NOTHING: RunnerTurn = {outcomes: [], effects: []};

/** Starts placed tasks, keeps their leases, and finds out how they end. */
export class TaskRunner {
  private readonly tasks = new Map<string, RunningTask>();
  private readonly nextReport = new Map<string, clock.Milliseconds>();
  private readonly nextRenewal = new Map<string, clock.Milliseconds>();

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permits: PermitSource,
  ) {}

  /** Sends the start of a task whose room is reserved. */
  start(placement: scheduler.Placement, now: clock.Milliseconds): RunnerTurn {
    const {worker: target, request} = placement;
    const permitEnd = this.permits.permitEnd(target.name);
    const reading = target.clockReading;
    if (reading === undefined || permitEnd <= now) {
      target.release(placement.task);
      return notRun(placement, 'the permit has ended');
    }
    const leaseEnd = lease.startLeaseEnd(reading, permitEnd, now);
    this.tasks.set(placement.task, {
      placement,
      state: 'starting',
      startLeaseEnd: leaseEnd,
    });
    const start: task.TaskStart = {
      task: placement.task,
      label: {
        identity: request.identity,
        client: request.client,
        team: request.team,
        workload: request.workload.name,
        idempotent: request.workload.idempotent,
        worth: request.workload.worth,
      },
      size: placement.size,
      payload: request.payload,
      leaseEnd,
    };
    const effects: effect.Effect[] = [
      {
        kind: 'startTask',
        worker: target.name,
        address: target.description.address,
        start,
      },
    ];
    return {outcomes: [], effects};
  }

  /** Handles what workers answer; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): RunnerTurn {
    switch (handled.kind) {
      case 'startAnswered':
        return this.startAnswered(handled, now);
      case 'reportArrived':
        return this.reportArrived(handled.report, now);
      case 'taskAnswerArrived':
        return this.ended(handled.task, {
          result: handled.state === 'finished' ? 'ok' : 'taskFailed',
          detail: '',
          answer: handled.answer,
        });
      case 'timePassed':
        return this.timePassed(now);
      default:
        return NOTHING;
    }
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const next of this.nextReport.values()) due = Math.min(due, next);
    return due;
  }

  private startAnswered(
    answered: Extract<event.Event, {kind: 'startAnswered'}>,
    now: clock.Milliseconds,
  ): RunnerTurn {
    const started = this.tasks.get(answered.task);
    if (started === undefined || started.state !== 'starting') return NOTHING;
    if (answered.answer === 'started') return this.started(started, now);
    if (answered.answer === 'refused') {
      return this.neverRan(started, answered.detail);
    }
    this.tasks.set(answered.task, {...started, state: 'unknown'});
    this.nextReport.set(answered.worker, now);
    return NOTHING;
  }

  private started(started: RunningTask, now: clock.Milliseconds): RunnerTurn {
    const {placement} = started;
    this.tasks.set(placement.task, {...started, state: 'running'});
    return {
      outcomes: [{kind: 'started', placement}],
      effects: [
        ...this.renew(placement.worker, [placement.task], now),
        {
          kind: 'fetchTaskAnswer',
          worker: placement.worker.name,
          address: placement.worker.description.address,
          task: placement.task,
        },
      ],
    };
  }

  private neverRan(known: RunningTask, detail: string): RunnerTurn {
    this.tasks.delete(known.placement.task);
    known.placement.worker.release(known.placement.task);
    return notRun(known.placement, detail);
  }

  private ended(taskName: string, ending: requestTable.Ending): RunnerTurn {
    const known = this.tasks.get(taskName);
    if (known === undefined) return NOTHING;
    this.tasks.delete(taskName);
    known.placement.worker.release(taskName);
    return {
      outcomes: [{kind: 'ended', placement: known.placement, ending}],
      effects: [],
    };
  }

  private reportArrived(
    report: task.WorkerReport,
    now: clock.Milliseconds,
  ): RunnerTurn {
    const target = this.workers.get(report.worker);
    if (target === undefined) return NOTHING;
    target.update(report, now);
    const listed = new Map(report.tasks.map(item => [item.task, item]));
    const outcomes: TaskOutcome[] = [];
    const effects: effect.Effect[] = [];
    for (const known of [...this.tasks.values()]) {
      if (known.placement.worker !== target || known.state !== 'unknown') {
        continue;
      }
      const turn = this.resolve(known, listed, report.workerClock, now);
      outcomes.push(...turn.outcomes);
      effects.push(...turn.effects);
    }
    return {outcomes, effects};
  }

  private resolve(
    known: RunningTask,
    listed: ReadonlyMap<string, task.TaskReport>,
    workerClock: clock.Milliseconds,
    now: clock.Milliseconds,
  ): RunnerTurn {
    if (listed.has(known.placement.task)) return this.started(known, now);
    if (workerClock <= known.startLeaseEnd) return NOTHING;
    return this.neverRan(known, 'the start lapsed before it arrived');
  }

  private timePassed(now: clock.Milliseconds): RunnerTurn {
    const effects: effect.Effect[] = [];
    for (const target of this.workers.all()) {
      if (!this.permits.owns(target.name)) continue;
      if (now >= (this.nextReport.get(target.name) ?? 0)) {
        this.nextReport.set(target.name, now + REPORT_INTERVAL_MS);
        effects.push({
          kind: 'readReport',
          worker: target.name,
          address: target.description.address,
        });
      }
      if (now >= (this.nextRenewal.get(target.name) ?? 0)) {
        this.nextRenewal.set(target.name, now + lease.RENEWAL_INTERVAL_MS);
        effects.push(...this.renew(target, this.runningOn(target), now));
      }
    }
    return {outcomes: [], effects};
  }

  private runningOn(target: worker.Worker): ReadonlyArray<string> {
    const names: string[] = [];
    for (const name of target.held().keys()) {
      if (this.tasks.get(name)?.state === 'running') names.push(name);
    }
    return names;
  }

  private renew(
    target: worker.Worker,
    tasks: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const reading = target.clockReading;
    if (tasks.length === 0 || reading === undefined) return [];
    if (this.permits.permitEnd(target.name) <= now) return [];
    return [
      {
        kind: 'renewLeases',
        worker: target.name,
        address: target.description.address,
        tasks,
        leaseEnd: lease.renewedLeaseEnd(reading, now),
      },
    ];
  }
}

function notRun(placement: scheduler.Placement, detail: string): RunnerTurn {
  return {outcomes: [{kind: 'notRun', placement, detail}], effects: []};
}
