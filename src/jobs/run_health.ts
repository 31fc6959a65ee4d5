import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

/** Fault for which a run is replaced. */
export type RunFault =
  /** The run makes no progress. */
  | 'stalled'
  /** The run takes much longer than other tasks of its step did. */
  | 'slow';

/** Minimum stall: shorter times may come from the rate of reports. */
const MINIMUM_STALL_MS = 1_500;

/** Share of the estimated runtime that is added to the minimum. */
const STALL_RUNTIME_SHARE = 0.03;

/** Minimum stall of a gang, whose members wait for each other. */
const MINIMUM_GANG_STALL_MS = 4_000;

/** Multiple of the median duration from which a run may be slow. */
const SLOW_FACTOR = 2;

/** Differences in duration below this are too small to act on. */
const SLOW_MARGIN_MS = 400;

/** Share of a step's tasks that must be done before others may be slow. */
const MINIMUM_DONE_SHARE = 0.5;

/** Returns the fault that a run's progress reports show; undefined if none. */
export function detectFault(
  assignment: jobTask.Assignment,
): RunFault | undefined {
  const {definition} = assignment.jobTask.step;
  if (assignment.phase !== 'running' || !assignment.reported) return undefined;
  // Long-running tasks report no progress, and runs that use idle capacity make
  // progress only at times.
  if (definition.longRunning || definition.usesIdleCapacity) return undefined;
  // Counts up to the last report: a worker's silence is not the run's fault.
  const withoutProgressMs =
    assignment.worker.lastAnswerAt - assignment.progressedAt;
  // The task itself may progress slowly, so each replacement doubles the limit.
  const stallFactor = 2 ** assignment.jobTask.replacementCount;
  if (withoutProgressMs > stallFactor * stallLimitMs(assignment.jobTask.step)) {
    return 'stalled';
  }
  return isSlow(assignment) ? 'slow' : undefined;
}

function stallLimitMs(step: stepInstance.StepInstance): number {
  const {gang, estimatedRuntimeMs} = step.definition;
  const minimumMs = gang ? MINIMUM_GANG_STALL_MS : MINIMUM_STALL_MS;
  return minimumMs + STALL_RUNTIME_SHARE * estimatedRuntimeMs;
}

/** Returns whether a new run on another worker would probably end sooner. */
function isSlow(assignment: jobTask.Assignment): boolean {
  const {step} = assignment.jobTask;
  if (step.definition.gang || assignment.jobTask.replacementCount > 0) {
    return false;
  }
  const medianMs = step.medianDurationMs(MINIMUM_DONE_SHARE);
  if (medianMs === undefined) return false;
  // Progress is known up to the last report, and from when the run was known.
  const elapsedMs = assignment.worker.lastAnswerAt - assignment.runningSince;
  if (elapsedMs < SLOW_FACTOR * medianMs + SLOW_MARGIN_MS) return false;
  const progressShare = Math.max(assignment.progressPercent, 1) / 100;
  const remainingMs = (elapsedMs / progressShare) * (1 - progressShare);
  return remainingMs > medianMs + SLOW_MARGIN_MS;
}
