import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as task from '../contracts/task.js';
import type * as trackedTask from './tracked_task.js';

/** What a report proves of one task. */
export type ReportFinding =
  | {readonly kind: 'nothing'}
  | {readonly kind: 'running'}
  /** Ended with an answer that is still to be fetched. */
  | {readonly kind: 'collect'}
  | {readonly kind: 'ended'; readonly end: trackedTask.TaskEndState}
  | {readonly kind: 'notRun'}
  /** It should have been listed; one such report may be a race. */
  | {readonly kind: 'missing'}
  /** The report gives the task to another request. */
  | {readonly kind: 'mismatch'};

/** Reports in a row that must lack a started task before it counts as gone. */
const MISSING_REPORTS = 2;

const NO_FINDING: ReportFinding = {kind: 'nothing'};

/** Judges a task by a report that was requested at local time `sentAt`. */
export function evaluateReport(
  tracked: trackedTask.TrackedTask,
  listed: task.TaskReport | undefined,
  workerClock: clock.Milliseconds,
  sentAt: clock.Milliseconds,
): ReportFinding {
  if (tracked.state === 'held') return NO_FINDING;
  if (listed === undefined) return checkUnlisted(tracked, workerClock, sentAt);
  if (listed.label.identity !== tracked.label.identity) {
    return {kind: 'mismatch'};
  }
  if (listed.state === 'running') return {kind: 'running'};
  if (listed.state === 'finished' || listed.state === 'failed') {
    return {kind: 'collect'};
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
    if (tracked.missingReports + 1 < MISSING_REPORTS) return {kind: 'missing'};
    return {kind: 'ended', end: 'answerLost'};
  }
  const proved =
    tracked.leaseEndValid && lease.provesNotRun(tracked.leaseEnd, workerClock);
  return proved ? {kind: 'notRun'} : NO_FINDING;
}
