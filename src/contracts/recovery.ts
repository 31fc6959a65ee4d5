import * as effects from './effect.js';
import * as journal from './journal.js';
import * as outcomeRule from './outcome_rule.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as requestTable from './request_table.js';
import type * as trackedTask from '../machines/tracked_task.js';
import type * as witnessStore from './witness_store.js';

/** Time between two attempts to get what a question lacks. */
const ASK_INTERVAL_MS = 1_000;

/** Time after which the fetch of an ended task's answer is sent again. */
const FETCH_RETRY_MS = 2_000;

/** Age up to which a report is used for a further question. */
const REPORT_FRESH_MS = 3_000;

/** Time for which a dead process's journal is kept after the last question. */
const DOSSIER_MS = 600_000;

/** Most endings that are kept, of requests and of adopted tasks each. */
const ENDING_LIMIT = 10_000;

const ENDING_RESULTS = {
  finished: 'ok',
  failed: 'taskFailed',
  stopped: 'taskStopped',
  checkpointed: 'taskStopped',
  lapsed: 'taskStopped',
  answerLost: 'answerLost',
} as const;

/** Where workers listen. */
export interface WorkerAddresses {
  address(worker: string): string | undefined;
  /** Whether the worker's VM does not exist any more. */
  isGone(worker: string): boolean;
}

/** An identity whose outcome is to be found. */
export interface Question {
  readonly identity: string;
  /** Client that asks; a record of another client gives it no answer. */
  readonly client: string;
  /** Dead process whose journal decides. */
  readonly process: string;
}

/** The answer to a question. */
export interface RecoveryAnswer {
  readonly question: Question;
  readonly finding: outcomeRule.Finding | {readonly kind: 'foreign'};
}

/** What recovery learnt from an event. */
export interface RecoveryTurn {
  readonly answers: ReadonlyArray<RecoveryAnswer>;
  readonly effects: ReadonlyArray<effects.Effect>;
}

/** What is read of a dead process. */
interface Dossier {
  readonly records: Map<string, journal.JournalRecord[]>;
  position: number;
  atTail: boolean;
  /** False when the log had trimmed records before they were read. */
  whole: boolean;
  nextRead: clock.Milliseconds;
  readonly unasked: Set<string>;
  witnessComplete: boolean;
  usedAt: clock.Milliseconds;
}

interface OpenQuestion {
  readonly question: Question;
  nextAsk: clock.Milliseconds;
}

interface TimedReport extends outcomeRule.LateReport {
  readonly sentAt: clock.Milliseconds;
}

interface OpenFetch {
  readonly worker: string;
  readonly sentAt: clock.Milliseconds;
}

interface KnownEnding {
  readonly client: string;
  readonly ending: requestTable.Ending;
}

/**
 * Finds the outcomes of identities whose home is dead, from the home's journal
 * in the log, from witnesses, and from the reports of workers.
 */
export class Recovery {
  private readonly dossiers = new Map<string, Dossier>();
  private readonly open = new Map<string, OpenQuestion>();
  private readonly reports = new Map<string, TimedReport>();
  private readonly answers = new Map<string, requestTable.Ending>();
  private readonly endings = new Map<string, KnownEnding>();
  private readonly fetching = new Map<string, OpenFetch>();
  private effects: effects.Effect[] = [];
  private found: RecoveryAnswer[] = [];

  constructor(
    private readonly directory: processDirectory.ProcessDirectory,
    private readonly workers: WorkerAddresses,
    private readonly witnesses: witnessStore.WitnessStore,
  ) {}

  /** Asks for the outcome of an identity; the process must be succeeded. */
  ask(question: Question, now: clock.Milliseconds): RecoveryTurn {
    const known = this.endings.get(question.identity);
    if (known !== undefined) {
      this.found.push({question, finding: findingOf(known, question.client)});
      return this.finishTurn();
    }
    if (!this.open.has(keyOf(question))) {
      this.open.set(keyOf(question), {question, nextAsk: now});
      this.openDossier(question.process, now);
      this.advance(now);
    }
    return this.finishTurn();
  }

  /** Gives up a question that nobody waits for any more. */
  drop(question: Question): void {
    this.open.delete(keyOf(question));
  }

  /** Keeps how an adopted task ended; its journal may ask for it later. */
  noteOutcome(outcome: trackedTask.TaskOutcome): void {
    if (outcome.kind !== 'ended') return;
    const {end, answer, reference} = outcome;
    if (end === 'unresolved') return;
    keepNewest(this.answers, reference.task, {
      result: ENDING_RESULTS[end],
      detail: `task ${reference.task}: ${end}`,
      answer,
    });
  }

  /** Whether an answer of this task was asked for here. */
  expects(task: string): boolean {
    return this.fetching.has(task);
  }

  /** Takes what was asked for; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): RecoveryTurn {
    if (this.open.size === 0 && this.dossiers.size === 0) {
      return this.finishTurn();
    }
    if (this.take(handled, now)) this.advance(now);
    return this.finishTurn();
  }

  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const asked of this.open.values()) due = Math.min(due, asked.nextAsk);
    return due;
  }

  private take(handled: event.Event, now: clock.Milliseconds): boolean {
    switch (handled.kind) {
      case 'recordsRead':
        return this.recordsRead(handled, now);
      case 'readFailed':
        return this.readFailed(handled.stream, now);
      case 'readWitnessAnswered':
        return this.witnessRead(handled);
      case 'reportArrived':
        return this.reportArrived(handled);
      case 'taskAnswerArrived':
        return this.answerArrived(handled);
      case 'taskAnswerLost':
        return this.fetching.delete(handled.task);
      case 'timePassed':
        this.expire(now);
        return true;
      default:
        return false;
    }
  }

  private openDossier(process: string, now: clock.Milliseconds): void {
    const known = this.dossiers.get(process);
    if (known !== undefined) {
      known.usedAt = now;
      return;
    }
    const own = this.witnesses.read(process);
    const others = this.directory
      .members()
      .filter(member => member.process !== process);
    const dossier: Dossier = {
      records: new Map(),
      position: 0,
      atTail: false,
      whole: true,
      nextRead: now,
      unasked: new Set(others.map(member => member.process)),
      witnessComplete: own.complete,
      usedAt: now,
    };
    this.dossiers.set(process, dossier);
    for (const text of own.entries) addRecord(dossier, text);
    for (const {process: peer, address} of others) {
      this.effects.push({kind: 'readWitness', peer, address, process});
    }
    this.read(process, dossier);
  }

  private read(process: string, dossier: Dossier): void {
    dossier.nextRead = Infinity;
    const stream = journal.journalStream(process);
    this.effects.push({kind: 'readStream', stream, from: dossier.position});
  }

  private recordsRead(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): boolean {
    const [process, dossier] = this.dossierOf(read.stream);
    if (dossier === undefined) return false;
    dossier.usedAt = now;
    if (read.first > dossier.position) {
      dossier.whole = false;
      dossier.position = read.first;
    }
    for (const {offset, data} of read.records) {
      if (offset < dossier.position) continue;
      dossier.position = offset + 1;
      addRecord(dossier, data);
    }
    dossier.atTail = dossier.position >= read.next;
    if (!dossier.atTail) this.read(process, dossier);
    return true;
  }

  private readFailed(stream: string, now: clock.Milliseconds): boolean {
    const [, dossier] = this.dossierOf(stream);
    if (dossier === undefined) return false;
    dossier.nextRead = now + ASK_INTERVAL_MS;
    return false;
  }

  private dossierOf(stream: string): [string, Dossier | undefined] {
    for (const [process, dossier] of this.dossiers) {
      if (journal.journalStream(process) === stream) return [process, dossier];
    }
    return ['', undefined];
  }

  private witnessRead(
    answered: Extract<event.Event, {kind: 'readWitnessAnswered'}>,
  ): boolean {
    const dossier = this.dossiers.get(answered.process);
    if (dossier === undefined) return false;
    dossier.unasked.delete(answered.peer);
    if (answered.complete) dossier.witnessComplete = true;
    for (const text of answered.entries) addRecord(dossier, text);
    return true;
  }

  private reportArrived(
    arrived: Extract<event.Event, {kind: 'reportArrived'}>,
  ): boolean {
    if (this.open.size === 0) return false;
    const {report, sentAt} = arrived;
    this.reports.set(report.worker, {
      sentAt,
      workerClock: report.workerClock,
      tasks: new Map(report.tasks.map(item => [item.task, item])),
    });
    return true;
  }

  private answerArrived(
    arrived: Extract<event.Event, {kind: 'taskAnswerArrived'}>,
  ): boolean {
    if (this.fetching.get(arrived.task)?.worker !== arrived.worker) {
      return false;
    }
    this.fetching.delete(arrived.task);
    keepNewest(this.answers, arrived.task, {
      result: ENDING_RESULTS[arrived.state],
      detail: '',
      answer: arrived.answer,
    });
    return true;
  }

  private advance(now: clock.Milliseconds): void {
    for (const [process, dossier] of this.dossiers) {
      if (now >= dossier.nextRead) this.read(process, dossier);
    }
    for (const asked of this.open.values()) this.advanceQuestion(asked, now);
    if (this.open.size === 0) this.reports.clear();
  }

  private advanceQuestion(asked: OpenQuestion, now: clock.Milliseconds): void {
    const {question} = asked;
    const dossier = this.dossiers.get(question.process);
    if (dossier === undefined) return;
    const records = dossier.records.get(question.identity) ?? [];
    if (records.some(({entry}) => entry.client !== question.client)) {
      this.answer(question, {kind: 'foreign'});
      return;
    }
    const finding = outcomeRule.decide({
      records,
      logComplete: dossier.atTail && dossier.whole,
      witnessComplete: dossier.witnessComplete,
      reports: this.reportsFor(question.process, now),
      answers: this.answers,
    });
    this.follow(asked, dossier, finding, now);
  }

  /** Only a report from after the end of the home's permits proves anything. */
  private reportsFor(
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyMap<string, outcomeRule.LateReport> {
    const usable = [...this.reports].filter(
      ([, {sentAt}]) =>
        now - sentAt <= REPORT_FRESH_MS &&
        this.directory.isSucceeded(process, sentAt),
    );
    return new Map(usable);
  }

  private follow(
    asked: OpenQuestion,
    dossier: Dossier,
    finding: outcomeRule.Finding,
    now: clock.Milliseconds,
  ): void {
    const {question} = asked;
    const due = now >= asked.nextAsk;
    if (due) asked.nextAsk = now + ASK_INTERVAL_MS;
    switch (finding.kind) {
      case 'ended':
        keepNewest(this.endings, question.identity, {
          client: question.client,
          ending: finding.ending,
        });
        this.answer(question, finding);
        return;
      case 'notRun':
        this.answer(question, finding);
        return;
      case 'askWorker':
        if (this.workers.isGone(finding.worker)) {
          this.answer(question, {kind: 'lost'});
        } else if (due) {
          this.askWorker(finding.worker);
        }
        return;
      case 'fetchAnswer':
        this.fetchAnswer(finding.worker, finding.task, now);
        return;
      case 'offered':
      case 'running':
      case 'unknown':
      case 'lost':
        // An incomplete source may still show a later record.
        if (dossier.atTail && this.witnessesLeft(dossier).length === 0) {
          this.answer(question, finding);
        } else if (due) {
          this.askWitnesses(question.process, dossier);
        }
        return;
    }
  }

  private witnessesLeft(
    dossier: Dossier,
  ): ReadonlyArray<processDirectory.Member> {
    const members = this.directory.members();
    return members.filter(({process}) => dossier.unasked.has(process));
  }

  private askWitnesses(process: string, dossier: Dossier): void {
    for (const {process: peer, address} of this.witnessesLeft(dossier)) {
      this.effects.push({kind: 'readWitness', peer, address, process});
    }
  }

  private askWorker(worker: string): void {
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
    const sentAt = this.fetching.get(task)?.sentAt ?? -Infinity;
    // An ended task is answered at once, so a late answer is a lost one.
    if (address === undefined || now - sentAt < FETCH_RETRY_MS) return;
    this.fetching.set(task, {worker, sentAt: now});
    this.effects.push({kind: 'fetchTaskAnswer', worker, address, task});
  }

  private answer(question: Question, finding: RecoveryAnswer['finding']): void {
    this.open.delete(keyOf(question));
    this.effects.push(effects.count('recovered', {finding: finding.kind}));
    this.found.push({question, finding});
  }

  private expire(now: clock.Milliseconds): void {
    for (const [process, dossier] of this.dossiers) {
      if (now - dossier.usedAt >= DOSSIER_MS) this.dossiers.delete(process);
    }
  }

  private finishTurn(): RecoveryTurn {
    const turn = {answers: this.found, effects: this.effects};
    this.found = [];
    this.effects = [];
    return turn;
  }
}

function addRecord(dossier: Dossier, text: string): void {
  const record = journal.decodeRecord(text);
  if (record === undefined) return;
  const {identity} = record.entry;
  const known = dossier.records.get(identity);
  if (known === undefined) dossier.records.set(identity, [record]);
  else known.push(record);
}

function findingOf(
  known: KnownEnding,
  client: string,
): RecoveryAnswer['finding'] {
  if (known.client !== client) return {kind: 'foreign'};
  return {kind: 'ended', ending: known.ending};
}

function keyOf(question: Question): string {
  return `${question.identity} ${question.process} ${question.client}`;
}

function keepNewest<Value>(
  kept: Map<string, Value>,
  key: string,
  value: Value,
): void {
  kept.set(key, value);
  if (kept.size <= ENDING_LIMIT) return;
  const oldest = kept.keys().next().value;
  if (oldest !== undefined) kept.delete(oldest);
}
