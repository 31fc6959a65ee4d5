import * as lease from './lease.js';
import * as results from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as journal from './journal.js';
import type * as requestTable from './request_table.js';
import type * as task from './task.js';

type StartingEntry = Extract<journal.JournalEntry, {readonly kind: 'starting'}>;

type FinishedEntry = Extract<journal.JournalEntry, {readonly kind: 'finished'}>;

/** A report that was requested after the home's permits had ended. */
export interface LateReport {
  readonly workerClock: clock.Milliseconds;
  readonly tasks: ReadonlyMap<string, task.TaskReport>;
}

/** What is known of an identity whose home is dead. */
export interface Evidence {
  /** Records of the identity, in any order and with duplicates. */
  readonly records: ReadonlyArray<journal.JournalRecord>;
  /** Whether the stream was read from its first record to its tail. */
  readonly logComplete: boolean;
  /** Whether a witness answered that missed no entry. */
  readonly witnessComplete: boolean;
  readonly reports: ReadonlyMap<string, LateReport>;
  /** Answers that were fetched, by task. */
  readonly answers: ReadonlyMap<string, requestTable.Ending>;
}

/** What follows from the evidence. */
export type Finding =
  | {readonly kind: 'ended'; readonly ending: requestTable.Ending}
  | {readonly kind: 'notRun'}
  | {readonly kind: 'running'; readonly worker: string}
  | {readonly kind: 'offered'; readonly process: string}
  | {readonly kind: 'askWorker'; readonly worker: string}
  | {
      readonly kind: 'fetchAnswer';
      readonly worker: string;
      readonly task: string;
    }
  /** Further reports may decide. */
  | {readonly kind: 'unknown'}
  /** Nothing that may still be read decides. */
  | {readonly kind: 'lost'};

const LOST: Finding = {kind: 'lost'};

/**
 * Decides the outcome of an identity whose home can't start anything any more.
 * The rules never guess: without proof the outcome stays unknown.
 */
export function decide(evidence: Evidence): Finding {
  const entries = orderedEntries(evidence.records);
  const last = entries.at(-1);
  if (last === undefined) return ifComplete(evidence, {kind: 'notRun'});
  if (last.kind === 'finished') return decideByEnd(last, evidence);
  if (last.kind === 'offered') {
    // Without all records, the home may have started it elsewhere later.
    return ifComplete(evidence, {kind: 'offered', process: last.process});
  }
  return decideByWorkers(lastAttempt(entries), evidence);
}

/** A refused offer may have been followed by one that ran. */
function decideByEnd(finished: FinishedEntry, evidence: Evidence): Finding {
  const finding: Finding = {kind: 'ended', ending: recordedEnding(finished)};
  const {execution} = results.RESULT_CODES[finished.result];
  return execution === 'notRun' ? ifComplete(evidence, finding) : finding;
}

function orderedEntries(
  records: ReadonlyArray<journal.JournalRecord>,
): ReadonlyArray<journal.JournalEntry> {
  const byNumber = new Map(records.map(record => [record.number, record]));
  return [...byNumber.values()]
    .sort((left, right) => left.number - right.number)
    .map(record => record.entry);
}

/**
 * Returns the starts of the last attempt. What was recorded before it was
 * proved not run before it was recorded.
 */
function lastAttempt(
  entries: ReadonlyArray<journal.JournalEntry>,
): ReadonlyArray<StartingEntry> {
  const starts: StartingEntry[] = [];
  for (const entry of [...entries].reverse()) {
    if (entry.kind !== 'starting') break;
    if (starts.length > 0 && entry.attempt !== starts[0].attempt) break;
    starts.unshift(entry);
  }
  return starts;
}

function recordedEnding(finished: FinishedEntry): requestTable.Ending {
  if (!finished.answerKept) {
    return {
      result: 'answerLost',
      detail: 'the answer is longer than what the journal keeps',
      answer: '',
    };
  }
  const {result, detail, answer} = finished;
  return {result, detail, answer};
}

/** A later record may exist that was not read, unless all sources are whole. */
function ifComplete(evidence: Evidence, finding: Finding): Finding {
  return evidence.logComplete && evidence.witnessComplete ? finding : LOST;
}

type TaskFinding =
  Exclude<Finding, {readonly kind: 'offered'}> | {readonly kind: 'stopped'};

function decideByWorkers(
  starts: ReadonlyArray<StartingEntry>,
  evidence: Evidence,
): Finding {
  const findings = starts.map(start => decideByWorker(start, evidence));
  const first = (kind: TaskFinding['kind']): TaskFinding | undefined =>
    findings.find(finding => finding.kind === kind);
  const open =
    first('askWorker') ??
    first('running') ??
    first('fetchAnswer') ??
    first('unknown') ??
    first('lost');
  if (open !== undefined) return open as Finding;
  if (findings.every(finding => finding.kind === 'notRun')) {
    return ifComplete(evidence, {kind: 'notRun'});
  }
  if (starts.length === 1 && findings[0].kind === 'ended') return findings[0];
  return {kind: 'ended', ending: joinEndings(starts, findings)};
}

function joinEndings(
  starts: ReadonlyArray<StartingEntry>,
  findings: ReadonlyArray<TaskFinding>,
): requestTable.Ending {
  const answers: string[] = [];
  for (const finding of findings) {
    if (finding.kind !== 'ended' || finding.ending.result !== 'ok') {
      const detail = `not all ${starts[0].taskCount} tasks finished`;
      return {result: 'taskStopped', detail, answer: ''};
    }
    answers.push(finding.ending.answer);
  }
  return {result: 'ok', detail: '', answer: JSON.stringify(answers)};
}

function decideByWorker(start: StartingEntry, evidence: Evidence): TaskFinding {
  const known = evidence.answers.get(start.task);
  if (known !== undefined) return {kind: 'ended', ending: known};
  const report = evidence.reports.get(start.worker);
  if (report === undefined) return {kind: 'askWorker', worker: start.worker};
  const listed = report.tasks.get(start.task);
  if (listed === undefined) {
    if (report.workerClock <= start.leaseBound) return {kind: 'unknown'};
    const proved = lease.provesNotRun(start.leaseBound, report.workerClock);
    return {kind: proved ? 'notRun' : 'lost'};
  }
  if (listed.label.identity !== start.identity) return LOST as TaskFinding;
  if (listed.state === 'running') {
    return {kind: 'running', worker: start.worker};
  }
  if (listed.state === 'finished' || listed.state === 'failed') {
    return {kind: 'fetchAnswer', worker: start.worker, task: start.task};
  }
  return {kind: 'stopped'};
}
