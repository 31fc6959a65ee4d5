import * as adviceCache from './advice_cache.js';
import * as adviceRequester from './advice_requester.js';
import * as placementSlice from './placement_slice.js';
import * as preemptionPlanner from './preemption_planner.js';
import * as schedulableWorkers from './schedulable_workers.js';
import * as stepExamination from './step_examination.js';
import * as taskStarter from './task_starter.js';
import * as workerRanking from './worker_ranking.js';
import * as workerSelection from './worker_selection.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as job from './job.js';
import type * as jobTask from './job_task.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as sliceBudget from './slice_budget.js';
import type * as stepInstance from './step_instance.js';
import type * as stepOrdering from './step_ordering.js';
import type * as workerReliability from '../machines/worker_reliability.js';
import type * as workerTable from './worker_table.js';

/** Additional lead time of advice requests for upcoming steps. */
const ADVICE_LEAD_MARGIN_MS = 300;

/** Interval at which preemptions are planned. */
const PREEMPTION_INTERVAL_MS = 100;

/**
 * Time after which a waiting step is examined in full, even if no change was
 * seen that could help it.
 */
const EXAMINATION_LIFETIME_MS = 2_000;

/** Answers a placer's queries about tasks, and receives its decisions. */
export interface PlacerListener extends taskStarter.StartListener {
  /** Returns the expected runtime of a step's tasks. */
  predictMs(step: stepInstance.StepInstance): number;
  /** Returns the priority of a step's queue; 0 is the most urgent. */
  priorityOf(step: stepInstance.StepInstance): number;
  /** Preempts a run for a more urgent step; it resumes from its checkpoint. */
  preempt(victim: jobTask.Assignment, urgent: stepInstance.StepInstance): void;
}

/**
 * Places waiting tasks on workers, in slices of bounded work. Each slice begins
 * with the most urgent step. A step that was examined before is skipped unless
 * something has changed since that could help it.
 *
 * A pass considers each waiting step once. A step that changes after that is
 * considered again if a share of the slice allows it, otherwise in the next
 * pass, so that a pass ends however often steps change.
 */
export class Placer {
  private readonly workers: schedulableWorkers.SchedulableWorkers;
  private readonly starter: taskStarter.TaskStarter;
  private readonly examinations = new Map<
    stepInstance.StepInstance,
    stepExamination.StepExamination
  >();
  private preemptions: preemptionPlanner.PreemptionPlanner | undefined;
  private nextPreemptionsAt: clock.Milliseconds = 0;
  private passNumber = 1;

  constructor(
    workers: workerTable.WorkerTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly adviceCache: adviceCache.AdviceCache,
    private readonly reliability: workerReliability.WorkerReliability,
    dispatcher: dispatcher.Dispatcher,
    private readonly listener: PlacerListener,
  ) {
    this.starter = new taskStarter.TaskStarter(dispatcher, listener);
    this.workers = new schedulableWorkers.SchedulableWorkers(workers);
  }

  /** Reads the state of the workers; called at the start of a slice. */
  refreshWorkers(now: clock.Milliseconds): void {
    this.workers.refresh(now);
  }

  /** Returns the capacity of a service's workers, in thousandths of a core. */
  processorsOf(service: string): number {
    return this.workers.processorsOf(service);
  }

  /** Returns whether a service is far from short of room. */
  hasRoom(service: string): boolean {
    return this.workers.hasRoom(service);
  }

  /**
   * Returns whether a step that waits was considered with the tickets that it
   * has now, so that it waits for room or for other tickets.
   */
  hasConsidered(step: stepInstance.StepInstance): boolean {
    const known = this.examinations.get(step);
    return known?.result.adviceVersion === this.adviceCache.versionOf(step);
  }

  /** Forgets a step that no longer waits. */
  forget(step: stepInstance.StepInstance): void {
    const known = this.examinations.get(step);
    if (known === undefined) return;
    this.examinations.delete(step);
    this.logFreed(known.result.reservedOn);
  }

  /**
   * Places the tasks that fit now, in the order of `waiting`, until the budget
   * ends.
   */
  placeSlice(
    waiting: ReadonlyArray<stepOrdering.PrioritizedStep>,
    now: clock.Milliseconds,
    budget: sliceBudget.SliceBudget,
  ): placementSlice.SliceResult {
    this.beginPreemptions(now);
    const slice = new placementSlice.PlacementSlice(
      now,
      budget,
      this.adviceCache,
    );
    for (const prioritized of waiting) {
      this.considerInPass(prioritized, slice);
      if (slice.isInterrupted) break;
    }
    slice.reservation.release();
    if (!slice.isInterrupted) this.endPass();
    return slice;
  }

  /** Requests tickets before steps are ready, so that they need not wait. */
  prefetchAdvice(
    upcoming: Iterable<stepOrdering.WaitingStep>,
    now: clock.Milliseconds,
  ): void {
    const requester = new adviceRequester.AdviceRequester(this.adviceCache);
    for (const {step, queue} of upcoming) {
      if (queue.advice === undefined) continue;
      const workers = this.workers.ofService(queue.service);
      requester.prefetch(step, queue.advice, workers, now);
    }
  }

  /**
   * Returns whether a task of a step could be started now. If it could not and
   * the queue needs tickets, requests some.
   */
  prepareStart(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): boolean {
    const workers = this.workers
      .ofService(queue.service)
      .filter(worker => workerSelection.isSchedulable(worker, now));
    const facts = this.factsFor(step, queue, now);
    const ranking = new workerRanking.WorkerRanking(step, workers, facts);
    if (ranking.select() !== undefined) return true;
    if (queue.advice !== undefined) {
      const requester = new adviceRequester.AdviceRequester(this.adviceCache);
      requester.request(step, queue.advice, workers, facts, now);
    }
    return false;
  }

  /** Starts a task on a worker if that can take it now. */
  startOn(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): boolean {
    const {step} = task;
    if (this.listener.remainingQuota(step) === 0) return false;
    const facts = this.factsFor(step, queue, now);
    const isUsable =
      workerSelection.isSchedulable(worker, now) &&
      workerSelection.isEligible(worker, step.definition, facts);
    const ticket = isUsable ? facts.ticketFor(worker) : undefined;
    if (ticket === undefined) return false;
    this.starter.startOn(task, {worker, ticket: ticket || undefined});
    return true;
  }

  /** Returns a log summary of why tasks of a step still wait. */
  explain(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): string {
    const schedulable = this.workers.ofService(queue.service);
    const facts = this.factsFor(step, queue, now);
    const eligible = schedulable.filter(worker =>
      workerSelection.isEligible(worker, step.definition, facts),
    );
    const advice = queue.advice
      ? this.adviceCache.describe(step, now)
      : 'no advice';
    const total = Math.max(this.workers.processorsOf(queue.service), 1);
    const free = Math.round((100 * freeProcessors(schedulable)) / total);
    return `open=${schedulable.length} free=${free}% eligible=${eligible.length} ${advice}`;
  }

  private beginPreemptions(now: clock.Milliseconds): void {
    const hasExpired = this.preemptions?.hasExpired(now) === true;
    if (hasExpired) this.preemptions = undefined;
    if (this.preemptions !== undefined || now < this.nextPreemptionsAt) return;
    if (this.assignmentIndex.preemptibleCount === 0) return;
    this.preemptions = new preemptionPlanner.PreemptionPlanner(now);
    this.nextPreemptionsAt = now + PREEMPTION_INTERVAL_MS;
  }

  private endPass(): void {
    this.passNumber += 1;
    this.preemptions = undefined;
  }

  /** Considers a step if the slice still allows it. */
  private considerInPass(
    prioritized: stepOrdering.PrioritizedStep,
    slice: placementSlice.PlacementSlice,
  ): void {
    const {step, queue} = prioritized;
    const workers = this.workers.ofService(queue.service);
    if (workers.length === 0) return;
    const known = this.examinations.get(step);
    if (known?.passNumber !== this.passNumber) {
      if (slice.advance()) this.considerStep(prioritized, workers, slice);
      return;
    }
    const {adviceVersion, reservedOn} = known.result;
    const hasNewTickets = adviceVersion !== this.adviceCache.versionOf(step);
    if (slice.mayRepeat(hasNewTickets)) {
      slice.repeat(() => this.considerStep(prioritized, workers, slice));
      return;
    }
    const isRestored = slice.reservation.restoreFitting(step, reservedOn);
    const hasChanged = known.changeVersion !== this.workers.version;
    if (hasChanged || hasNewTickets || !isRestored) slice.postpone();
  }

  private considerStep(
    prioritized: stepOrdering.PrioritizedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    slice: placementSlice.PlacementSlice,
  ): void {
    const {step, urgency} = prioritized;
    const known = this.examinations.get(step);
    if (known === undefined) {
      this.examineStep(prioritized, workers, slice, undefined);
      return;
    }
    known.passNumber = this.passNumber;
    if (known.rank !== urgency.rank) {
      known.rank = urgency.rank;
      // Steps that have become more urgent than this one may use the capacity.
      this.logFreed(known.result.reservedOn);
    }
    const candidates = this.findCandidates(prioritized, known, workers, slice);
    if (candidates.length > 0) {
      this.examineStep(prioritized, candidates, slice, known);
    } else if (!slice.reservation.restore(step, known.result.reservedOn)) {
      this.examineStep(prioritized, workers, slice, known);
    } else {
      this.planPreemptions(prioritized, workers, slice);
    }
  }

  /** Returns the workers to examine for a step that was examined before. */
  private findCandidates(
    {step, queue}: stepOrdering.PrioritizedStep,
    known: stepExamination.StepExamination,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    slice: placementSlice.PlacementSlice,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const {result} = known;
    const isCurrent =
      result.queue === queue &&
      result.waitingCount >= step.waitingTaskCount &&
      result.adviceVersion === this.adviceCache.versionOf(step) &&
      result.expiresAt > slice.now &&
      !(result.isQuotaBound && this.listener.remainingQuota(step) > 0) &&
      result.reservedOn.every(worker => this.workers.has(worker));
    if (!isCurrent) return workers;
    const {changeVersion} = known;
    const changed = this.workers.changedSince(changeVersion, queue.service);
    if (changed === undefined) return workers;
    slice.budget.spend(changed.length);
    const usable = changed.filter(worker =>
      workerSelection.hasFreeCapacity(worker, step.definition),
    );
    if (usable.length > 0 && step.definition.gang) return workers;
    const {advice} = queue;
    if (advice !== undefined) {
      known.lacksTickets ||= usable.some(worker =>
        this.adviceCache.lacksTicket(step, worker, slice.now),
      );
      const mayRequest =
        known.lacksTickets && slice.adviceRequester.canRequest(step, advice);
      if (mayRequest) return workers;
    }
    const candidates =
      advice === undefined || lacksReservations(step, known)
        ? usable
        : usable.filter(worker => this.hasTicket(step, worker, slice.now));
    if (candidates.length === 0) known.changeVersion = this.workers.version;
    return candidates;
  }

  private workersWithTicket(
    step: stepInstance.StepInstance,
    now: clock.Milliseconds,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    return this.adviceCache
      .workersWithTicket(step, now)
      .filter(worker => this.workers.has(worker));
  }

  private hasTicket(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): boolean {
    return this.adviceCache.ticketFor(step, worker, now) !== undefined;
  }

  private examineStep(
    prioritized: stepOrdering.PrioritizedStep,
    candidates: ReadonlyArray<remoteWorker.RemoteWorker>,
    slice: placementSlice.PlacementSlice,
    known: stepExamination.StepExamination | undefined,
  ): void {
    const {step, queue, urgency} = prioritized;
    const workers = this.workers.ofService(queue.service);
    const changeVersion = this.workers.version;
    const adviceVersion = this.adviceCache.versionOf(step);
    const facts = this.factsFor(step, queue, slice.now);
    const startable = queue.advice
      ? this.workersWithTicket(step, slice.now)
      : candidates;
    slice.budget.spend(startable.length);
    slice.examinedCount += 1;
    const outcome = this.starter.start(step, startable, facts, slice.budget);
    if (outcome === 'interrupted') slice.interrupt();
    if (outcome !== 'waiting') {
      this.forget(step);
      return;
    }
    this.planPreemptions(prioritized, workers, slice);
    const isPartial = known !== undefined && candidates.length < workers.length;
    const result = {
      queue,
      waitingCount: step.waitingTaskCount,
      isQuotaBound: this.listener.remainingQuota(step) < step.waitingTaskCount,
      adviceVersion,
      expiresAt: isPartial
        ? known.result.expiresAt
        : this.examinationExpiry(step, slice.now),
      ...this.reserveForTickets(prioritized, workers, facts, slice),
    };
    this.examinations.set(
      step,
      new stepExamination.StepExamination(
        result,
        urgency.rank,
        changeVersion,
        this.passNumber,
      ),
    );
    const stillReserved = new Set(result.reservedOn);
    const reservedBefore = known?.result.reservedOn ?? [];
    this.logFreed(reservedBefore.filter(worker => !stillReserved.has(worker)));
  }

  /** Requests the tickets that a step lacks, and reserves capacity meanwhile. */
  private reserveForTickets(
    {step, queue}: stepOrdering.PrioritizedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
    slice: placementSlice.PlacementSlice,
  ): stepExamination.TicketWait {
    const {advice} = queue;
    const remainingCount = this.listener.remainingQuota(step);
    if (advice === undefined || remainingCount === 0) {
      return stepExamination.NO_TICKET_WAIT;
    }
    const {adviceRequester, budget, reservation} = slice;
    budget.spend(workers.length);
    const eligible = adviceRequester.request(
      step,
      advice,
      workers,
      facts,
      slice.now,
    );
    const count = Math.min(step.waitingTaskCount, remainingCount);
    const reservedOn = reservation.reserve(step, count, eligible, facts);
    return {lacksTickets: eligible.length > 0, reservedOn};
  }

  private examinationExpiry(
    step: stepInstance.StepInstance,
    now: clock.Milliseconds,
  ): clock.Milliseconds {
    return Math.min(
      now + EXAMINATION_LIFETIME_MS,
      this.adviceCache.nextExpiryAt(step, now),
    );
  }

  /** Logs workers on which reserved capacity has become free. */
  private logFreed(workers: ReadonlyArray<remoteWorker.RemoteWorker>): void {
    for (const worker of workers) this.workers.logChange(worker);
  }

  private planPreemptions(
    {step, queue, urgency}: stepOrdering.PrioritizedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    slice: placementSlice.PlacementSlice,
  ): void {
    if (!urgency.onTime || step.definition.gang) return;
    if (this.preemptions?.needsPlan(step, queue) !== true) return;
    const count = Math.min(
      step.waitingTaskCount,
      this.listener.remainingQuota(step),
    );
    if (count === 0) return;
    slice.budget.spend(workers.length);
    const victims = this.preemptions.planVictims(
      step,
      queue,
      count,
      workers,
      this.factsFor(step, queue, slice.now),
    );
    for (const victim of victims) this.listener.preempt(victim, step);
  }

  private factsFor(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): preemptionPlanner.PreemptionFacts {
    return {
      ticketFor: worker =>
        queue.advice ? this.adviceCache.ticketFor(step, worker, now) : '',
      countRunsOfStep: worker =>
        this.assignmentIndex.countRunsOfStep(worker, step),
      countServingRuns: worker => this.assignmentIndex.countServingRuns(worker),
      countIdleCapacityRuns: worker =>
        this.assignmentIndex.countIdleCapacityRuns(worker),
      mayHoldForeignLeases: worker => worker.foreignLeases(now) !== 'none',
      failureProbability: worker => this.reliability.failureProbability(worker),
      runsOn: worker => this.assignmentIndex.runsOn(worker),
      priorityOf: other => this.listener.priorityOf(other),
    };
  }
}

/**
 * Returns whether capacity that becomes free is to be reserved for a step until
 * its tickets are there.
 */
function lacksReservations(
  step: stepInstance.StepInstance,
  known: stepExamination.StepExamination,
): boolean {
  const reservedCount = known.result.reservedOn.length;
  return known.lacksTickets && reservedCount < step.waitingTaskCount;
}

/** Returns the free processors of all workers, in thousandths of a core. */
function freeProcessors(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): number {
  return workers.reduce((sum, worker) => sum + worker.free.processors, 0);
}

/** Returns how long before a step is ready its advice is requested. */
export function adviceLeadMs(timing: job.AdviceTiming): number {
  return adviceCache.longestAdviceCallMs(timing) + ADVICE_LEAD_MARGIN_MS;
}
