import type * as adviceBook from './advice_book.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobBook from './job_book.js';
import type * as jobRecord from './job_record.js';
import type * as openSteps from './open_steps.js';
import type * as queueTable from './queue_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runTracker from './run_tracker.js';
import type * as runtimeModel from './runtime_model.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as stepInstance from './step_instance.js';
import type * as task from './task.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** What the life of a job touches. */
export interface LifecycleParts {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly book: jobBook.JobBook;
  readonly queues: queueTable.QueueTable;
  readonly openSteps: openSteps.OpenSteps;
  readonly advice: adviceBook.AdviceBook;
  readonly orders: dispatcher.Dispatcher;
  readonly trust: workerReliability.WorkerReliability;
  readonly runtimes: runtimeModel.RuntimeModel;
  readonly requestPass: () => void;
}

/** Takes jobs from their acceptance through their steps to their outcome. */
export class JobLifecycle implements runTracker.RunListener {
  constructor(private readonly parts: LifecycleParts) {}

  /** Opens the first steps of an accepted job. */
  begin(record: jobRecord.JobRecord): void {
    if (record.outcome === 'open') this.openReadySteps(record);
    this.parts.requestPass();
  }

  /** Opens the occurrences that are due by now. */
  openDueOccurrences(): void {
    const wallTime = this.parts.options.wallClock();
    for (const record of this.parts.book.all()) {
      if (record.outcome !== 'open' || !record.accepted) continue;
      if (record.nextDueAtMs > wallTime) continue;
      while (record.nextDueAtMs <= wallTime) record.openOccurrence();
      this.openReadySteps(record);
    }
  }

  ended(
    target: task.Task,
    worker: remoteWorker.RemoteWorker,
    run: number,
    how: string,
  ): void {
    const {step} = target;
    const record = step.owner;
    record.started = true;
    this.parts.options.counters.count('runs_ended', how);
    if (how === 'done') this.taskDone(target, worker);
    if (how === 'failed') this.taskFailed(target, worker, run);
    if (record.outcome === 'open' && !step.done) {
      this.parts.openSteps.open(step);
    }
    this.parts.requestPass();
  }

  /** Gives a job its outcome, stops what still runs, and stores it. */
  settle(
    record: jobRecord.JobRecord,
    outcome: jobRecord.JobProgress['outcome'],
  ): void {
    const {options, book, orders} = this.parts;
    record.outcome = outcome;
    for (const step of record.steps) this.closeStep(step);
    for (const assignment of [...record.assignments()]) {
      orders.stop(assignment);
    }
    options.counters.count('jobs_settled', outcome);
    options.log.event('info', 'jobSettled', {
      job: record.definition.id,
      queue: record.definition.queue,
      outcome,
      afterMs: Math.round(options.clock.now() - record.arrivedAt),
    });
    book.store(record);
  }

  private taskDone(target: task.Task, worker: remoteWorker.RemoteWorker): void {
    this.parts.trust.recordSuccess(worker);
    const {step} = target;
    const {gang, longRunning} = step.definition;
    if (longRunning) return;
    if (gang) {
      // The members end together; one end stands for all of them.
      for (const member of step.tasks) step.finish(member);
    } else {
      step.finish(target);
      for (const copy of target.assignments) this.parts.orders.stop(copy);
    }
    if (step.owner.outcome === 'open' && step.done) this.stepDone(step);
  }

  private stepDone(step: stepInstance.StepInstance): void {
    this.closeStep(step);
    const record = step.owner;
    const usualMs = step.usualDurationMs(0);
    if (usualMs !== undefined) {
      const {queue} = record.definition;
      const {estimatedRuntimeMs} = step.definition;
      this.parts.runtimes.observe(queue, estimatedRuntimeMs, usualMs);
    }
    this.openReadySteps(record);
    if (record.allDone) this.settle(record, 'completed');
  }

  private taskFailed(
    target: task.Task,
    worker: remoteWorker.RemoteWorker,
    run: number,
  ): void {
    const {options, queues} = this.parts;
    const {step} = target;
    const record = step.owner;
    this.distrust(worker, record.definition.id);
    if (!target.addFailure(run) || target.done) return;
    if (step.definition.longRunning || record.outcome !== 'open') return;
    const attempts = queues.ofStep(step)?.attempts;
    if (attempts === undefined || failuresOf(step, target) < attempts) return;
    options.log.event('info', 'jobFailed', {
      job: record.definition.id,
      task: target.name,
      run,
      worker: worker.id,
      attempts,
    });
    this.settle(record, 'failed');
  }

  private distrust(worker: remoteWorker.RemoteWorker, job: string): void {
    const {options, trust} = this.parts;
    if (!trust.recordFailure(worker, job, options.clock.now())) return;
    options.counters.count('workers_suspected', 'failures');
    options.log.event('warn', 'workerSuspected', {worker: worker.id});
  }

  private openReadySteps(record: jobRecord.JobRecord): void {
    this.parts.openSteps.openReady(record, this.parts.options.clock.now());
  }

  private closeStep(step: stepInstance.StepInstance): void {
    this.parts.openSteps.close(step);
    this.parts.advice.forget(step);
  }
}

/** Failed runs that count against a task; a gang fails as one. */
function failuresOf(
  step: stepInstance.StepInstance,
  target: task.Task,
): number {
  if (!step.definition.gang) return target.failedRuns.size;
  const runs = new Set<number>();
  for (const member of step.tasks) {
    for (const run of member.failedRuns) runs.add(run);
  }
  return runs.size;
}
