import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as task from '../contracts/task.js';
import type * as trackedTask from './tracked_task.js';

/** Conclusion about one task from a worker's report. */
export type ReportFinding =
  | {readonly kind: 'nothing'}
  | {readonly kind: 'running'}
  /** The task has ended and its answer has to be fetched. */
  | {readonly kind: 'fetchAnswer'}
  | {readonly kind: 'ended'; readonly end: trackedTask.TaskEndState}
  | {readonly kind: 'notRun'}
  /** The report should list the task; a single such report may be a race. */
  | {readonly kind: 'missing'}
  /** The report lists the task under the identity of another request. */
  | {readonly kind: 'mismatch'};

/** Consecutive reports without a started task after which it counts as lost. */
const MISSING_REPORT_LIMIT = 2;

const NO_FINDING: ReportFinding = {kind: 'nothing'};

/** Evaluates a task against a report that was requested at `sentAt`. */
export function evaluateReport(
  tracked: trackedTask.TrackedTask,
  listed: task.TaskReport | undefined,
  workerClock: clock.Milliseconds,
  sentAt: clock.Milliseconds,
): ReportFinding {
  if (tracked.state === 'reserved') return NO_FINDING;
  if (listed === undefined) return checkUnlisted(tracked, workerClock, sentAt);
  if (listed.label.identity !== tracked.label.identity) {
    return {kind: 'mismatch'};
  }
  if (listed.state === 'running') return {kind: 'running'};
  if (listed.state === 'finished' || listed.state === 'failed') {
    return {kind: 'fetchAnswer'};
  }
  return {kind: 'ended', end: listed.state};
}

function checkUnlisted(
  tracked: trackedTask.TrackedTask,
  workerClock: clock.Milliseconds,
  sentAt: clock.Milliseconds,
): ReportFinding {
  if (tracked.startedAt !== undefined) {
    if (sentAt < tracked.startedAt) return NO_FINDING;
    if (tracked.missingReports + 1 < MISSING_REPORT_LIMIT) {
      return {kind: 'missing'};
    }
    return {kind: 'ended', end: 'answerLost'};
  }
  const proved =
    tracked.leaseEndValid && lease.provesNotRun(tracked.leaseEnd, workerClock);
  return proved ? {kind: 'notRun'} : NO_FINDING;
}
