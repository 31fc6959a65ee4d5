import * as jobRecord from './job_record.js';
import * as stepOrdering from './step_ordering.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobTable from './job_table.js';
import type * as queueTable from './queue_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as workerTable from './worker_table.js';

/** Interval at which the backlog is read from the job table. */
const REFRESH_INTERVAL_MS = 500;

/** Free share of a service's processors above which it is not short of room. */
const FREE_SHARE_LIMIT = 0.1;

/** Work that waits although it is on time, in time of the whole service. */
const SHORTAGE_BACKLOG_MS = 250;

/** Duration of a shortage from which jobs that would be late are refused. */
const STANDING_SHORTAGE_MS = 2_000;

/** Accepted work of one job that waits for room. */
interface WaitingWork {
  readonly urgency: stepOrdering.Urgency;
  readonly priority: number;
  /** Whether the job keeps some value if it is served next. */
  readonly valuable: boolean;
  /** In millicore-milliseconds. */
  readonly work: number;
}

/** Waiting work and capacity of one service that is short of room. */
interface ServiceShortage {
  readonly processors: number;
  readonly waiting: WaitingWork[];
  readonly since: clock.Milliseconds;
}

/** Dependencies of a `RoomForecast`. */
export interface RoomForecastDependencies {
  readonly jobTable: jobTable.JobTable;
  readonly queues: queueTable.QueueTable;
  readonly workers: workerTable.WorkerTable;
  readonly predict: stepOrdering.RuntimePredictor;
  /** Returns how many tasks of a step its organisation's quota allows now. */
  readonly remainingQuota: (step: stepInstance.StepInstance) => number;
}

/**
 * Forecasts whether a new job can be served in time after the work that was
 * accepted before it and is placed first. The forecast assumes that tasks leave
 * no gaps on the workers, so a job that it rules out is surely not served.
 */
export class RoomForecast {
  private shortages = new Map<string, ServiceShortage>();
  private refreshedAt = -Infinity;

  constructor(private readonly dependencies: RoomForecastDependencies) {}

  /**
   * Returns by how much a job misses the last moment at which it is worth
   * serving; 0 if it may be served in time.
   */
  excessMs(
    definition: job.JobDefinition,
    arrivedAt: clock.Milliseconds,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): number {
    const shortage = this.shortages.get(queue.service);
    if (shortage === undefined || !waitsForRoom(definition)) return 0;
    const {predict} = this.dependencies;
    const record = new jobRecord.JobRecord(definition, arrivedAt);
    const ageMs = now - arrivedAt;
    const {processors} = shortage;
    const urgency = stepOrdering.urgencyOf(
      record,
      queue,
      now,
      predict,
      processors,
    );
    const objectiveMs = stepOrdering.objectiveMsOf(record, queue, predict);
    const pathMs = stepOrdering.criticalPathMs(record, queue, predict);
    const isStanding = now - shortage.since >= STANDING_SHORTAGE_MS;
    const latestEndMs = isStanding
      ? stepOrdering.latestOnTimeMs(objectiveMs)
      : stepOrdering.latestValuableMs(objectiveMs);
    const work = isStanding
      ? workAhead(shortage.waiting, urgency)
      : workAhead(shortage.waiting, urgency) +
        lateWork(shortage.waiting, queue.priority);
    return Math.max(0, ageMs + work / processors + pathMs - latestEndMs);
  }

  /** Counts an accepted job until the next refresh. */
  add(
    record: jobRecord.JobRecord,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): void {
    const shortage = this.shortages.get(queue.service);
    if (shortage === undefined) return;
    const waiting = this.waitingWorkOf(record, queue, shortage.processors, now);
    if (waiting !== undefined) shortage.waiting.push(waiting);
  }

  /** Reads the backlog of the services that are short of room. */
  refresh(now: clock.Milliseconds): void {
    if (now - this.refreshedAt < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = now;
    const earlier = this.shortages;
    this.shortages = new Map();
    const capacities = capacitiesOf(this.dependencies.workers.all());
    for (const [service, {free, processors}] of capacities) {
      if (free > FREE_SHARE_LIMIT * processors) continue;
      const since = earlier.get(service)?.since ?? now;
      this.shortages.set(service, {processors, waiting: [], since});
    }
    if (this.shortages.size > 0) this.readBacklog(now);
    for (const [service, {waiting, processors}] of this.shortages) {
      if (onTimeWork(waiting) / processors < SHORTAGE_BACKLOG_MS) {
        this.shortages.delete(service);
      }
    }
  }

  private readBacklog(now: clock.Milliseconds): void {
    for (const record of this.dependencies.jobTable.openJobs()) {
      const queue = this.dependencies.queues.find(record.definition.queue);
      if (queue !== undefined) this.add(record, queue, now);
    }
  }

  private waitingWorkOf(
    record: jobRecord.JobRecord,
    queue: job.Queue,
    processors: number,
    now: clock.Milliseconds,
  ): WaitingWork | undefined {
    const {predict} = this.dependencies;
    if (!waitsForRoom(record.definition)) return undefined;
    let work = 0;
    for (const step of record.steps) {
      // Until a step is ready, its share of the room is free for others.
      if (step.done || !record.isReady(step)) continue;
      const waitingCount = Math.min(
        step.tasks.filter(task => task.waiting).length,
        // What a quota holds back takes no room from others.
        this.dependencies.remainingQuota(step),
      );
      work += waitingCount * predict(step) * step.definition.size.processors;
    }
    if (work === 0) return undefined;
    const urgency = stepOrdering.urgencyOf(
      record,
      queue,
      now,
      predict,
      processors,
    );
    const valuable = !stepOrdering.isWorthless(urgency.rank);
    return {urgency, priority: queue.priority, valuable, work};
  }
}

/** Whether a job's tasks end by themselves and reserve processors. */
function waitsForRoom({schedule, steps}: job.JobDefinition): boolean {
  if (schedule !== undefined) return false;
  return !steps.some(step => step.longRunning || step.usesIdleCapacity);
}

/** Work of jobs that are on time and placed before a job. */
function workAhead(
  waiting: ReadonlyArray<WaitingWork>,
  placed: stepOrdering.Urgency,
): number {
  let sum = 0;
  for (const {urgency, work} of waiting) {
    if (stepOrdering.isOnTimeBefore(urgency, placed)) sum += work;
  }
  return sum;
}

/** Work of late jobs that still have value and are at least as urgent. */
function lateWork(
  waiting: ReadonlyArray<WaitingWork>,
  priority: number,
): number {
  let work = 0;
  for (const item of waiting) {
    if (item.urgency.onTime || !item.valuable) continue;
    if (item.priority <= priority) work += item.work;
  }
  return work;
}

function onTimeWork(waiting: ReadonlyArray<WaitingWork>): number {
  let work = 0;
  for (const item of waiting) if (item.urgency.onTime) work += item.work;
  return work;
}

/** Returns the total and free processors of each service. */
function capacitiesOf(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): ReadonlyMap<string, {readonly free: number; readonly processors: number}> {
  const capacities = new Map<string, {free: number; processors: number}>();
  for (const worker of workers) {
    if (!worker.acceptsTasks) continue;
    const {service, capacity} = worker.entry;
    const sums = capacities.get(service) ?? {free: 0, processors: 0};
    sums.free += Math.max(0, worker.free.processors);
    sums.processors += capacity.processors;
    capacities.set(service, sums);
  }
  return capacities;
}
