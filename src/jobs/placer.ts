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

/** Lead time with which advice for a later step is asked for. */
const ADVICE_LEAD_MS = 300;

/** What a pass works on. */
export interface PassInput {
  readonly waiting: ReadonlyArray<stepOrdering.WaitingStep>;
  /** Steps whose turn comes soon. */
  readonly upcoming: ReadonlyArray<stepOrdering.WaitingStep>;
  readonly now: clock.Milliseconds;
}

/** Answers what a placer must know of tasks, and hears what it does. */
export interface PlacerListener {
  /** Number of a task's next run. */
  nextRun(task: jobTask.JobTask): number;
  /** Expected runtime of a step's tasks. */
  predictMs(step: stepInstance.StepInstance): number;
  /** Priority of a step's queue; 0 is the most urgent. */
  priorityOf(step: stepInstance.StepInstance): number;
  /** Stops a run, which resumes from its checkpoint, for a more urgent task. */
  interrupt(
    victim: jobTask.Assignment,
    urgent: stepInstance.StepInstance,
  ): void;
  /** Tasks of a step were started; `left` of them still wait. */
  tasksPlaced(
    step: stepInstance.StepInstance,
    count: number,
    left: number,
  ): void;
}

/** Gives waiting tasks their workers. */
export class Placer {
  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly adviceCache: adviceCache.AdviceCache,
    private readonly trust: workerReliability.WorkerReliability,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: PlacerListener,
  ) {}

  /** Places what has room now, most urgent first. */
  runPass(input: PassInput): void {
    const open = this.openWorkers(input.now);
    const preemptions = new preemptionPlanner.PreemptionPlanner(input.now);
    const ticketReservation = new ticketWaitReservation.TicketWaitReservation();
    for (const rated of stepOrdering.sortByUrgency(
      input.waiting,
      input.now,
      step => this.listener.predictMs(step),
      service => processorsOf(open.get(service) ?? []),
    )) {
      const workers = open.get(rated.queue.service) ?? [];
      if (workers.length === 0) continue;
      this.placeStep(rated, workers, preemptions, ticketReservation, input.now);
    }
    ticketReservation.release();
    for (const {step, queue} of input.upcoming) {
      const workers = open.get(queue.service) ?? [];
      this.prefetchAdvice(step, queue, workers, input.now);
    }
  }

  /**
   * Tells whether a task of a step could be started now; where a ticket is
   * missing, asks for one.
   */
  prepareStart(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): boolean {
    const workers = this.openWorkers(now).get(queue.service) ?? [];
    const facts = this.factsFor(step, queue, now);
    if (workerSelection.selectWorker(step, workers, facts) !== undefined) {
      return true;
    }
    if (queue.advice !== undefined) {
      this.requestAdvice(step, queue.advice, workers, facts);
    }
    return false;
  }

  /** Says why tasks of a step still wait. */
  explain(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): string {
    const open = this.openWorkers(now).get(queue.service) ?? [];
    const facts = this.factsFor(step, queue, now);
    const eligible = open.filter(worker =>
      workerSelection.isEligible(worker, step.definition, facts),
    );
    const advice = queue.advice
      ? this.adviceCache.describe(step, now)
      : 'no advice';
    const free = Math.round(100 * freeProcessorShare(open));
    return `open=${open.length} free=${free}% eligible=${eligible.length} ${advice}`;
  }

  private openWorkers(
    now: clock.Milliseconds,
  ): ReadonlyMap<string, ReadonlyArray<remoteWorker.RemoteWorker>> {
    const open = new Map<string, remoteWorker.RemoteWorker[]>();
    for (const worker of this.workers.all()) {
      if (!workerSelection.isSchedulable(worker, now)) continue;
      const {service} = worker.entry;
      const ofService = open.get(service);
      if (ofService === undefined) open.set(service, [worker]);
      else ofService.push(worker);
    }
    return open;
  }

  private placeStep(
    {step, queue, urgency}: stepOrdering.PrioritizedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    preemptions: preemptionPlanner.PreemptionPlanner,
    ticketReservation: ticketWaitReservation.TicketWaitReservation,
    now: clock.Milliseconds,
  ): void {
    const facts = this.factsFor(step, queue, now);
    const placed = step.definition.gang
      ? this.placeGang(step, workers, facts)
      : this.placeTasks(step, workers, facts);
    if (placed) return;
    const count = step.tasks.filter(task => task.waiting).length;
    if (urgency.onTime && !step.definition.gang) {
      const victims = preemptions.planVictims(
        step,
        queue,
        count,
        workers,
        facts,
      );
      for (const victim of victims) this.listener.interrupt(victim, step);
    }
    if (queue.advice !== undefined) {
      const candidates = this.requestAdvice(step, queue.advice, workers, facts);
      ticketReservation.reserve(step, count, candidates, facts);
    }
  }

  /** Returns whether no task of the step waits any more. */
  private placeTasks(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): boolean {
    let placed = 0;
    let left = 0;
    for (const task of step.tasks) {
      if (!task.waiting) continue;
      const selected =
        left === 0
          ? workerSelection.selectWorker(step, workers, facts)
          : undefined;
      if (selected === undefined) {
        left += 1;
        continue;
      }
      this.dispatcher.start(task, selected, this.listener.nextRun(task));
      placed += 1;
    }
    if (placed > 0) this.listener.tasksPlaced(step, placed, left);
    return left === 0;
  }

  private placeGang(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): boolean {
    // Members of an earlier run must be gone before the next run starts.
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
      countTasksOfStep: worker => this.index.countTasksOfStep(worker, step),
      countServingTasks: worker => this.index.countServingTasks(worker),
      countIdleCapacityTasks: worker =>
        this.index.countIdleCapacityTasks(worker),
      suspicion: worker => this.trust.failureProbability(worker),
      runsOn: worker => this.index.runsOn(worker),
      priorityOf: other => this.listener.priorityOf(other),
    };
  }

  /**
   * Asks about workers without a ticket, if that may be done. Returns those with
   * room, on which the step may find its place.
   */
  private requestAdvice(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const {definition} = step;
    const withRoom: remoteWorker.RemoteWorker[] = [];
    const others: remoteWorker.RemoteWorker[] = [];
    for (const worker of workers) {
      if (this.adviceCache.mayRun(step, worker) === false) continue;
      if (!workerSelection.fitsTotalCapacity(worker, definition)) continue;
      if (facts.ticketFor(worker) !== undefined) continue;
      const eligible = workerSelection.isEligible(worker, definition, facts);
      (eligible ? withRoom : others).push(worker);
    }
    if (this.adviceCache.canRequest(step, timing)) {
      this.adviceCache.request(
        step,
        timing,
        sortByPreference(definition, withRoom),
        sortByPreference(definition, others),
      );
    }
    return withRoom;
  }

  /** Asks before the turn of a step comes, so that it need not wait. */
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

/** Thousandths of cores of all workers together. */
function processorsOf(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): number {
  return workers.reduce(
    (sum, worker) => sum + worker.entry.capacity.processors,
    0,
  );
}

/** Part of the workers' processors that is free, from 0 to 1. */
function freeProcessorShare(
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): number {
  const free = workers.reduce((sum, worker) => sum + worker.free.processors, 0);
  return free / Math.max(processorsOf(workers), 1);
}

/** Time before a step's turn at which its advice is asked for. */
export function adviceLeadMs(timing: job.AdviceTiming): number {
  return adviceCache.longestAdviceCallMs(timing) + ADVICE_LEAD_MS;
}

/** Workers near the data first, then those with the most room. */
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
