import * as workerSelection from './worker_selection.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

/** Runs younger than this are not preempted, so that each makes progress. */
const MINIMUM_RUN_AGE_MS = 1_000;

/** Time after which a planner is replaced, even if the pass goes on. */
const PLAN_LIFETIME_MS = 1_000;

/** Facts that planning needs about the runs on workers. */
export interface PreemptionFacts extends workerSelection.WorkerFacts {
  runsOn(worker: remoteWorker.RemoteWorker): Iterable<jobTask.Assignment>;
  priorityOf(step: stepInstance.StepInstance): number;
}

/**
 * Plans preemptions for one placement pass, which may take several turns. Tracks
 * the capacity that earlier plans of the pass claim, so that it is not used
 * twice.
 */
export class PreemptionPlanner {
  private readonly claimedCapacity = new Map<
    remoteWorker.RemoteWorker,
    resources.Resources
  >();
  private readonly plannedSteps = new Set<stepInstance.StepInstance>();
  /** Kinds of tasks for which no worker is left with anything to preempt. */
  private readonly exhaustedDemands = new Set<string>();

  constructor(private readonly now: clock.Milliseconds) {}

  /** Returns whether the planner is too old to reflect the runs. */
  hasExpired(now: clock.Milliseconds): boolean {
    return now - this.now >= PLAN_LIFETIME_MS;
  }

  /** Returns whether planning for a step may find runs to preempt. */
  needsPlan(step: stepInstance.StepInstance, queue: job.Queue): boolean {
    if (this.plannedSteps.has(step)) return false;
    const demand = demandOf(step, queue);
    return demand === undefined || !this.exhaustedDemands.has(demand);
  }

  /**
   * Returns runs to preempt so that `count` tasks of a step fit. Only less
   * urgent runs that can resume from a checkpoint are preempted, and no more of
   * them than the tasks need.
   */
  planVictims(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    count: number,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: PreemptionFacts,
  ): ReadonlyArray<jobTask.Assignment> {
    this.plannedSteps.add(step);
    const victims: jobTask.Assignment[] = [];
    let unplannedCount = count;
    for (const worker of workers) {
      if (unplannedCount === 0) break;
      if (!couldRunTask(worker, step.definition, facts)) continue;
      const plan = this.planOnWorker(
        worker,
        step,
        queue,
        unplannedCount,
        facts,
      );
      victims.push(...plan.victims);
      unplannedCount -= plan.tasks;
    }
    const demand = demandOf(step, queue);
    if (unplannedCount > 0 && demand !== undefined) {
      this.exhaustedDemands.add(demand);
    }
    return victims;
  }

  private planOnWorker(
    worker: remoteWorker.RemoteWorker,
    step: stepInstance.StepInstance,
    queue: job.Queue,
    wantedCount: number,
    facts: PreemptionFacts,
  ): {tasks: number; victims: ReadonlyArray<jobTask.Assignment>} {
    const size = workerSelection.reservedSize(step.definition);
    const runs = [...facts.runsOn(worker)];
    let free = this.freeAfterStops(worker, runs);
    const candidates = runs
      .filter(assignment => this.canPreempt(assignment, queue, facts))
      .sort(
        (left, right) => sizeOf(left).processors - sizeOf(right).processors,
      );
    const runsOnWorker = facts.countRunsOfStep(worker);
    const taskLimit =
      (step.definition.maximumPerWorker ?? Infinity) - runsOnWorker;
    const victims: jobTask.Assignment[] = [];
    let tasks = 0;
    while (tasks < Math.min(wantedCount, taskLimit)) {
      const needed = selectVictims(size, free, candidates);
      if (needed === undefined) break;
      for (const victim of needed) free = resources.add(free, sizeOf(victim));
      candidates.splice(0, needed.length);
      victims.push(...needed);
      free = resources.subtract(free, size);
      this.claimCapacity(worker, size);
      tasks += 1;
    }
    return {tasks, victims};
  }

  /** Returns a worker's unclaimed capacity once stopping runs have ended. */
  private freeAfterStops(
    worker: remoteWorker.RemoteWorker,
    runs: ReadonlyArray<jobTask.Assignment>,
  ): resources.Resources {
    let free = worker.free;
    for (const assignment of runs) {
      if (assignment.phase === 'stopping') {
        free = resources.add(free, sizeOf(assignment));
      }
    }
    const claimed = this.claimedCapacity.get(worker);
    return claimed ? resources.subtract(free, claimed) : free;
  }

  private claimCapacity(
    worker: remoteWorker.RemoteWorker,
    size: resources.Resources,
  ): void {
    const claimedBefore = this.claimedCapacity.get(worker) ?? resources.NONE;
    this.claimedCapacity.set(worker, resources.add(claimedBefore, size));
  }

  private canPreempt(
    assignment: jobTask.Assignment,
    queue: job.Queue,
    facts: PreemptionFacts,
  ): boolean {
    const {step} = assignment.jobTask;
    return (
      assignment.phase === 'running' &&
      assignment.reported &&
      step.isPreemptible &&
      facts.priorityOf(step) > queue.priority &&
      this.now - assignment.startedAt >= MINIMUM_RUN_AGE_MS
    );
  }
}

/**
 * Returns a key that is equal for tasks for which the same plans are possible;
 * undefined if they also depend on the step.
 */
function demandOf(
  step: stepInstance.StepInstance,
  queue: job.Queue,
): string | undefined {
  const {size, requiredLabel, maximumPerWorker, usesIdleCapacity} =
    step.definition;
  if (queue.advice !== undefined || maximumPerWorker !== undefined) {
    return undefined;
  }
  return JSON.stringify([
    queue.service,
    queue.priority,
    size,
    requiredLabel,
    usesIdleCapacity,
  ]);
}

function couldRunTask(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
  facts: PreemptionFacts,
): boolean {
  return (
    workerSelection.fitsTotalCapacity(worker, step) &&
    facts.ticketFor(worker) !== undefined
  );
}

function sizeOf(assignment: jobTask.Assignment): resources.Resources {
  return workerSelection.reservedSize(assignment.jobTask.step.definition);
}

/** Returns the first candidates needed to fit `size`; undefined if too few. */
function selectVictims(
  size: resources.Resources,
  free: resources.Resources,
  candidates: ReadonlyArray<jobTask.Assignment>,
): ReadonlyArray<jobTask.Assignment> | undefined {
  let freeAfterEnds = free;
  let count = 0;
  while (!resources.fits(size, freeAfterEnds)) {
    const victim = candidates[count];
    if (victim === undefined) return undefined;
    freeAfterEnds = resources.add(freeAfterEnds, sizeOf(victim));
    count += 1;
  }
  return candidates.slice(0, count);
}
