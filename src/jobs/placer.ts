import * as adviceBook from './advice_book.js';
import * as gangPlan from './gang_plan.js';
import * as placement from './placement.js';
import * as pledges from './pledges.js';
import * as preemption from './preemption.js';
import * as workOrder from './work_order.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as task from './task.js';
import type * as workerBook from './worker_book.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Lead time with which advice for a later step is asked for. */
const ADVICE_LEAD_MS = 300;

/** What a pass works on. */
export interface PassInput {
  readonly waiting: ReadonlyArray<workOrder.WaitingStep>;
  /** Steps whose turn comes soon. */
  readonly upcoming: ReadonlyArray<workOrder.WaitingStep>;
  readonly now: clock.Milliseconds;
}

/** Answers what a placer must know of tasks, and hears what it does. */
export interface PlacerListener {
  /** Number of a task's next run. */
  nextRun(target: task.Task): number;
  /** Expected runtime of a step's tasks. */
  predict(step: stepInstance.StepInstance): number;
  /** Priority of a step's queue; 0 is the most urgent. */
  priorityOf(step: stepInstance.StepInstance): number;
  /** Stops a run, which resumes from its checkpoint, for a more urgent task. */
  interrupt(victim: task.Assignment, urgent: stepInstance.StepInstance): void;
  /** Tasks of a step were started; `left` of them still wait. */
  placed(step: stepInstance.StepInstance, count: number, left: number): void;
}

/** Gives waiting tasks their workers. */
export class Placer {
  constructor(
    private readonly workers: workerBook.WorkerBook,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly advice: adviceBook.AdviceBook,
    private readonly trust: workerReliability.WorkerReliability,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: PlacerListener,
  ) {}

  /** Places what has room now, most urgent first. */
  pass(input: PassInput): void {
    const open = this.openWorkers(input.now);
    const interrupting = new preemption.Preemption(input.now);
    const pledged = new pledges.Pledges();
    for (const rated of workOrder.orderSteps(
      input.waiting,
      input.now,
      step => this.listener.predict(step),
      service => processorsOf(open.get(service) ?? []),
    )) {
      const workers = open.get(rated.queue.service) ?? [];
      if (workers.length === 0) continue;
      this.placeStep(rated, workers, interrupting, pledged, input.now);
    }
    pledged.release();
    for (const {step, queue} of input.upcoming) {
      const workers = open.get(queue.service) ?? [];
      this.askAhead(step, queue, workers, input.now);
    }
  }

  /**
   * Tells whether a task of a step could be started now; where a ticket is
   * missing, asks for one.
   */
  prepare(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): boolean {
    const workers = this.openWorkers(now).get(queue.service) ?? [];
    const facts = this.factsFor(step, queue, now);
    if (placement.pickWorker(step, workers, facts) !== undefined) return true;
    if (queue.advice !== undefined) {
      this.ask(step, queue.advice, workers, facts);
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
      placement.isEligible(worker, step.definition, facts),
    );
    const advice = queue.advice ? this.advice.describe(step, now) : 'no advice';
    const free = Math.round(100 * freeShare(open));
    return `open=${open.length} free=${free}% eligible=${eligible.length} ${advice}`;
  }

  private openWorkers(
    now: clock.Milliseconds,
  ): ReadonlyMap<string, ReadonlyArray<remoteWorker.RemoteWorker>> {
    const open = new Map<string, remoteWorker.RemoteWorker[]>();
    for (const worker of this.workers.all()) {
      if (!placement.isOpen(worker, now)) continue;
      const {service} = worker.entry;
      const ofService = open.get(service);
      if (ofService === undefined) open.set(service, [worker]);
      else ofService.push(worker);
    }
    return open;
  }

  private placeStep(
    {step, queue, urgency}: workOrder.RatedStep,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    interrupting: preemption.Preemption,
    pledged: pledges.Pledges,
    now: clock.Milliseconds,
  ): void {
    const facts = this.factsFor(step, queue, now);
    const placed = step.definition.gang
      ? this.placeGang(step, workers, facts)
      : this.placeTasks(step, workers, facts);
    if (placed) return;
    const count = step.tasks.filter(target => target.waiting).length;
    if (urgency.onTime && !step.definition.gang) {
      const victims = interrupting.planVictims(
        step,
        queue,
        count,
        workers,
        facts,
      );
      for (const victim of victims) this.listener.interrupt(victim, step);
    }
    if (queue.advice !== undefined) {
      const candidates = this.ask(step, queue.advice, workers, facts);
      pledged.pledge(step, count, candidates, facts);
    }
  }

  /** Returns whether no task of the step waits any more. */
  private placeTasks(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: placement.WorkerFacts,
  ): boolean {
    let placed = 0;
    let left = 0;
    for (const target of step.tasks) {
      if (!target.waiting) continue;
      const place =
        left === 0 ? placement.pickWorker(step, workers, facts) : undefined;
      if (place === undefined) {
        left += 1;
        continue;
      }
      this.dispatcher.start(target, place, this.listener.nextRun(target));
      placed += 1;
    }
    if (placed > 0) this.listener.placed(step, placed, left);
    return left === 0;
  }

  private placeGang(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: placement.WorkerFacts,
  ): boolean {
    // Members of an earlier run must be gone before the next run starts.
    if (!step.tasks.every(target => target.waiting)) return true;
    const plan = gangPlan.planGang(step, workers, facts);
    if (plan === undefined) return false;
    const run = Math.max(
      ...step.tasks.map(target => this.listener.nextRun(target)),
    );
    for (const [index, place] of plan.entries()) {
      this.dispatcher.start(step.tasks[index], place, run);
    }
    this.listener.placed(step, plan.length, 0);
    return true;
  }

  private factsFor(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    now: clock.Milliseconds,
  ): preemption.PreemptionFacts {
    return {
      ticket: worker =>
        queue.advice ? this.advice.ticketFor(step, worker, now) : '',
      tasksOfStep: worker => this.index.countOfStep(worker, step),
      servingTasks: worker => this.index.servingTasks(worker),
      idleCapacityTasks: worker => this.index.idleCapacityTasks(worker),
      suspicion: worker => this.trust.failureProbability(worker),
      runsOn: worker => this.index.of(worker),
      priorityOf: other => this.listener.priorityOf(other),
    };
  }

  /**
   * Asks about workers without a ticket, if that may be done. Returns those with
   * room, on which the step may find its place.
   */
  private ask(
    step: stepInstance.StepInstance,
    terms: job.AdviceTerms,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: placement.WorkerFacts,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const {definition} = step;
    const withRoom: remoteWorker.RemoteWorker[] = [];
    const others: remoteWorker.RemoteWorker[] = [];
    for (const worker of workers) {
      if (this.advice.mayRun(step, worker) === false) continue;
      if (!placement.fitsEmpty(worker, definition)) continue;
      if (facts.ticket(worker) !== undefined) continue;
      const eligible = placement.isEligible(worker, definition, facts);
      (eligible ? withRoom : others).push(worker);
    }
    if (this.advice.mayAsk(step, terms)) {
      this.advice.ask(
        step,
        terms,
        bestFirst(definition, withRoom),
        bestFirst(definition, others),
      );
    }
    return withRoom;
  }

  /** Asks before the turn of a step comes, so that it need not wait. */
  private askAhead(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    now: clock.Milliseconds,
  ): void {
    const {advice} = queue;
    if (advice === undefined || !this.advice.mayAsk(step, advice)) return;
    const {definition} = step;
    const candidates = workers.filter(worker =>
      placement.fitsEmpty(worker, definition),
    );
    if (candidates.some(worker => this.advice.ticketFor(step, worker, now))) {
      return;
    }
    this.advice.ask(step, advice, bestFirst(definition, candidates), []);
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
function freeShare(workers: ReadonlyArray<remoteWorker.RemoteWorker>): number {
  const free = workers.reduce((sum, worker) => sum + worker.free.processors, 0);
  return free / Math.max(processorsOf(workers), 1);
}

/** Time before a step's turn at which its advice is asked for. */
export function adviceLeadMs(terms: job.AdviceTerms): number {
  return adviceBook.adviceTimeMs(terms) + ADVICE_LEAD_MS;
}

/** Workers near the data first, then those with the most room. */
function bestFirst(
  step: job.Step,
  workers: ReadonlyArray<remoteWorker.RemoteWorker>,
): ReadonlyArray<remoteWorker.RemoteWorker> {
  const near = (worker: remoteWorker.RemoteWorker): number =>
    step.dataRack !== undefined && worker.rack === step.dataRack ? 1 : 0;
  return [...workers].sort(
    (left, right) =>
      near(right) - near(left) || right.free.processors - left.free.processors,
  );
}
