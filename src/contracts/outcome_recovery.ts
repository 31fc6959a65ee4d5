import * as effect from './effect.js';
import * as journalBackend from './journal_backend.js';
import * as outcomeRule from './outcome_rule.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as requestTable from './request_table.js';
import type * as trackedTask from '../machines/tracked_task.js';
import type * as witnessStore from './witness_store.js';

/** Interval at which missing records and reports of a query are requested. */
const QUERY_INTERVAL_MS = 1_000;

/** Time after which an unanswered fetch of a task's answer is resent. */
const FETCH_RETRY_MS = 2_000;

/** Maximum age of a report that is reused for another query. */
const REPORT_VALIDITY_MS = 3_000;

/** Time after the last use for which a dead process's journal is cached. */
const JOURNAL_COPY_RETENTION_MS = 600_000;

/** Maximum number of cached outcomes, separately for requests and tasks. */
const MAXIMUM_KEPT_OUTCOMES = 10_000;

const RESULT_BY_END_STATE = {
  finished: 'ok',
  failed: 'taskFailed',
  stopped: 'taskStopped',
  checkpointed: 'taskStopped',
  lapsed: 'taskStopped',
  answerLost: 'answerLost',
} as const;

/** Looks up the addresses of workers. */
export interface WorkerDirectory {
  address(worker: string): string | undefined;
  /** Returns whether the worker's VM no longer exists. */
  isGone(worker: string): boolean;
}

/** Query for the outcome of an identity. */
export interface OutcomeQuery {
  readonly identity: string;
  /** Client that asks; records of other clients are never shown to it. */
  readonly client: string;
  /** Dead process whose journal holds the records of the identity. */
  readonly process: string;
}

/** Query together with the outcome that recovery found. */
export interface RecoveryResult {
  readonly query: OutcomeQuery;
  readonly finding: outcomeRule.Finding | {readonly kind: 'foreign'};
}

/** Resolved queries and effects of one event. */
export interface RecoveryOutput {
  readonly results: ReadonlyArray<RecoveryResult>;
  readonly effects: ReadonlyArray<effect.Effect>;
}

/** Records of a dead process, as read from the log and from witnesses. */
interface JournalCopy {
  readonly records: Map<string, journalBackend.JournalRecord[]>;
  nextOffset: number;
  isAtTail: boolean;
  /** False if the log had trimmed records before they were read. */
  isUntrimmed: boolean;
  nextReadAt: clock.Milliseconds;
  readonly unansweredWitnesses: Set<string>;
  witnessComplete: boolean;
  lastUsedAt: clock.Milliseconds;
}

interface OpenQuery {
  readonly query: OutcomeQuery;
  nextQueryAt: clock.Milliseconds;
}

interface TimestampedReport extends outcomeRule.ConclusiveReport {
  readonly sentAt: clock.Milliseconds;
}

interface OpenAnswerFetch {
  readonly worker: string;
  readonly sentAt: clock.Milliseconds;
}

interface KnownOutcome {
  readonly client: string;
  readonly outcome: requestTable.RequestOutcome;
}

/**
 * Finds the outcomes of identities whose home is dead. It reads the home's
 * journal in the log, the entries stored by witnesses, and worker reports.
 */
export class OutcomeRecovery {
  private readonly journalCopies = new Map<string, JournalCopy>();
  private readonly openQueries = new Map<string, OpenQuery>();
  private readonly reports = new Map<string, TimestampedReport>();
  private readonly taskOutcomes = new Map<
    string,
    requestTable.RequestOutcome
  >();
  private readonly knownOutcomes = new Map<string, KnownOutcome>();
  private readonly openFetches = new Map<string, OpenAnswerFetch>();
  private effects: effect.Effect[] = [];
  private results: RecoveryResult[] = [];

  constructor(
    private readonly directory: processDirectory.ProcessDirectory,
    private readonly workers: WorkerDirectory,
    private readonly witnesses: witnessStore.WitnessStore,
  ) {}

  /** Starts a query; the queried process must already have a successor. */
  query(query: OutcomeQuery, now: clock.Milliseconds): RecoveryOutput {
    const known = this.knownOutcomes.get(query.identity);
    if (known !== undefined) {
      this.results.push({
        query,
        finding: findingFor(known, query.client),
      });
      return this.takeOutput();
    }
    if (!this.openQueries.has(keyOf(query))) {
      this.openQueries.set(keyOf(query), {
        query,
        nextQueryAt: now,
      });
      this.openJournalCopy(query.process, now);
      this.advanceQueries(now);
    }
    return this.takeOutput();
  }

  /** Cancels a query that no caller waits for. */
  cancelQuery(query: OutcomeQuery): void {
    this.openQueries.delete(keyOf(query));
  }

  /** Caches the outcome of an adopted task; a later query may need it. */
  recordTaskOutcome(outcome: trackedTask.TaskOutcome): void {
    if (outcome.kind !== 'ended') return;
    const {end, answer, reference} = outcome;
    if (end === 'unresolved') return;
    keepNewest(this.taskOutcomes, reference.task, {
      result: RESULT_BY_END_STATE[end],
      detail: `task ${reference.task}: ${end}`,
      answer,
    });
  }

  /** Returns whether recovery has requested the answer of this task. */
  isFetching(task: string): boolean {
    return this.openFetches.has(task);
  }

  /** Handles the answers that recovery requested; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): RecoveryOutput {
    if (this.openQueries.size === 0 && this.journalCopies.size === 0) {
      return this.takeOutput();
    }
    if (this.processEvent(handled, now)) this.advanceQueries(now);
    return this.takeOutput();
  }

  nextDeadline(): clock.Milliseconds {
    let earliest = Infinity;
    for (const openQuery of this.openQueries.values()) {
      earliest = Math.min(earliest, openQuery.nextQueryAt);
    }
    return earliest;
  }

  private processEvent(handled: event.Event, now: clock.Milliseconds): boolean {
    switch (handled.kind) {
      case 'recordsRead':
        return this.handleRecordsRead(handled, now);
      case 'readFailed':
        return this.handleReadFailure(handled.stream, now);
      case 'readWitnessAnswered':
        return this.handleWitnessRead(handled);
      case 'reportArrived':
        return this.handleReport(handled);
      case 'taskAnswerArrived':
        return this.handleTaskAnswer(handled);
      case 'taskAnswerLost':
        return this.openFetches.delete(handled.task);
      case 'timePassed':
        this.expireJournalCopies(now);
        return true;
      default:
        return false;
    }
  }

  private openJournalCopy(process: string, now: clock.Milliseconds): void {
    const existing = this.journalCopies.get(process);
    if (existing !== undefined) {
      existing.lastUsedAt = now;
      return;
    }
    const own = this.witnesses.read(process);
    const others = this.directory
      .members()
      .filter(member => member.process !== process);
    const journalCopy: JournalCopy = {
      records: new Map(),
      nextOffset: 0,
      isAtTail: false,
      isUntrimmed: true,
      nextReadAt: now,
      unansweredWitnesses: new Set(others.map(member => member.process)),
      witnessComplete: own.complete,
      lastUsedAt: now,
    };
    this.journalCopies.set(process, journalCopy);
    for (const text of own.entries) addRecord(journalCopy, text);
    for (const {process: peer, address} of others) {
      this.effects.push({kind: 'readWitness', peer, address, process});
    }
    this.readJournal(process, journalCopy);
  }

  private readJournal(process: string, journalCopy: JournalCopy): void {
    journalCopy.nextReadAt = Infinity;
    const stream = journalBackend.journalStream(process);
    this.effects.push({
      kind: 'readStream',
      stream,
      from: journalCopy.nextOffset,
    });
  }

  private handleRecordsRead(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): boolean {
    const [process, journalCopy] = this.journalCopyOf(read.stream);
    if (journalCopy === undefined) return false;
    journalCopy.lastUsedAt = now;
    if (read.first > journalCopy.nextOffset) {
      journalCopy.isUntrimmed = false;
      journalCopy.nextOffset = read.first;
    }
    for (const {offset, data} of read.records) {
      if (offset < journalCopy.nextOffset) continue;
      journalCopy.nextOffset = offset + 1;
      addRecord(journalCopy, data);
    }
    journalCopy.isAtTail = journalCopy.nextOffset >= read.next;
    if (!journalCopy.isAtTail) this.readJournal(process, journalCopy);
    return true;
  }

  private handleReadFailure(stream: string, now: clock.Milliseconds): boolean {
    const [, journalCopy] = this.journalCopyOf(stream);
    if (journalCopy === undefined) return false;
    journalCopy.nextReadAt = now + QUERY_INTERVAL_MS;
    return false;
  }

  private journalCopyOf(stream: string): [string, JournalCopy | undefined] {
    for (const [process, journalCopy] of this.journalCopies) {
      if (journalBackend.journalStream(process) === stream) {
        return [process, journalCopy];
      }
    }
    return ['', undefined];
  }

  private handleWitnessRead(
    answered: Extract<event.Event, {kind: 'readWitnessAnswered'}>,
  ): boolean {
    const journalCopy = this.journalCopies.get(answered.process);
    if (journalCopy === undefined) return false;
    journalCopy.unansweredWitnesses.delete(answered.peer);
    if (answered.complete) journalCopy.witnessComplete = true;
    for (const text of answered.entries) addRecord(journalCopy, text);
    return true;
  }

  private handleReport(
    arrived: Extract<event.Event, {kind: 'reportArrived'}>,
  ): boolean {
    if (this.openQueries.size === 0) return false;
    const {report, sentAt} = arrived;
    this.reports.set(report.worker, {
      sentAt,
      workerClock: report.workerClock,
      tasks: new Map(report.tasks.map(item => [item.task, item])),
    });
    return true;
  }

  private handleTaskAnswer(
    arrived: Extract<event.Event, {kind: 'taskAnswerArrived'}>,
  ): boolean {
    if (this.openFetches.get(arrived.task)?.worker !== arrived.worker) {
      return false;
    }
    this.openFetches.delete(arrived.task);
    keepNewest(this.taskOutcomes, arrived.task, {
      result: RESULT_BY_END_STATE[arrived.state],
      detail: '',
      answer: arrived.answer,
    });
    return true;
  }

  private advanceQueries(now: clock.Milliseconds): void {
    for (const [process, journalCopy] of this.journalCopies) {
      if (now >= journalCopy.nextReadAt) this.readJournal(process, journalCopy);
    }
    for (const openQuery of this.openQueries.values()) {
      this.advanceQuery(openQuery, now);
    }
    if (this.openQueries.size === 0) this.reports.clear();
  }

  private advanceQuery(openQuery: OpenQuery, now: clock.Milliseconds): void {
    const {query} = openQuery;
    const journalCopy = this.journalCopies.get(query.process);
    if (journalCopy === undefined) return;
    const records = journalCopy.records.get(query.identity) ?? [];
    if (records.some(({entry}) => entry.client !== query.client)) {
      this.resolveQuery(query, {kind: 'foreign'});
      return;
    }
    const finding = outcomeRule.decide({
      records,
      logComplete: journalCopy.isAtTail && journalCopy.isUntrimmed,
      witnessComplete: journalCopy.witnessComplete,
      reports: this.conclusiveReports(query.process, now),
      answers: this.taskOutcomes,
    });
    this.actOnFinding(openQuery, journalCopy, finding, now);
  }

  /** Returns recent reports requested after the end of the home's permits. */
  private conclusiveReports(
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyMap<string, outcomeRule.ConclusiveReport> {
    const usable = [...this.reports].filter(
      ([, {sentAt}]) =>
        now - sentAt <= REPORT_VALIDITY_MS &&
        this.directory.hasSuccessor(process, sentAt),
    );
    return new Map(usable);
  }

  private actOnFinding(
    openQuery: OpenQuery,
    journalCopy: JournalCopy,
    finding: outcomeRule.Finding,
    now: clock.Milliseconds,
  ): void {
    const {query} = openQuery;
    const isDue = now >= openQuery.nextQueryAt;
    if (isDue) openQuery.nextQueryAt = now + QUERY_INTERVAL_MS;
    switch (finding.kind) {
      case 'ended':
        keepNewest(this.knownOutcomes, query.identity, {
          client: query.client,
          outcome: finding.outcome,
        });
        this.resolveQuery(query, finding);
        return;
      case 'notRun':
        this.resolveQuery(query, finding);
        return;
      case 'askWorker':
        if (this.workers.isGone(finding.worker)) {
          this.resolveQuery(query, {kind: 'lost'});
        } else if (isDue) {
          this.requestReport(finding.worker);
        }
        return;
      case 'fetchAnswer':
        this.fetchAnswer(finding.worker, finding.task, now);
        return;
      case 'offered':
      case 'running':
      case 'unknown':
      case 'lost':
        // A source that is not fully read may still contain a later record.
        if (
          journalCopy.isAtTail &&
          this.unansweredWitnesses(journalCopy).length === 0
        ) {
          this.resolveQuery(query, finding);
        } else if (isDue) {
          this.queryWitnesses(query.process, journalCopy);
        }
        return;
    }
  }

  private unansweredWitnesses(
    journalCopy: JournalCopy,
  ): ReadonlyArray<processDirectory.PeerProcess> {
    const members = this.directory.members();
    return members.filter(({process}) =>
      journalCopy.unansweredWitnesses.has(process),
    );
  }

  private queryWitnesses(process: string, journalCopy: JournalCopy): void {
    for (const {process: peer, address} of this.unansweredWitnesses(
      journalCopy,
    )) {
      this.effects.push({kind: 'readWitness', peer, address, process});
    }
  }

  private requestReport(worker: string): void {
    const address = this.workers.address(worker);
    if (address === undefined) return;
    this.effects.push({kind: 'readReport', worker, address});
  }

  private fetchAnswer(
    worker: string,
    task: string,
    now: clock.Milliseconds,
  ): void {
    const address = this.workers.address(worker);
    const sentAt = this.openFetches.get(task)?.sentAt ?? -Infinity;
    // Workers answer for an ended task at once, so a late answer is lost.
    if (address === undefined || now - sentAt < FETCH_RETRY_MS) return;
    this.openFetches.set(task, {worker, sentAt: now});
    this.effects.push({kind: 'fetchTaskAnswer', worker, address, task});
  }

  private resolveQuery(
    query: OutcomeQuery,
    finding: RecoveryResult['finding'],
  ): void {
    this.openQueries.delete(keyOf(query));
    this.effects.push(effect.count('recovered', {finding: finding.kind}));
    this.results.push({query, finding});
  }

  private expireJournalCopies(now: clock.Milliseconds): void {
    for (const [process, journalCopy] of this.journalCopies) {
      if (now - journalCopy.lastUsedAt >= JOURNAL_COPY_RETENTION_MS) {
        this.journalCopies.delete(process);
      }
    }
  }

  private takeOutput(): RecoveryOutput {
    const output = {results: this.results, effects: this.effects};
    this.results = [];
    this.effects = [];
    return output;
  }
}

function addRecord(journalCopy: JournalCopy, text: string): void {
  const record = journalBackend.decodeRecord(text);
  if (record === undefined) return;
  const {identity} = record.entry;
  const known = journalCopy.records.get(identity);
  if (known === undefined) journalCopy.records.set(identity, [record]);
  else known.push(record);
}

function findingFor(
  known: KnownOutcome,
  client: string,
): RecoveryResult['finding'] {
  if (known.client !== client) return {kind: 'foreign'};
  return {kind: 'ended', outcome: known.outcome};
}

function keyOf(query: OutcomeQuery): string {
  return `${query.identity} ${query.process} ${query.client}`;
}

function keepNewest<Value>(
  kept: Map<string, Value>,
  key: string,
  value: Value,
): void {
  kept.set(key, value);
  if (kept.size <= MAXIMUM_KEPT_OUTCOMES) return;
  const oldest = kept.keys().next().value;
  if (oldest !== undefined) kept.delete(oldest);
}
