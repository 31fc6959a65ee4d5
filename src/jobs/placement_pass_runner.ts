import * as passPacer from './pass_pacer.js';
import * as placementOrder from './placement_order.js';
import * as placer from './placer.js';
import * as runNumbers from './run_numbers.js';
import * as sliceBudget from './slice_budget.js';
import * as stepOrdering from './step_ordering.js';
import * as workerSelection from './worker_selection.js';
import type * as adviceCache from './advice_cache.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as evacuator from './evacuator.js';
import type * as placementSlice from './placement_slice.js';
import type * as openSteps from './open_steps.js';
import type * as quotaLedger from './quota_ledger.js';
import type * as queueTable from './queue_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runtimeModel from './runtime_model.js';
import type * as startForecast from './start_forecast.js';
import type * as startShares from './start_shares.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';
import type * as workerTable from './worker_table.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Dependencies of a `PlacementPassRunner`. */
export interface PlacementPassRunnerDependencies {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly workers: workerTable.WorkerTable;
  readonly assignmentIndex: assignmentIndex.AssignmentIndex;
  readonly quotaLedger: quotaLedger.QuotaLedger;
  readonly adviceCache: adviceCache.AdviceCache;
  readonly reliability: workerReliability.WorkerReliability;
  readonly dispatcher: dispatcher.Dispatcher;
  readonly queues: queueTable.QueueTable;
  readonly openSteps: openSteps.OpenSteps;
  readonly runtimeModel: runtimeModel.RuntimeModel;
  readonly startShares: startShares.StartShares;
  readonly startForecast: startForecast.StartForecast;
  /** Returns whether tasks of a step may have runs that are not known yet. */
  readonly isBlocked: (step: stepInstance.StepInstance) => boolean;
  /** Returns whether tasks may be started now. */
  readonly mayStart: () => boolean;
}

/** Interval of logging waiting steps, and their minimum wait. */
const WAITING_REPORT_INTERVAL_MS = 2_000;

/** Most waiting steps logged at a time. */
const MAXIMUM_REPORTED_STEPS = 3;

/**
 * Time until the link has carried what was sent from which on no more tasks are
 * started: renewals and journal writes would wait behind the starts, and tasks
 * that still wait can be placed by what is then known.
 */
const MAXIMUM_SEND_DELAY_MS = 150;

/**
 * Runs placement passes over the waiting steps, in slices of one event loop turn
 * each, so that messages are read in between.
 */
export class PlacementPassRunner
  implements placer.PlacerListener, evacuator.EvacuatorListener
{
  private readonly placer: placer.Placer;
  private readonly order = new placementOrder.PlacementOrder((waiting, now) =>
    this.urgencyOf(waiting, now),
  );
  private passRequested = false;
  private readonly pacer: passPacer.PassPacer;
  private nextReportAt = 0;
  private sliceCount = 0;

  constructor(private readonly dependencies: PlacementPassRunnerDependencies) {
    const {workers, assignmentIndex, adviceCache, reliability, dispatcher} =
      dependencies;
    this.pacer = new passPacer.PassPacer(dependencies.options.clock);
    this.placer = new placer.Placer(
      workers,
      assignmentIndex,
      adviceCache,
      reliability,
      dispatcher,
      this,
    );
  }

  /** Number of slices so far. */
  get slices(): number {
    return this.sliceCount;
  }

  /** Returns the waiting steps that no pass has come to, most urgent first. */
  *unconsideredSteps(): Iterable<stepOrdering.PrioritizedStep> {
    for (const prioritized of this.order.steps) {
      if (!this.placer.hasConsidered(prioritized.step)) yield prioritized;
    }
  }

  /** Returns the capacity of a service's workers, in thousandths of a core. */
  processorsOf(service: string): number {
    return this.placer.processorsOf(service);
  }

  /** Requests a slice in the next event loop turn. */
  request(): void {
    if (this.passRequested) return;
    this.passRequested = true;
    const {pauseMs} = this.pacer;
    if (pauseMs === 0) {
      this.deferSlice();
      return;
    }
    const {timer} = this.dependencies.options;
    void timer.delay(pauseMs).then(() => this.deferSlice());
  }

  private deferSlice(): void {
    this.dependencies.options.defer(() => {
      this.passRequested = false;
      if (!this.dependencies.mayStart() || this.isLinkFull()) return;
      const {loopMeter} = this.dependencies.options;
      loopMeter.measure('placement', () => this.runSlice());
    });
  }

  /** Requests tickets for steps whose dependencies are expected to end soon. */
  prefetchAdvice(now: clock.Milliseconds): void {
    if (!this.dependencies.mayStart()) return;
    this.placer.refreshWorkers(now);
    this.placer.prefetchAdvice(this.findUpcomingSteps(now), now);
  }

  /** Logs why the steps that have waited longest wait, once per interval. */
  reportWaiting(now: clock.Milliseconds): void {
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + WAITING_REPORT_INTERVAL_MS;
    let reportedCount = 0;
    for (const {step, queue} of this.findWaitingSteps()) {
      const waitedMs = now - (step.readyAt ?? now);
      if (waitedMs < WAITING_REPORT_INTERVAL_MS) continue;
      this.dependencies.options.log.event('info', 'stepWaits', {
        step: step.name,
        waitedMs: Math.round(waitedMs),
        mayStart: this.dependencies.mayStart(),
        reason: this.placer.explain(step, queue, now),
      });
      reportedCount += 1;
      if (reportedCount === MAXIMUM_REPORTED_STEPS) return;
    }
  }

  remainingQuota(step: stepInstance.StepInstance): number {
    return this.dependencies.quotaLedger.remainingTasks(step);
  }

  nextRun(task: jobTask.JobTask): number {
    const {term} = this.dependencies.options;
    const fromEarlierTerm = task.step.jobRecord.fromEarlierTerm;
    const lowestRun = fromEarlierTerm ? runNumbers.firstRunOfTerm(term) : 1;
    return Math.max(task.highestRun + 1, lowestRun);
  }

  predictMs(step: stepInstance.StepInstance): number {
    const {queue} = step.jobRecord.definition;
    const {estimatedRuntimeMs} = step.definition;
    return this.dependencies.runtimeModel.predict(queue, estimatedRuntimeMs);
  }

  priorityOf(step: stepInstance.StepInstance): number {
    return this.dependencies.queues.ofStep(step)?.priority ?? -Infinity;
  }

  preempt(victim: jobTask.Assignment, urgent: stepInstance.StepInstance): void {
    const {options, dispatcher} = this.dependencies;
    options.counters.count('runs_interrupted', 'moreUrgent');
    options.log.event('info', 'runInterrupted', {
      task: victim.task,
      run: victim.run,
      percent: victim.progressPercent,
      urgent: urgent.name,
    });
    dispatcher.stop(victim);
  }

  prepareStart(step: stepInstance.StepInstance): boolean {
    const queue = this.dependencies.queues.ofStep(step);
    if (queue === undefined || !this.dependencies.mayStart()) return false;
    return this.placer.prepareStart(
      step,
      queue,
      this.dependencies.options.clock.now(),
    );
  }

  /** Returns whether a worker would take a task if it had room. */
  mayTake({step}: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean {
    return (
      this.dependencies.queues.ofStep(step)?.service === worker.entry.service &&
      worker.acceptsTasks &&
      workerSelection.fitsTotalCapacity(worker, step.definition)
    );
  }

  /**
   * Starts a task on a worker if that can take it now, outside of the order of
   * urgency. Returns whether it was started.
   */
  startOn(task: jobTask.JobTask, worker: remoteWorker.RemoteWorker): boolean {
    const {queues, mayStart, isBlocked, options} = this.dependencies;
    const {step} = task;
    const queue = queues.ofStep(step);
    if (queue === undefined || queue.service !== worker.entry.service) {
      return false;
    }
    if (!mayStart() || isBlocked(step)) return false;
    return this.placer.startOn(task, worker, queue, options.clock.now());
  }

  move(assignment: jobTask.Assignment): void {
    const {options, dispatcher} = this.dependencies;
    options.counters.count('runs_moved', 'workerLeaves');
    options.log.event('info', 'runMoved', {
      task: assignment.task,
      run: assignment.run,
      worker: assignment.worker.id,
      percent: assignment.progressPercent,
    });
    dispatcher.stop(assignment);
  }

  tasksPlaced(
    step: stepInstance.StepInstance,
    count: number,
    waitingCount: number,
  ): void {
    const {options} = this.dependencies;
    const now = options.clock.now();
    const waitedMs = Math.round(now - (step.readyAt ?? now));
    const {queue} = step.jobRecord.definition;
    this.dependencies.startShares.recordStarts(queue, count);
    if (this.order.isOnTime(step)) {
      this.dependencies.startForecast.recordStarts(queue, count);
    }
    options.counters.observe('step_wait', waitedMs);
    options.log.event('info', 'stepPlaced', {
      step: step.name,
      placed: count,
      left: waitingCount,
      waitedMs,
      version: this.dependencies.queues.version,
    });
  }

  private runSlice(): void {
    const {clock, counters} = this.dependencies.options;
    const budget = new sliceBudget.SliceBudget(clock, () => this.isLinkFull());
    this.sliceCount += 1;
    const {complete, examinedCount} = this.placeWithin(budget, clock.now());
    counters.observe('placement_slice', budget.elapsedMs);
    const end = complete ? 'complete' : 'continued';
    counters.count('placement_slices', end);
    if (examinedCount > 0) counters.count('steps_examined', end, examinedCount);
    if (complete) this.pacer.recordPass(budget.elapsedMs);
    else this.request();
  }

  /** Whether starts have to wait for the link; the next tick tries again. */
  private isLinkFull(): boolean {
    const {linkLoad} = this.dependencies.options;
    return linkLoad.sendDelayMs >= MAXIMUM_SEND_DELAY_MS;
  }

  /** Places the most urgent steps. */
  private placeWithin(
    budget: sliceBudget.SliceBudget,
    now: clock.Milliseconds,
  ): placementSlice.SliceResult {
    this.placer.refreshWorkers(now);
    const inOrder = this.order.update(
      this.findStartableSteps(),
      now,
      budget,
      step => this.placer.forget(step),
    );
    // Without all urgencies, less urgent steps could be placed first.
    if (!inOrder) return {complete: false, examinedCount: 0};
    return this.placer.placeSlice(this.order.steps, now, budget);
  }

  private urgencyOf(
    {step, queue}: stepOrdering.WaitingStep,
    now: clock.Milliseconds,
  ): stepOrdering.Urgency {
    return stepOrdering.urgencyOf(
      step.jobRecord,
      queue,
      now,
      other => this.predictMs(other),
      this.placer.processorsOf(queue.service),
      {
        hasRoom: this.placer.hasRoom(queue.service),
        startsAreShort: this.dependencies.startForecast.startsAreShort,
        isBehind: this.dependencies.startShares.isBehind(queue.name),
      },
    );
  }

  /** Returns the waiting steps without gangs of which members still run. */
  private findStartableSteps(): Iterable<stepOrdering.WaitingStep> {
    return this.findSteps(step => step.hasStartableTasks);
  }

  private findWaitingSteps(): Iterable<stepOrdering.WaitingStep> {
    return this.findSteps(step => step.waitingTaskCount > 0);
  }

  private *findSteps(
    isWanted: (step: stepInstance.StepInstance) => boolean,
  ): Iterable<stepOrdering.WaitingStep> {
    const {openSteps, queues, isBlocked} = this.dependencies;
    for (const step of openSteps) {
      if (!isWanted(step)) continue;
      const queue = queues.ofStep(step);
      if (queue === undefined || isBlocked(step)) continue;
      yield {step, queue};
    }
  }

  /** Returns steps whose dependencies are expected to end soon. */
  private *findUpcomingSteps(
    now: clock.Milliseconds,
  ): Iterable<stepOrdering.WaitingStep> {
    for (const step of this.dependencies.openSteps) {
      const queue = this.dependencies.queues.ofStep(step);
      if (queue?.advice === undefined) continue;
      const leadMs = placer.adviceLeadMs(queue.advice);
      if (step.expectedEndAt(this.predictMs(step)) - now > leadMs) continue;
      for (const next of step.jobRecord.dependents(step)) {
        if (next.readyAt === undefined) yield {step: next, queue};
      }
    }
  }
}
