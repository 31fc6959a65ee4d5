import * as lease from './lease.js';
import * as results from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as journalBackend from './journal_backend.js';
import type * as requestTable from './request_table.js';
import type * as task from './task.js';

type StartingJournalEntry = Extract<
  journalBackend.JournalEntry,
  {readonly kind: 'starting'}
>;

type FinishedJournalEntry = Extract<
  journalBackend.JournalEntry,
  {readonly kind: 'finished'}
>;

/** A worker's report that was requested after the home's permits had ended. */
export interface ConclusiveReport {
  readonly workerClock: clock.Milliseconds;
  readonly tasks: ReadonlyMap<string, task.TaskReport>;
}

/** Everything read about an identity whose home is dead. */
export interface Evidence {
  /** Records of the identity, in any order and possibly with duplicates. */
  readonly records: ReadonlyArray<journalBackend.JournalRecord>;
  /** Whether the stream was read from its first record to its tail. */
  readonly logComplete: boolean;
  /** Whether a witness has answered that received every entry. */
  readonly witnessComplete: boolean;
  readonly reports: ReadonlyMap<string, ConclusiveReport>;
  /** Outcomes with the answers that were fetched from workers, by task. */
  readonly answers: ReadonlyMap<string, requestTable.RequestOutcome>;
}

/** Outcome of an identity, or the next step to find it. */
export type Finding =
  | {readonly kind: 'ended'; readonly outcome: requestTable.RequestOutcome}
  | {readonly kind: 'notRun'}
  | {readonly kind: 'running'; readonly worker: string}
  | {readonly kind: 'offered'; readonly process: string}
  | {readonly kind: 'askWorker'; readonly worker: string}
  | {
      readonly kind: 'fetchAnswer';
      readonly worker: string;
      readonly task: string;
    }
  /** Not decided yet; a later report may decide. */
  | {readonly kind: 'unknown'}
  /** No remaining source can prove the outcome. */
  | {readonly kind: 'lost'};

const LOST: Finding = {kind: 'lost'};

/**
 * Determines the outcome of an identity whose home can no longer start tasks.
 * The outcome is reported only if it is proved, otherwise as unknown or lost.
 */
export function decide(evidence: Evidence): Finding {
  const entries = orderedEntries(evidence.records);
  const last = entries.at(-1);
  if (last === undefined) return ifComplete(evidence, {kind: 'notRun'});
  if (last.kind === 'finished') return decideByFinishedEntry(last, evidence);
  if (last.kind === 'offered') {
    // A missing later record may show that the home started it elsewhere.
    return ifComplete(evidence, {kind: 'offered', process: last.process});
  }
  return decideByReports(lastAttempt(entries), evidence);
}

/**
 * Trusts an end that shows "not run" only if all records are known, because a
 * later offer of the same request may have run.
 */
function decideByFinishedEntry(
  finished: FinishedJournalEntry,
  evidence: Evidence,
): Finding {
  const finding: Finding = {kind: 'ended', outcome: recordedOutcome(finished)};
  const {execution} = results.RESULT_CODES[finished.result];
  return execution === 'notRun' ? ifComplete(evidence, finding) : finding;
}

function orderedEntries(
  records: ReadonlyArray<journalBackend.JournalRecord>,
): ReadonlyArray<journalBackend.JournalEntry> {
  const byNumber = new Map(records.map(record => [record.number, record]));
  return [...byNumber.values()]
    .sort((left, right) => left.number - right.number)
    .map(record => record.entry);
}

/**
 * Returns the starts of the last attempt. It was recorded only after every
 * earlier attempt had been proved not run.
 */
function lastAttempt(
  entries: ReadonlyArray<journalBackend.JournalEntry>,
): ReadonlyArray<StartingJournalEntry> {
  const starts: StartingJournalEntry[] = [];
  for (const entry of [...entries].reverse()) {
    if (entry.kind !== 'starting') break;
    if (starts.length > 0 && entry.attempt !== starts[0].attempt) break;
    starts.unshift(entry);
  }
  return starts;
}

function recordedOutcome(
  finished: FinishedJournalEntry,
): requestTable.RequestOutcome {
  if (!finished.answerKept) {
    return {
      result: 'answerLost',
      detail: 'the answer was too long to be recorded in the journal',
      answer: '',
    };
  }
  const {result, detail, answer} = finished;
  return {result, detail, answer};
}

/** Returns `finding`, or `lost` if an unread source may hold a later record. */
function ifComplete(evidence: Evidence, finding: Finding): Finding {
  return evidence.logComplete && evidence.witnessComplete ? finding : LOST;
}

type TaskFinding =
  Exclude<Finding, {readonly kind: 'offered'}> | {readonly kind: 'stopped'};

function decideByReports(
  starts: ReadonlyArray<StartingJournalEntry>,
  evidence: Evidence,
): Finding {
  const findings = starts.map(start => decideByReport(start, evidence));
  const findFirst = (kind: TaskFinding['kind']): TaskFinding | undefined =>
    findings.find(finding => finding.kind === kind);
  const unresolved =
    findFirst('askWorker') ??
    findFirst('running') ??
    findFirst('fetchAnswer') ??
    findFirst('unknown') ??
    findFirst('lost');
  if (unresolved !== undefined) return unresolved as Finding;
  if (findings.every(finding => finding.kind === 'notRun')) {
    return ifComplete(evidence, {kind: 'notRun'});
  }
  if (starts.length === 1 && findings[0].kind === 'ended') return findings[0];
  return {kind: 'ended', outcome: joinOutcomes(starts, findings)};
}

function joinOutcomes(
  starts: ReadonlyArray<StartingJournalEntry>,
  findings: ReadonlyArray<TaskFinding>,
): requestTable.RequestOutcome {
  const answers: string[] = [];
  for (const finding of findings) {
    if (finding.kind !== 'ended' || finding.outcome.result !== 'ok') {
      const detail = `not all ${starts[0].taskCount} tasks finished`;
      return {result: 'taskStopped', detail, answer: ''};
    }
    answers.push(finding.outcome.answer);
  }
  return {result: 'ok', detail: '', answer: JSON.stringify(answers)};
}

function decideByReport(
  start: StartingJournalEntry,
  evidence: Evidence,
): TaskFinding {
  const outcome = evidence.answers.get(start.task);
  if (outcome !== undefined) return {kind: 'ended', outcome: outcome};
  const report = evidence.reports.get(start.worker);
  if (report === undefined) return {kind: 'askWorker', worker: start.worker};
  const reported = report.tasks.get(start.task);
  if (reported === undefined) {
    if (report.workerClock <= start.leaseBound) return {kind: 'unknown'};
    const isProved = lease.provesNotRun(start.leaseBound, report.workerClock);
    return {kind: isProved ? 'notRun' : 'lost'};
  }
  if (reported.label.identity !== start.identity) return LOST as TaskFinding;
  if (reported.state === 'running') {
    return {kind: 'running', worker: start.worker};
  }
  if (reported.state === 'finished' || reported.state === 'failed') {
    return {kind: 'fetchAnswer', worker: start.worker, task: start.task};
  }
  return {kind: 'stopped'};
}
