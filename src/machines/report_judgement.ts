import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as task from '../contracts/task.js';
import type * as trackedTask from './tracked_task.js';

/** What a report proves of one task. */
export type Judgement =
  | {readonly kind: 'nothing'}
  | {readonly kind: 'running'}
  /** Ended with an answer that is still to be fetched. */
  | {readonly kind: 'collect'}
  | {readonly kind: 'ended'; readonly end: trackedTask.TaskEnd}
  | {readonly kind: 'notRun'}
  /** It should have been listed; one such report may be a race. */
  | {readonly kind: 'missing'}
  /** The report gives the task to another request. */
  | {readonly kind: 'mismatch'};

/** Reports in a row that must lack a started task before it counts as gone. */
const MISSING_REPORTS = 2;

const NOTHING: Judgement = {kind: 'nothing'};

/** Judges a task by a report that was requested at local time `sentAt`. */
export function judge(
  tracked: trackedTask.TrackedTask,
  listed: task.TaskReport | undefined,
  workerClock: clock.Milliseconds,
  sentAt: clock.Milliseconds,
): Judgement {
  if (tracked.state === 'held') return NOTHING;
  if (listed === undefined) return judgeUnlisted(tracked, workerClock, sentAt);
  if (listed.label.identity !== tracked.label.identity) {
    return {kind: 'mismatch'};
  }
  if (listed.state === 'running') return {kind: 'running'};
  if (listed.state === 'finished' || listed.state === 'failed') {
    return {kind: 'collect'};
  }
  return {kind: 'ended', end: listed.state};
}

function judgeUnlisted(
  tracked: trackedTask.TrackedTask,
  workerClock: clock.Milliseconds,
  sentAt: clock.Milliseconds,
): Judgement {
  if (tracked.startedAt !== undefined) {
    if (sentAt < tracked.startedAt) return NOTHING;
    if (tracked.missingReports + 1 < MISSING_REPORTS) return {kind: 'missing'};
    return {kind: 'ended', end: 'answerLost'};
  }
  const proved =
    tracked.provable && lease.provesNotRun(tracked.leaseEnd, workerClock);
  return proved ? {kind: 'notRun'} : NOTHING;
}
