import * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as stepInstance from './step_instance.js';

/** A step with tasks that wait for a worker. */
export interface WaitingStep {
  readonly step: stepInstance.StepInstance;
  readonly queue: job.Queue;
}

/** Times the objective until which a job still earns part of its worth. */
const WORTHLESS_OBJECTIVE_FACTOR = 3;

/** Predicts the runtime of a step's tasks. */
export type RuntimePredictor = (step: stepInstance.StepInstance) => number;

/** Part of the objective by which a prediction may be off. */
const PREDICTION_TOLERANCE_SHARE = 0.2;

/** How long a job may take to count as on time. */
export function objectiveMsOf(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  predict: RuntimePredictor,
): number {
  const chain = criticalPathMs(record, queue, predict);
  return queue.stretch * chain + queue.objectiveMs;
}

/** Longest chain of work through the steps of the first occurrence. */
function criticalPathMs(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  durationOf: RuntimePredictor,
): number {
  const ends: number[] = [];
  const {advice} = queue;
  const adviceMs = advice ? adviceCache.longestAdviceCallMs(advice) : 0;
  for (const step of record.steps.slice(0, record.definition.steps.length)) {
    const {after} = step.definition;
    const start = Math.max(0, ...after.map(before => ends[before] ?? 0));
    const own = durationOf(step);
    ends.push(start + (own > 0 ? own + adviceMs : 0));
  }
  return Math.max(0, ...ends);
}

/** What is left of the longest chain when all that waits started now. */
function remainingCriticalPathMs(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  predict: RuntimePredictor,
): number {
  const left = (step: stepInstance.StepInstance): number =>
    step.done ? 0 : predict(step) * step.remainingShare();
  return criticalPathMs(record, {...queue, advice: undefined}, left);
}

/** Processor time that a job still needs, in thousandths of a core-ms. */
function remainingWork(
  record: jobRecord.JobRecord,
  predict: RuntimePredictor,
): number {
  let work = 0;
  for (const step of record.steps) {
    const tasks = step.tasks.length - step.doneCount;
    work += tasks * predict(step) * step.definition.size.processors;
  }
  return work;
}

/** How urgent a job is: smaller goes first. */
export interface Urgency {
  /** The queue's priority, raised for jobs that have missed their time. */
  readonly rank: number;
  /** Due time, put off by the room that the job needs. */
  readonly effectiveDueAt: clock.Milliseconds;
  readonly onTime: boolean;
}

/**
 * Times the span in which the whole service would do a job's work by which its
 * turn is put off. When not all can be on time, small jobs first let more of
 * them be; a large one gets its turn once it has waited for as long.
 */
const SIZE_WEIGHT = 8;

/**
 * A late job earns a fraction of its worth: it goes behind the next queue's
 * jobs that are on time, but before those of the queue after that.
 */
const LATE_RANK_PENALTY = 1.5;

/** Ranks by which a job that earns nothing any more goes behind the others. */
const WORTHLESS_RANK_PENALTY = 100;

/** Rates a job by its queue and by the time that it has left. */
export function urgencyOf(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  now: clock.Milliseconds,
  predict: RuntimePredictor,
  processors: number,
): Urgency {
  const {priority} = queue;
  if (record.longRunning) {
    return {rank: priority, effectiveDueAt: record.arrivedAt, onTime: true};
  }
  const objective = objectiveMsOf(record, queue, predict);
  const dueAt = record.arrivedAt + objective;
  const spanMs = remainingWork(record, predict) / Math.max(processors, 1);
  const turn = dueAt + SIZE_WEIGHT * spanMs;
  const endsAt = now + remainingCriticalPathMs(record, queue, predict);
  if (endsAt <= dueAt + PREDICTION_TOLERANCE_SHARE * objective) {
    return {rank: priority, effectiveDueAt: turn, onTime: true};
  }
  const worthless =
    endsAt - record.arrivedAt > objective * WORTHLESS_OBJECTIVE_FACTOR;
  const ranks = worthless ? WORTHLESS_RANK_PENALTY : LATE_RANK_PENALTY;
  return {rank: priority + ranks, effectiveDueAt: turn, onTime: false};
}

/** A step and how urgent its job is. */
export interface PrioritizedStep extends WaitingStep {
  readonly urgency: Urgency;
}

/** Sorts steps by the urgency of their jobs. */
export function sortByUrgency(
  waiting: ReadonlyArray<WaitingStep>,
  now: clock.Milliseconds,
  predict: RuntimePredictor,
  processorsOf: (service: string) => number,
): ReadonlyArray<PrioritizedStep> {
  const rated = waiting.map(({step, queue}) => ({
    step,
    queue,
    urgency: urgencyOf(
      step.owner,
      queue,
      now,
      predict,
      processorsOf(queue.service),
    ),
  }));
  return rated.sort(
    (left, right) =>
      left.urgency.rank - right.urgency.rank ||
      left.urgency.effectiveDueAt - right.urgency.effectiveDueAt,
  );
}
