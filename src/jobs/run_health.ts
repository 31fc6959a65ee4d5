import type * as clock from '../machines/clock.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

/** What is wrong with a run. */
export type RunFault =
  /** It makes no progress. */
  | 'stalled'
  /** It takes much longer than other tasks of its step. */
  | 'slow';

/** Time without progress that may come from the rate of reports. */
const MINIMUM_STALL_MS = 1_500;

/** Part of the estimated runtime in which the percentage must have risen. */
const STALL_RUNTIME_SHARE = 0.03;

/** Time without progress of a gang, whose members wait for each other. */
const MINIMUM_GANG_STALL_MS = 4_000;

/** Times the usual duration after which a run counts as slow. */
const SLOW_FACTOR = 2;

/** Difference in duration that is too small to act on. */
const SLOW_MARGIN_MS = 400;

/** Part of a step's tasks that must be done before others count as slow. */
const MINIMUM_DONE_SHARE = 0.5;

/** Judges a run by its reported progress; undefined while it goes well. */
export function detectFault(
  assignment: jobTask.Assignment,
  now: clock.Milliseconds,
): RunFault | undefined {
  const {definition} = assignment.jobTask.step;
  if (assignment.phase !== 'running' || !assignment.reported) return undefined;
  // These make no progress of their own, or only at times.
  if (definition.longRunning || definition.usesIdleCapacity) return undefined;
  // What was reported is judged, not the silence of the worker.
  const withoutProgressMs =
    assignment.worker.lastAnswerAt - assignment.progressedAt;
  // A task that may just be like that gets twice the time at each start.
  const stallFactor = 2 ** assignment.jobTask.replacementCount;
  if (withoutProgressMs > stallFactor * stallLimitMs(assignment.jobTask.step)) {
    return 'stalled';
  }
  return isSlow(assignment, now) ? 'slow' : undefined;
}

function stallLimitMs(step: stepInstance.StepInstance): number {
  const {gang, estimatedRuntimeMs} = step.definition;
  const minimumMs = gang ? MINIMUM_GANG_STALL_MS : MINIMUM_STALL_MS;
  return minimumMs + STALL_RUNTIME_SHARE * estimatedRuntimeMs;
}

/** Tells whether a fresh start elsewhere would probably end sooner. */
function isSlow(
  assignment: jobTask.Assignment,
  now: clock.Milliseconds,
): boolean {
  const {step} = assignment.jobTask;
  if (step.definition.gang || assignment.jobTask.replacementCount > 0) {
    return false;
  }
  const medianMs = step.medianDurationMs(MINIMUM_DONE_SHARE);
  if (medianMs === undefined) return false;
  const elapsedMs = now - assignment.startedAt;
  if (elapsedMs < SLOW_FACTOR * medianMs + SLOW_MARGIN_MS) return false;
  const share = Math.max(assignment.progressPercent, 1) / 100;
  const remainingMs = (elapsedMs / share) * (1 - share);
  return remainingMs > medianMs + SLOW_MARGIN_MS;
}
