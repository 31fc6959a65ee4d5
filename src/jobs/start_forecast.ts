import * as jobRecord from './job_record.js';
import * as stepOrdering from './step_ordering.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobTable from './job_table.js';
import type * as queueTable from './queue_table.js';

/** Interval at which the backlog is read. */
const REFRESH_INTERVAL_MS = 250;

/** Time to start what waits for a pass; less waits between any two passes. */
const MINIMUM_BACKLOG_MS = 250;

/** Duration of a backlog from which jobs that would be late are refused. */
const STANDING_BACKLOG_MS = 1_000;

/** Time in which earlier measurements of a rate lose most of their weight. */
const AGING_TIME_MS = 1_500;

/** Time with a backlog from which its rate of starts is known. */
const MINIMUM_MEASURED_MS = 600;

/** Rate below which a delay would be a guess, in tasks a second. */
const MINIMUM_RATE_PER_SECOND = 0.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** Tasks of one accepted job that have not started. */
interface UnstartedTasks {
  readonly urgency: stepOrdering.Urgency;
  readonly taskCount: number;
}

/** What waits in one queue of which no placement pass has come to all steps. */
interface Backlog {
  readonly since: clock.Milliseconds;
  /** Tasks that wait for a placement pass. */
  readonly taskCount: number;
  readonly jobs: UnstartedTasks[];
}

/** Starts of a queue's jobs that were on time, while it had a backlog. */
interface MeasuredStarts {
  readonly startCount: number;
  readonly durationMs: clock.Milliseconds;
}

/** Dependencies of a `StartForecast`. */
export interface StartForecastDependencies {
  readonly jobTable: Pick<jobTable.JobTable, 'openJobs'>;
  readonly queues: Pick<queueTable.QueueTable, 'find'>;
  /**
   * Returns the steps that could start tasks and have not been considered by a
   * placement pass, most urgent first.
   */
  readonly unconsideredSteps: () => Iterable<stepOrdering.PrioritizedStep>;
  readonly predict: stepOrdering.RuntimePredictor;
  readonly processorsOf: (service: string) => number;
  /** Number of slices of placement passes so far. */
  readonly sliceCount: () => number;
}

/**
 * Forecasts whether the tasks of a new job are started in time. Tasks wait for
 * room, for tickets or for the scheduler itself; this is about the last: steps
 * that no placement pass has come to although their tasks may be able to start.
 * The rate at which such a backlog is reduced is measured for each queue.
 */
export class StartForecast {
  private backlogs: ReadonlyMap<string, Backlog> = new Map();
  /** Queues that had tasks waiting at the last refresh. */
  private waitedAtLast: ReadonlySet<string> = new Set();
  private readonly measured = new Map<string, MeasuredStarts>();
  private readonly startCounts = new Map<string, number>();
  private refreshedAt: clock.Milliseconds | undefined;
  private lastSliceCount = 0;
  private hasStandingBacklog = false;

  constructor(private readonly dependencies: StartForecastDependencies) {}

  /** Counts started tasks of jobs that are on time. */
  recordStarts(queue: string, taskCount: number): void {
    const known = this.startCounts.get(queue) ?? 0;
    this.startCounts.set(queue, known + taskCount);
  }

  /** Reads the backlog and measures the rates of starts. */
  refresh(now: clock.Milliseconds): void {
    this.refreshedAt ??= now;
    const elapsedMs = now - this.refreshedAt;
    if (elapsedMs < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = now;
    const waiting = this.countWaiting();
    // Without slices nothing may be started at present.
    const sliceCount = this.dependencies.sliceCount();
    if (sliceCount > this.lastSliceCount) this.measure(waiting, elapsedMs);
    this.lastSliceCount = sliceCount;
    this.startCounts.clear();
    this.backlogs = this.readBacklogs(waiting, now);
    this.hasStandingBacklog = [...this.backlogs.values()].some(backlog =>
      isStanding(backlog, now),
    );
  }

  /**
   * Returns by how much a job misses its objective if it is accepted now; 0 if
   * its tasks may be started in time.
   */
  excessMs(
    definition: job.JobDefinition,
    arrivedAt: clock.Milliseconds,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): number {
    const backlog = this.backlogs.get(queue.name);
    if (backlog === undefined || !isStanding(backlog, now)) return 0;
    const ratePerMs = this.rateOf(queue.name) / MILLISECONDS_PER_SECOND;
    const {predict} = this.dependencies;
    const record = new jobRecord.JobRecord(definition, arrivedAt);
    if (record.longRunning || definition.schedule !== undefined) return 0;
    const urgency = this.urgencyOf(record, queue, now);
    const delayMs =
      (tasksAhead(backlog.jobs, urgency) + unstartedTaskCount(record)) /
      ratePerMs;
    const objectiveMs = stepOrdering.objectiveMsOf(record, queue, predict);
    const pathMs = stepOrdering.criticalPathMs(record, queue, predict);
    const endAgeMs = now - arrivedAt + delayMs + pathMs;
    // Any tolerance would fill the backlog with jobs that all start too late.
    return Math.max(0, endAgeMs - objectiveMs);
  }

  /** Counts an accepted job until the next refresh. */
  add(
    record: jobRecord.JobRecord,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): void {
    this.backlogs.get(queue.name)?.jobs.push({
      urgency: this.urgencyOf(record, queue, now),
      taskCount: unstartedTaskCount(record),
    });
  }

  /** Returns the rate at which a backlog is reduced; 0 while not known. */
  rateOf(queue: string): number {
    const measured = this.measured.get(queue);
    if (measured === undefined) return 0;
    const {startCount, durationMs} = measured;
    if (durationMs < MINIMUM_MEASURED_MS) return 0;
    const rate = (startCount * MILLISECONDS_PER_SECOND) / durationMs;
    return Math.max(rate, MINIMUM_RATE_PER_SECOND);
  }

  /** Whether tasks of a queue have waited for placement passes for a while. */
  get startsAreShort(): boolean {
    return this.hasStandingBacklog;
  }

  /** Returns how many tasks of a queue wait for a placement pass. */
  backlogOf(queue: string): number {
    return this.backlogs.get(queue)?.taskCount ?? 0;
  }

  /** Counts the tasks of each queue that wait for a placement pass. */
  private countWaiting(): ReadonlyMap<string, number> {
    const waiting = new Map<string, number>();
    for (const {step, queue} of this.dependencies.unconsideredSteps()) {
      const known = waiting.get(queue.name) ?? 0;
      waiting.set(queue.name, known + step.waitingTaskCount);
    }
    return waiting;
  }

  private readBacklogs(
    waiting: ReadonlyMap<string, number>,
    now: clock.Milliseconds,
  ): ReadonlyMap<string, Backlog> {
    const backlogs = new Map<string, Backlog>();
    for (const [queue, taskCount] of waiting) {
      const rate = this.rateOf(queue);
      const backlogMs = (taskCount * MILLISECONDS_PER_SECOND) / rate;
      if (rate === 0 || backlogMs < MINIMUM_BACKLOG_MS) continue;
      const since = this.backlogs.get(queue)?.since ?? now;
      backlogs.set(queue, {since, taskCount, jobs: []});
    }
    if (backlogs.size > 0) this.readJobs(backlogs, now);
    return backlogs;
  }

  /** Reads the open jobs of the queues that have a backlog. */
  private readJobs(
    backlogs: ReadonlyMap<string, Backlog>,
    now: clock.Milliseconds,
  ): void {
    const {jobTable, queues} = this.dependencies;
    for (const record of jobTable.openJobs()) {
      const queue = queues.find(record.definition.queue);
      const backlog = queue && backlogs.get(queue.name);
      if (queue === undefined || backlog === undefined) continue;
      const taskCount = unstartedTaskCount(record);
      if (taskCount === 0) continue;
      const urgency = this.urgencyOf(record, queue, now);
      backlog.jobs.push({urgency, taskCount});
    }
  }

  /** Measures the rates of the queues that had tasks waiting all the time. */
  private measure(
    waiting: ReadonlyMap<string, number>,
    elapsedMs: clock.Milliseconds,
  ): void {
    const weight = Math.exp(-elapsedMs / AGING_TIME_MS);
    for (const queue of waiting.keys()) {
      // Without waiting tasks the rate is that of arrivals.
      if (!this.waitedAtLast.has(queue)) continue;
      const known = this.measured.get(queue);
      const startCount = this.startCounts.get(queue) ?? 0;
      this.measured.set(queue, {
        startCount: (known?.startCount ?? 0) * weight + startCount,
        durationMs: (known?.durationMs ?? 0) * weight + elapsedMs,
      });
    }
    this.waitedAtLast = new Set(waiting.keys());
  }

  private urgencyOf(
    record: jobRecord.JobRecord,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): stepOrdering.Urgency {
    const {predict, processorsOf} = this.dependencies;
    const processors = processorsOf(queue.service);
    return stepOrdering.urgencyOf(record, queue, now, predict, processors);
  }
}

function isStanding({since}: Backlog, now: clock.Milliseconds): boolean {
  return now - since >= STANDING_BACKLOG_MS;
}

/** Counts the tasks of a queue's on-time jobs that start before a job. */
function tasksAhead(
  jobs: ReadonlyArray<UnstartedTasks>,
  placed: stepOrdering.Urgency,
): number {
  let sum = 0;
  for (const {urgency, taskCount} of jobs) {
    if (stepOrdering.isOnTimeBefore(urgency, placed)) sum += taskCount;
  }
  return sum;
}

function unstartedTaskCount({steps}: jobRecord.JobRecord): number {
  return steps.reduce((sum, step) => sum + step.waitingTaskCount, 0);
}
