import * as placer from './placer.js';
import type * as adviceBook from './advice_book.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as evacuation from './evacuation.js';
import type * as jobRecord from './job_record.js';
import type * as openSteps from './open_steps.js';
import type * as queueTable from './queue_table.js';
import type * as runtimeModel from './runtime_model.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as stepInstance from './step_instance.js';
import type * as task from './task.js';
import type * as workOrder from './work_order.js';
import type * as workerBook from './worker_book.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** What a pass works on. */
export interface PassParts {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly workers: workerBook.WorkerBook;
  readonly index: assignmentIndex.AssignmentIndex;
  readonly advice: adviceBook.AdviceBook;
  readonly trust: workerReliability.WorkerReliability;
  readonly orders: dispatcher.Dispatcher;
  readonly queues: queueTable.QueueTable;
  readonly openSteps: openSteps.OpenSteps;
  readonly runtimes: runtimeModel.RuntimeModel;
  /** Tells whether runs of a job may be unknown. */
  readonly isBlocked: (record: jobRecord.JobRecord) => boolean;
  /** Tells whether anything may be started now. */
  readonly mayStart: () => boolean;
}

/** How often steps that wait are logged, and how long they have waited. */
const WAITING_REPORT_MS = 2_000;

/** Steps logged at a time. */
const WAITING_REPORTED = 3;

/** Distance between the first run numbers of terms. */
const RUNS_PER_TERM = 64;

/** Collects what waits and has it placed, once for all news of a turn. */
export class PlacementPass
  implements placer.PlacerListener, evacuation.EvacuationListener
{
  private readonly placer: placer.Placer;
  private pending = false;
  private nextReportAt = 0;

  constructor(private readonly parts: PassParts) {
    const {workers, index, advice, trust, orders} = parts;
    this.placer = new placer.Placer(
      workers,
      index,
      advice,
      trust,
      orders,
      this,
    );
  }

  /** Has a pass run after the present turn. */
  request(): void {
    if (this.pending) return;
    this.pending = true;
    this.parts.options.defer(() => {
      this.pending = false;
      if (this.parts.mayStart()) this.run();
    });
  }

  /** Logs why the steps that have waited longest still wait. */
  reportWaiting(now: clock.Milliseconds): void {
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + WAITING_REPORT_MS;
    let reported = 0;
    for (const {step, queue} of this.waitingSteps()) {
      const waitedMs = now - (step.readyAt ?? now);
      if (waitedMs < WAITING_REPORT_MS) continue;
      this.parts.options.log.event('info', 'stepWaits', {
        step: step.name,
        waitedMs: Math.round(waitedMs),
        reason: this.placer.explain(step, queue, now),
      });
      reported += 1;
      if (reported === WAITING_REPORTED) return;
    }
  }

  nextRun(target: task.Task): number {
    const {term} = this.parts.options;
    const earlier = target.step.owner.fromEarlierTerm;
    const floor = earlier ? term * RUNS_PER_TERM : 1;
    return Math.max(target.lastRun + 1, floor);
  }

  predict(step: stepInstance.StepInstance): number {
    const {queue} = step.owner.definition;
    const {estimatedRuntimeMs} = step.definition;
    return this.parts.runtimes.predict(queue, estimatedRuntimeMs);
  }

  priorityOf(step: stepInstance.StepInstance): number {
    return this.parts.queues.ofStep(step)?.priority ?? -Infinity;
  }

  interrupt(victim: task.Assignment, urgent: stepInstance.StepInstance): void {
    const {options, orders} = this.parts;
    options.counters.count('runs_interrupted', 'moreUrgent');
    options.log.event('info', 'runInterrupted', {
      task: victim.task,
      run: victim.run,
      percent: victim.percent,
      urgent: urgent.name,
    });
    orders.stop(victim);
  }

  prepare(step: stepInstance.StepInstance): boolean {
    const queue = this.parts.queues.ofStep(step);
    if (queue === undefined || !this.parts.mayStart()) return false;
    return this.placer.prepare(step, queue, this.parts.options.clock.now());
  }

  move(run: task.Assignment): void {
    const {options, orders} = this.parts;
    options.counters.count('runs_moved', 'workerLeaves');
    options.log.event('info', 'runMoved', {
      task: run.task,
      run: run.run,
      worker: run.worker.id,
      percent: run.percent,
    });
    orders.stop(run);
  }

  placed(step: stepInstance.StepInstance, count: number, left: number): void {
    const {options} = this.parts;
    const now = options.clock.now();
    const waitedMs = Math.round(now - (step.readyAt ?? now));
    options.counters.observe('step_wait', waitedMs);
    options.log.event('info', 'stepPlaced', {
      step: step.name,
      placed: count,
      left,
      waitedMs,
    });
  }

  private run(): void {
    const now = this.parts.options.clock.now();
    this.placer.pass({
      waiting: [...this.waitingSteps()],
      upcoming: [...this.upcomingSteps(now)],
      now,
    });
  }

  private *waitingSteps(): Iterable<workOrder.WaitingStep> {
    const {openSteps: open, queues, isBlocked} = this.parts;
    for (const step of open) {
      const queue = queues.ofStep(step);
      if (queue === undefined || isBlocked(step.owner)) continue;
      if (step.tasks.some(target => target.waiting)) yield {step, queue};
    }
  }

  /** Steps that wait only for tasks which are expected to end soon. */
  private *upcomingSteps(
    now: clock.Milliseconds,
  ): Iterable<workOrder.WaitingStep> {
    for (const step of this.parts.openSteps) {
      const queue = this.parts.queues.ofStep(step);
      if (queue?.advice === undefined) continue;
      const lead = placer.adviceLeadMs(queue.advice);
      if (step.expectedEnd(this.predict(step)) - now > lead) continue;
      for (const next of step.owner.followers(step)) {
        if (next.readyAt === undefined) yield {step: next, queue};
      }
    }
  }
}
