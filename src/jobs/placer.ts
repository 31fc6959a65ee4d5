import * as adviceCache from './advice_cache.js';
import * as gangPlan from './gang_plan.js';
import * as workerSelection from './worker_selection.js';
import * as ticketWaitReservation from './ticket_wait_reservation.js';
import * as preemptionPlanner from './preemption_planner.js';
import * as stepOrdering from './step_ordering.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';
import type * as workerTable from './worker_table.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Additional lead time of advice requests for upcoming steps. */
const ADVICE_LEAD_MARGIN_MS = 300;

/** Input of one placement pass. */
export interface PassInput {
  readonly waiting: ReadonlyArray<stepOrdering.WaitingStep>;
  /** Steps that are expected to become ready soon. */
  readonly upcoming: ReadonlyArray<stepOrdering.WaitingStep>;
  readonly now: clock.Milliseconds;
}

/** Answers a placer's queries about tasks, and receives its decisions. */
export interface PlacerListener {
  /** Returns the number of a task's next run. */
  nextRun(task: jobTask.JobTask): number;
  /** Returns the expected runtime of a step's tasks. */
  predictMs(step: stepInstance.StepInstance): number;
  /** Returns the priority of a step's queue; 0 is the most urgent. */
  priorityOf(step: stepInstance.StepInstance): number;
  /** Preempts a run for a more urgent step; it resumes from its checkpoint. */
  preempt(victim: jobTask.Assignment, urgent: stepInstance.StepInstance): void;
  /** Receives how many tasks of a step were started and how many still wait. */
  tasksPlaced(
    step: stepInstance.StepInstance,
    count: number,
    waitingCount: number,
  ): void;
}

/** Places waiting tasks on workers. */
export class Placer {
  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly adviceCache: adviceCache.AdviceCache,
    private readonly reliability: workerReliability.WorkerReliability,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: PlacerListener,
  ) {}

  /** Places the tasks that fit now, most urgent first. */
  runPass(input: PassInput): void {
    const schedulable = this.schedulableWorkers(input.now);
    const preemptions = new preemptionPlanner.PreemptionPlanner(input.now);
    const ticketReservation = new ticketWaitReservation.TicketWaitReservation();
    for (const prioritized of stepOrdering.sortByUrgency(
      input.waiting,
      input.now,
      step => this.listener.predictMs(step),
      service => processorsOf(schedulable.get(service) ?? []),
    )) {
      const workers = schedulable.get(prioritized.queue.service) ?? [];
      if (workers.length === 0) continue;
      this.placeStep(
        prioritized,
        workers,
        preemptions,
        ticketReservation,
        input.now,
      );
    }
    ticketReservation.release();
    for (const {step, queue} of input.upcoming) {
      const workers = schedulable.get(queue.service) ?? [];
      this.prefetchAdvice(step, queue, workers, input.now);
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
    const workers = this.schedulableWorkers(now).get(queue.service) ?? [];
    const facts = this.factsFor(step, queue, now);
    if (workerSelection.selectWorker(step, workers, facts) !== undefined) {
      return true;
    }
    if (queue.advice !== undefined) {
      this.requestAdvice(step, queue.advice, workers, facts);
    }
    return false;
  }

  /** Returns a log summary of why tasks of a step still wait. */
  explain(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): string {
    const schedulable = this.schedulableWorkers(now).get(queue.service) ?? [];
    const facts = this.factsFor(step, queue, now);
    const eligible = schedulable.filter(worker =>
      workerSelection.isEligible(worker, step.definition, facts),
    );
    const advice = queue.advice
      ? this.adviceCache.describe(step, now)
      : 'no advice';
    const free = Math.round(100 * freeProcessorShare(schedulable));
    return `open=${schedulable.length} free=${free}% eligible=${eligible.length} ${advice}`;
  }

  private schedulableWorkers(
    now: clock.Milliseconds,
  ): ReadonlyMap<string, ReadonlyArray<remoteWorker.RemoteWorker>> {
    const byService = new Map<string, remoteWorker.RemoteWorker[]>();
    for (const worker of this.workers.all()) {
      if (!workerSelection.isSchedulable(worker, now)) continue;
      const {service} = worker.entry;
      const ofService = byService.get(service);
      if (ofService === undefined) byService.set(service, [worker]);
      else ofService.push(worker);
    }
    return byService;
  }

  private placeStep(
    {step, queue, urgency}: stepOrdering.PrioritizedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    preemptions: preemptionPlanner.PreemptionPlanner,
    ticketReservation: ticketWaitReservation.TicketWaitReservation,
    now: clock.Milliseconds,
  ): void {
    const facts = this.factsFor(step, queue, now);
    const allPlaced = step.definition.gang
      ? this.placeGang(step, workers, facts)
      : this.placeTasks(step, workers, facts);
    if (allPlaced) return;
    const waitingCount = step.tasks.filter(task => task.waiting).length;
    if (urgency.onTime && !step.definition.gang) {
      const victims = preemptions.planVictims(
        step,
        queue,
        waitingCount,
        workers,
        facts,
      );
      for (const victim of victims) this.listener.preempt(victim, step);
    }
    if (queue.advice !== undefined) {
      const candidates = this.requestAdvice(step, queue.advice, workers, facts);
      ticketReservation.reserve(step, waitingCount, candidates, facts);
    }
  }

  /** Starts the tasks that fit; returns whether none is left waiting. */
  private placeTasks(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): boolean {
    let placedCount = 0;
    let waitingCount = 0;
    for (const task of step.tasks) {
      if (!task.waiting) continue;
      const selected =
        waitingCount === 0
          ? workerSelection.selectWorker(step, workers, facts)
          : undefined;
      if (selected === undefined) {
        waitingCount += 1;
        continue;
      }
      this.dispatcher.start(task, selected, this.listener.nextRun(task));
      placedCount += 1;
    }
    if (placedCount > 0) {
      this.listener.tasksPlaced(step, placedCount, waitingCount);
    }
    return waitingCount === 0;
  }

  private placeGang(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): boolean {
    // Members of an earlier run must have ended before the next run starts.
    if (!step.tasks.every(task => task.waiting)) return true;
    const plan = gangPlan.planGang(step, workers, facts);
    if (plan === undefined) return false;
    const run = Math.max(
      ...step.tasks.map(task => this.listener.nextRun(task)),
    );
    for (const [index, selected] of plan.entries()) {
      this.dispatcher.start(step.tasks[index], selected, run);
    }
    this.listener.tasksPlaced(step, plan.length, 0);
    return true;
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
      failureProbability: worker => this.reliability.failureProbability(worker),
      runsOn: worker => this.assignmentIndex.runsOn(worker),
      priorityOf: other => this.listener.priorityOf(other),
    };
  }

  /**
   * Requests tickets for workers that lack one, if a call may be sent. Returns
   * those of them that are eligible apart from the ticket.
   */
  private requestAdvice(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const {definition} = step;
    const eligible: remoteWorker.RemoteWorker[] = [];
    const others: remoteWorker.RemoteWorker[] = [];
    for (const worker of workers) {
      if (this.adviceCache.mayRun(step, worker) === false) continue;
      if (!workerSelection.fitsTotalCapacity(worker, definition)) continue;
      if (facts.ticketFor(worker) !== undefined) continue;
      const isEligible = workerSelection.isEligible(worker, definition, facts);
      (isEligible ? eligible : others).push(worker);
    }
    if (this.adviceCache.canRequest(step, timing)) {
      this.adviceCache.request(
        step,
        timing,
        sortByPreference(definition, eligible),
        sortByPreference(definition, others),
      );
    }
    return eligible;
  }

  /** Requests tickets before a step is ready, so that it need not wait. */
  private prefetchAdvice(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    now: clock.Milliseconds,
  ): void {
    const {advice} = queue;
    if (advice === undefined || !this.adviceCache.canRequest(step, advice)) {
      return;
    }
    const {definition} = step;
    const candidates = workers.filter(worker =>
      workerSelection.fitsTotalCapacity(worker, definition),
    );
    if (
      candidates.some(worker => this.adviceCache.ticketFor(step, worker, now))
    ) {
      return;
    }
    this.adviceCache.request(
      step,
      advice,
      sortByPreference(definition, candidates),
      [],
    );
  }
}

/** Returns the capacity of all workers, in thousandths of a core. */
function processorsOf(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): number {
  return workers.reduce(
    (sum, worker) => sum + worker.entry.capacity.processors,
    0,
  );
}

/** Returns the free share of the workers' processors, from 0 to 1. */
function freeProcessorShare(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): number {
  const free = workers.reduce((sum, worker) => sum + worker.free.processors, 0);
  return free / Math.max(processorsOf(workers), 1);
}

/** Returns how long before a step is ready its advice is requested. */
export function adviceLeadMs(timing: job.AdviceTiming): number {
  return adviceCache.longestAdviceCallMs(timing) + ADVICE_LEAD_MARGIN_MS;
}

/** Sorts workers: those near the data first, then by free processors. */
function sortByPreference(
  step: job.Step,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): ReadonlyArray<remoteWorker.RemoteWorker> {
  const dataLocality = (worker: remoteWorker.RemoteWorker): number =>
    step.dataRack !== undefined && worker.rack === step.dataRack ? 1 : 0;
  return [...workers].sort(
    (left, right) =>
      dataLocality(right) - dataLocality(left) ||
      right.free.processors - left.free.processors,
  );
}
