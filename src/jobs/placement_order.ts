import * as stepOrdering from './step_ordering.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as sliceBudget from './slice_budget.js';
import type * as stepInstance from './step_instance.js';

/** Time after which a step's urgency is computed again. */
const URGENCY_LIFETIME_MS = 500;

/** Most urgencies that one turn computes again. */
const MAXIMUM_REFRESHES_PER_TURN = 200;

/** Cost of computing an urgency, in units of the slice's budget. */
const URGENCY_UNITS = 10;

/** Returns the urgency of a step's job. */
export type UrgencySource = (
  waiting: stepOrdering.WaitingStep,
  now: clock.Milliseconds,
) => stepOrdering.Urgency;

class OrderedStep implements stepOrdering.PrioritizedStep {
  /** Number of the update that last found the step waiting. */
  lastUpdate = 0;

  constructor(
    readonly step: stepInstance.StepInstance,
    public queue: job.Queue,
    public urgency: stepOrdering.Urgency,
    public computedAt: clock.Milliseconds,
  ) {}
}

/** The waiting steps, most urgent first, kept from one turn to the next. */
export class PlacementOrder {
  private readonly ordered: OrderedStep[] = [];
  private readonly byStep = new Map<stepInstance.StepInstance, OrderedStep>();
  private updateCount = 0;

  constructor(private readonly urgencyOf: UrgencySource) {}

  /** The steps that waited at the last update, most urgent first. */
  get steps(): ReadonlyArray<stepOrdering.PrioritizedStep> {
    return this.ordered;
  }

  /** Returns whether a step that waits belongs to a job that is on time. */
  isOnTime(step: stepInstance.StepInstance): boolean {
    return this.byStep.get(step)?.urgency.onTime === true;
  }

  /**
   * Adds new steps and removes those that no longer wait; `onRemoved` is called
   * for each of these. Returns false if the budget ends before each new step has
   * its place; the next update continues.
   */
  update(
    waiting: Iterable<stepOrdering.WaitingStep>,
    now: clock.Milliseconds,
    budget: sliceBudget.SliceBudget,
    onRemoved: (step: stepInstance.StepInstance) => void,
  ): boolean {
    this.updateCount += 1;
    for (const waitingStep of waiting) {
      const known = this.byStep.get(waitingStep.step);
      if (known?.queue === waitingStep.queue) {
        known.lastUpdate = this.updateCount;
        continue;
      }
      if (budget.isExhausted()) return false;
      this.add(waitingStep, now, budget);
    }
    this.removeAbsent(onRemoved);
    this.refreshUrgencies(now, budget);
    this.ordered.sort(stepOrdering.compareUrgency);
    return true;
  }

  private add(
    waitingStep: stepOrdering.WaitingStep,
    now: clock.Milliseconds,
    budget: sliceBudget.SliceBudget,
  ): void {
    const {step, queue} = waitingStep;
    budget.spend(URGENCY_UNITS);
    const urgency = this.urgencyOf(waitingStep, now);
    let entry = this.byStep.get(step);
    if (entry === undefined) {
      entry = new OrderedStep(step, queue, urgency, now);
      this.byStep.set(step, entry);
      this.ordered.push(entry);
    }
    entry.queue = queue;
    entry.urgency = urgency;
    entry.computedAt = now;
    entry.lastUpdate = this.updateCount;
  }

  private removeAbsent(
    onRemoved: (step: stepInstance.StepInstance) => void,
  ): void {
    let keptCount = 0;
    for (const entry of this.ordered) {
      if (entry.lastUpdate === this.updateCount) {
        this.ordered[keptCount] = entry;
        keptCount += 1;
      } else {
        this.byStep.delete(entry.step);
        onRemoved(entry.step);
      }
    }
    this.ordered.length = keptCount;
  }

  private refreshUrgencies(
    now: clock.Milliseconds,
    budget: sliceBudget.SliceBudget,
  ): void {
    let refreshCount = 0;
    for (const entry of this.ordered) {
      if (now - entry.computedAt < URGENCY_LIFETIME_MS) continue;
      if (refreshCount === MAXIMUM_REFRESHES_PER_TURN) return;
      entry.urgency = this.urgencyOf(entry, now);
      entry.computedAt = now;
      budget.spend(URGENCY_UNITS);
      refreshCount += 1;
    }
  }
}
