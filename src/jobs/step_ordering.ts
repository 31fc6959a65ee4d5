import * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as stepInstance from './step_instance.js';

/** A step with tasks that wait for a worker, and its queue. */
export interface WaitingStep {
  readonly step: stepInstance.StepInstance;
  readonly queue: job.Queue;
}

/** Multiple of the objective until which a late job still has value. */
const WORTHLESS_OBJECTIVE_FACTOR = 3;

/** Returns the predicted runtime of a step's tasks, in milliseconds. */
export type RuntimePredictor = (step: stepInstance.StepInstance) => number;

/** Share of the objective allowed for errors of the prediction. */
const PREDICTION_TOLERANCE_SHARE = 0.2;

/** Returns the longest duration for which a job counts as on time. */
export function objectiveMsOf(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  predict: RuntimePredictor,
): number {
  const pathMs = criticalPathMs(record, queue, predict);
  return queue.stretch * pathMs + queue.objectiveMs;
}

/** Returns the age until which a job's end counts as on time. */
export function latestOnTimeMs(objectiveMs: number): number {
  return objectiveMs * (1 + PREDICTION_TOLERANCE_SHARE);
}

/** Returns the age until which a job's end has any value. */
export function latestValuableMs(objectiveMs: number): number {
  return objectiveMs * WORTHLESS_OBJECTIVE_FACTOR;
}

/** Returns the critical path through the steps of the first occurrence. */
export function criticalPathMs(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  durationOf: RuntimePredictor,
): number {
  const endsMs: number[] = [];
  const {advice} = queue;
  const adviceMs = advice ? adviceCache.longestAdviceCallMs(advice) : 0;
  for (const step of record.steps.slice(0, record.definition.steps.length)) {
    const {after} = step.definition;
    const startMs = Math.max(
      0,
      ...after.map(dependency => endsMs[dependency] ?? 0),
    );
    const durationMs = durationOf(step);
    endsMs.push(startMs + (durationMs > 0 ? durationMs + adviceMs : 0));
  }
  return Math.max(0, ...endsMs);
}

/** Returns the critical path that remains if all waiting tasks start now. */
function remainingCriticalPathMs(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  predict: RuntimePredictor,
): number {
  const remainingMsOf = (step: stepInstance.StepInstance): number =>
    step.done ? 0 : predict(step) * step.remainingShare();
  return criticalPathMs(record, {...queue, advice: undefined}, remainingMsOf);
}

/** Returns the processor time a job still needs, in millicore-milliseconds. */
function remainingWork(
  record: jobRecord.JobRecord,
  predict: RuntimePredictor,
): number {
  let work = 0;
  for (const step of record.steps) {
    const taskCount = step.tasks.length - step.doneCount;
    work += taskCount * predict(step) * step.definition.size.processors;
  }
  return work;
}

/** Sort key of a job; smaller values are scheduled first. */
export interface Urgency {
  /**
   * The queue's priority, plus a penalty for jobs that will be late; lowest for
   * less urgent jobs that are short of time.
   */
  readonly rank: number;
  /** Due time, deferred in proportion to the job's remaining work. */
  readonly effectiveDueAt: clock.Milliseconds;
  readonly onTime: boolean;
}

/**
 * Deferral of a job's due time, as a multiple of the time that all workers of
 * the service together need for its work. Under overload more jobs are on time
 * when small ones go first; a large one goes first once it has waited for its
 * deferral.
 */
const DEFERRAL_FACTOR = 8;

/**
 * Penalty of a late job, which keeps only part of its value. It goes behind
 * on-time jobs of the next queue, but ahead of those of the queue after that.
 */
const LATE_RANK_PENALTY = 1.5;

/**
 * Rank of a less urgent job that has used up half of its slack although its
 * service has room. The event loop then can't start all that arrives, and jobs
 * of the most urgent queue would keep others from ever being started. While
 * starts are short, it holds only for a queue that is behind the others: otherwise the short jobs of
 * the most urgent queue would be the ones that are not started.
 */
const SHORT_OF_TIME_RANK = -1;

/** Share of its slack that a job has left when it is short of time. */
const SHORT_OF_TIME_SLACK_SHARE = 0.5;

/**
 * Rank of a job that is surely late while starts are short. It goes behind the on-time jobs of all queues, since the
 * starts that it takes would make one of these late as well.
 */
const LATE_RANK = 50;

/** Penalty of a job without value; puts it behind all others. */
const WORTHLESS_RANK_PENALTY = 100;

/** What the jobs of a queue compete for. */
export interface Contention {
  /** Whether the service is far from short of room. */
  readonly hasRoom: boolean;
  /** Whether the scheduler starts less than is asked for. */
  readonly startsAreShort: boolean;
  /** Whether the queue got less of the starts that it asked for than others. */
  readonly isBehind: boolean;
}

const NO_CONTENTION: Contention = {
  hasRoom: false,
  startsAreShort: false,
  isBehind: false,
};

/** Returns the urgency of a job from its queue and its remaining time. */
export function urgencyOf(
  record: jobRecord.JobRecord,
  queue: job.Queue,
  now: clock.Milliseconds,
  predict: RuntimePredictor,
  totalProcessors: number,
  {hasRoom, startsAreShort, isBehind}: Contention = NO_CONTENTION,
): Urgency {
  const {priority} = queue;
  const competesForStarts = hasRoom && startsAreShort;
  if (record.longRunning) {
    const isShortOfTime =
      now - record.arrivedAt > SHORT_OF_TIME_SLACK_SHARE * queue.objectiveMs;
    const goesFirst =
      competesForStarts && isBehind && isShortOfTime && priority > 0;
    const rank = goesFirst ? SHORT_OF_TIME_RANK : priority;
    return {rank, effectiveDueAt: record.arrivedAt, onTime: true};
  }
  const pathMs = criticalPathMs(record, queue, predict);
  const objectiveMs = queue.stretch * pathMs + queue.objectiveMs;
  const dueAt = record.arrivedAt + objectiveMs;
  const workDurationMs =
    remainingWork(record, predict) / Math.max(totalProcessors, 1);
  const effectiveDueAt = dueAt + DEFERRAL_FACTOR * workDurationMs;
  const endsAt = now + remainingCriticalPathMs(record, queue, predict);
  const endAgeMs = endsAt - record.arrivedAt;
  // While more arrives than can be started, new jobs are started at the last
  // moment that counts as on time, and any tolerance makes all of them late.
  const rank =
    !record.started && endAgeMs > objectiveMs
      ? lateRankOf(priority, objectiveMs, endAgeMs)
      : rankOf(priority, objectiveMs, endAgeMs);
  const onTime = rank === priority;
  const slackMs = objectiveMs - pathMs;
  const isShortOfTime = dueAt - endsAt < SHORT_OF_TIME_SLACK_SHARE * slackMs;
  const mayGoFirst = hasRoom && (isBehind || !startsAreShort);
  const goesFirst = mayGoFirst && onTime && isShortOfTime && priority > 0;
  if (goesFirst) return {rank: SHORT_OF_TIME_RANK, effectiveDueAt, onTime};
  const isSurelyLate =
    endAgeMs > latestOnTimeMs(objectiveMs) && !isWorthless(rank);
  return {
    rank: isSurelyLate && competesForStarts ? LATE_RANK + priority : rank,
    effectiveDueAt,
    onTime,
  };
}

/** Returns the rank of a job that is expected to end at a certain age. */
export function rankOf(
  priority: number,
  objectiveMs: number,
  endAgeMs: number,
): number {
  if (endAgeMs <= latestOnTimeMs(objectiveMs)) return priority;
  return lateRankOf(priority, objectiveMs, endAgeMs);
}

function lateRankOf(
  priority: number,
  objectiveMs: number,
  endAgeMs: number,
): number {
  const isWorthless = endAgeMs > latestValuableMs(objectiveMs);
  return priority + (isWorthless ? WORTHLESS_RANK_PENALTY : LATE_RANK_PENALTY);
}

/** Returns whether a rank is that of jobs that have lost their value. */
export function isWorthless(rank: number): boolean {
  return rank >= WORTHLESS_RANK_PENALTY;
}

/** Returns whether a job that is on time is placed before another one. */
export function isOnTimeBefore(urgency: Urgency, other: Urgency): boolean {
  if (!urgency.onTime || urgency.rank > other.rank) return false;
  return (
    urgency.rank < other.rank || urgency.effectiveDueAt < other.effectiveDueAt
  );
}

/** A waiting step with the urgency of its job. */
export interface PrioritizedStep extends WaitingStep {
  readonly urgency: Urgency;
}

/** Orders steps by the urgency of their jobs, most urgent first. */
export function compareUrgency(
  left: PrioritizedStep,
  right: PrioritizedStep,
): number {
  return (
    left.urgency.rank - right.urgency.rank ||
    left.urgency.effectiveDueAt - right.urgency.effectiveDueAt
  );
}
