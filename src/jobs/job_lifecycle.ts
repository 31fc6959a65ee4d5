import * as lineLimiter from './line_limiter.js';
import * as restartBackoff from './restart_backoff.js';
import type * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobTable from './job_table.js';
import type * as jobRecord from './job_record.js';
import type * as openSteps from './open_steps.js';
import type * as queueTable from './queue_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runTracker from './run_tracker.js';
import type * as runtimeModel from './runtime_model.js';
import type * as startShares from './start_shares.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Most `taskHeld` lines in one second. */
const MAXIMUM_HELD_LINES_PER_SECOND = 10;

/** Starts tasks on workers that the caller names. */
export interface DirectStarter {
  /** Returns whether a worker would take a task if it had room. */
  mayTake(task: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean;
  /** Starts a waiting task on a worker, if that can take it now. */
  startOn(task: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean;
}

/** Dependencies of a `JobLifecycle`. */
export interface JobLifecycleDependencies {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly jobTable: jobTable.JobTable;
  readonly queues: queueTable.QueueTable;
  readonly openSteps: openSteps.OpenSteps;
  readonly adviceCache: adviceCache.AdviceCache;
  readonly dispatcher: dispatcher.Dispatcher;
  readonly reliability: workerReliability.WorkerReliability;
  readonly runtimeModel: runtimeModel.RuntimeModel;
  readonly startShares: startShares.StartShares;
  readonly requestPlacementPass: () => void;
  /** Returns what starts tasks outside of the order of urgency. */
  readonly directStarter: () => DirectStarter;
}

/** Advances jobs from acceptance through their steps to their outcome. */
export class JobLifecycle implements runTracker.RunListener {
  private readonly restartBackoff = new restartBackoff.RestartBackoff();
  private readonly heldLines: lineLimiter.LineLimiter;

  constructor(private readonly dependencies: JobLifecycleDependencies) {
    this.heldLines = new lineLimiter.LineLimiter(
      dependencies.options.clock,
      MAXIMUM_HELD_LINES_PER_SECOND,
    );
  }

  /** Opens the steps of an accepted job that are ready. */
  begin(record: jobRecord.JobRecord): void {
    if (record.outcome === 'open') this.openReadySteps(record);
    this.dependencies.requestPlacementPass();
  }

  /** Lets the tasks restart whose delay is over. */
  reviewRestarts(now: clock.Milliseconds): void {
    if (this.restartBackoff.review(now)) {
      this.dependencies.requestPlacementPass();
    }
  }

  /** Opens the occurrences of scheduled jobs that are due. */
  openDueOccurrences(): void {
    const nowUnixMs = this.dependencies.options.wallClock();
    for (const record of this.dependencies.jobTable.dueJobs(nowUnixMs)) {
      while (record.nextDueUnixMs <= nowUnixMs) record.openOccurrence();
      this.openReadySteps(record);
    }
  }

  runEnded(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
    endKind: string,
  ): void {
    const {step} = task;
    const record = step.jobRecord;
    record.started = true;
    this.dependencies.options.counters.count('runs_ended', endKind);
    if (endKind === 'done') this.taskDone(task, worker);
    if (endKind === 'failed') this.taskFailed(task, worker, run);
    if (endKind === 'done' || endKind === 'failed') this.delayRestart(task);
    if (record.outcome === 'open' && !step.done) {
      this.dependencies.openSteps.open(step);
    }
    this.dependencies.requestPlacementPass();
  }

  endHeldBack(heldMs: clock.Milliseconds): void {
    this.dependencies.options.counters.observe('acknowledgement_held', heldMs);
  }

  restartHeld(task: jobTask.JobTask, workers: ReadonlyArray<string>): void {
    const {counters, log} = this.dependencies.options;
    counters.count('tasks_held', 'lateStart');
    this.heldLines.tryWrite(omitted =>
      log.event('info', 'taskHeld', {
        task: task.name,
        reason: 'lateStart',
        workers: workers.join(' '),
        omitted,
      }),
    );
  }

  restartHeldBack(task: jobTask.JobTask, heldMs: clock.Milliseconds): void {
    const {counters, log} = this.dependencies.options;
    counters.observe('restart_held', heldMs);
    const rounded = Math.round(heldMs);
    log.event('info', 'restartHeld', {task: task.name, heldMs: rounded});
    this.dependencies.requestPlacementPass();
  }

  mayTake(task: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean {
    if (task.step.jobRecord.outcome !== 'open') return false;
    return this.dependencies.directStarter().mayTake(task, worker);
  }

  restartInPlace(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
  ): void {
    if (!this.dependencies.directStarter().startOn(task, worker)) return;
    this.dependencies.options.counters.count('restarts', 'inPlace');
  }

  successSuperseded(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
  ): void {
    const {counters, log} = this.dependencies.options;
    counters.count('runs_ended', 'superseded');
    log.event('info', 'successSuperseded', {
      task: task.name,
      run,
      worker: worker.id,
      latestRun: task.highestRun,
    });
  }

  /** Sets the outcome of a job, stops its remaining runs, and stores it. */
  settle(
    record: jobRecord.JobRecord,
    outcome: jobRecord.JobProgress['outcome'],
  ): void {
    const {options, jobTable, dispatcher, queues} = this.dependencies;
    record.outcome = outcome;
    for (const step of record.steps) this.closeStep(step);
    for (const assignment of [...record.assignments()]) {
      dispatcher.stop(assignment);
    }
    options.counters.count('jobs_settled', outcome);
    options.log.event('info', 'jobSettled', {
      job: record.definition.id,
      queue: queues.labelOf(record.definition.queue),
      outcome,
      afterMs: Math.round(options.clock.now() - record.arrivedAt),
    });
    jobTable.store(record);
  }

  private taskDone(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
  ): void {
    this.dependencies.reliability.recordSuccess(worker);
    const {step} = task;
    const {gang, longRunning} = step.definition;
    if (longRunning) return;
    if (gang) {
      // The members end together, so the end of one completes all of them.
      for (const member of step.tasks) step.markDone(member);
    } else {
      step.markDone(task);
      for (const copy of task.assignments) {
        this.dependencies.dispatcher.stop(copy);
      }
    }
    if (step.jobRecord.outcome === 'open' && step.done) this.stepDone(step);
  }

  private stepDone(step: stepInstance.StepInstance): void {
    this.closeStep(step);
    const record = step.jobRecord;
    const medianMs = step.medianDurationMs(0);
    if (medianMs !== undefined) {
      const {queue} = record.definition;
      const {estimatedRuntimeMs} = step.definition;
      this.dependencies.runtimeModel.observe(
        queue,
        estimatedRuntimeMs,
        medianMs,
      );
    }
    this.openReadySteps(record);
    if (record.allDone) this.settle(record, 'completed');
  }

  /** Delays the restart of a task that lasts and keeps ending by itself. */
  private delayRestart(task: jobTask.JobTask): void {
    const {step} = task;
    if (!step.definition.longRunning) return;
    if (step.jobRecord.outcome !== 'open') return;
    const {options} = this.dependencies;
    const delayMs = this.restartBackoff.runEnded(task, options.clock.now());
    const reason = delayMs > 0 ? 'delayed' : 'immediate';
    options.counters.count('restarts', reason);
    if (delayMs === 0) return;
    options.log.event('info', 'restartDelayed', {task: task.name, delayMs});
  }

  private taskFailed(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
  ): void {
    const {options, queues} = this.dependencies;
    const {step} = task;
    const record = step.jobRecord;
    this.recordFailure(worker, record.definition.id);
    if (task.done || record.outcome !== 'open') return;
    if (!step.countsFailures || !task.addFailure(run)) return;
    const attempts = queues.ofStep(step)?.attempts;
    if (attempts === undefined || countFailures(step, task) < attempts) return;
    options.log.event('info', 'jobFailed', {
      job: record.definition.id,
      task: task.name,
      run,
      worker: worker.id,
      attempts,
    });
    this.settle(record, 'failed');
  }

  private recordFailure(worker: remoteWorker.RemoteWorker, job: string): void {
    const {options, reliability} = this.dependencies;
    if (!reliability.recordFailure(worker, job, options.clock.now())) return;
    options.counters.count('workers_suspected', 'failures');
    options.log.event('warn', 'workerSuspected', {worker: worker.id});
  }

  private openReadySteps(record: jobRecord.JobRecord): void {
    const {openSteps, options, startShares} = this.dependencies;
    const waitingCount = openSteps.openReady(record, options.clock.now());
    startShares.recordDemand(record.definition.queue, waitingCount);
  }

  private closeStep(step: stepInstance.StepInstance): void {
    this.dependencies.openSteps.close(step);
    this.dependencies.adviceCache.forget(step);
  }
}

/** Counts the failed runs of a task; a gang's runs count for all members. */
function countFailures(
  step: stepInstance.StepInstance,
  task: jobTask.JobTask,
): number {
  if (!step.definition.gang) return task.failedRuns.size;
  const runs = new Set<number>();
  for (const member of step.tasks) {
    for (const run of member.failedRuns) runs.add(run);
  }
  return runs.size;
}
