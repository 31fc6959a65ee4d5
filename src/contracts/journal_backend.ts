import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as result from '../result.js';

/** Journal entry about a non-idempotent request. */
export type JournalEntry =
  | {
      /** Written before the start of a task. */
      readonly kind: 'starting';
      readonly identity: string;
      readonly client: string;
      readonly task: string;
      readonly taskCount: number;
      /** Number of this placement; only the last placement may have run. */
      readonly attempt: number;
      readonly worker: string;
      /** Latest lease end of the start, on the worker's clock. */
      readonly leaseBound: number;
    }
  | {
      /** Written before a request is offered to another process. */
      readonly kind: 'offered';
      readonly identity: string;
      readonly client: string;
      readonly process: string;
    }
  | {
      readonly kind: 'finished';
      readonly identity: string;
      readonly client: string;
      readonly result: result.ResultName;
      readonly detail: string;
      readonly answer: string;
      /** False if the answer was dropped because it is too long. */
      readonly answerKept: boolean;
    };

/** A numbered entry; readers drop duplicates by the number. */
export interface JournalRecord {
  readonly number: number;
  readonly entry: JournalEntry;
}

/** Newly recorded entries and the effects of handling one event. */
export interface JournalOutput {
  /** Numbers of the entries that became durable with this event. */
  readonly recorded: ReadonlyArray<number>;
  readonly effects: ReadonlyArray<effect.Effect>;
}

/** Stores journal entries so that they survive this process. */
export interface JournalBackend {
  /** Queues an entry; the output of `handle` names it once it is recorded. */
  record(record: JournalRecord): void;
  /** Handles acknowledgements and sends queued entries. */
  handle(handled: event.Event, now: clock.Milliseconds): JournalOutput;
  /** Sends queued entries if a batch may be sent now. */
  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect>;
  /** Returns whether entries can currently be recorded, as far as is known. */
  isAvailable(): boolean;
  /** Returns the entries that are not yet recorded. */
  pendingRecords(): ReadonlyArray<JournalRecord>;
  /** Returns the number of entries that are not yet recorded. */
  pendingCount(): number;
  nextDeadline(): clock.Milliseconds;
}

/** Maximum number of entries in one append or one message to a witness. */
const MAXIMUM_BATCH_ENTRIES = 500;

/** Time after which a failed read of this process's stream is retried. */
const READ_RETRY_INTERVAL_MS = 1_000;

/** Time after which a batch that a witness did not acknowledge is resent. */
const WITNESS_TIMEOUT_MS = 1_500;

const EMPTY_OUTPUT: JournalOutput = {recorded: [], effects: []};

/** Returns the name of the log stream that holds the journal of a process. */
export function journalStream(process: string): string {
  return `journal/${process}`;
}

/** Serialises a record as JSON. */
export function encodeRecord(record: JournalRecord): string {
  return JSON.stringify(record);
}

/** Parses a record; returns undefined if the text is not a valid record. */
export function decodeRecord(text: string): JournalRecord | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<JournalRecord>;
    if (typeof parsed.number !== 'number') return undefined;
    if (typeof parsed.entry?.identity !== 'string') return undefined;
    return parsed as JournalRecord;
  } catch {
    return undefined;
  }
}

type AppendPhase = 'idle' | 'appending' | 'checking';

/**
 * Records entries in the log with one open append at a time. If the answer to
 * an append is lost, the stream is read up to its tail: entries found there
 * are recorded, and the others are appended again.
 */
export class LogJournal implements JournalBackend {
  private readonly stream: string;
  private queuedRecords: JournalRecord[] = [];
  private batch: ReadonlyArray<JournalRecord> = [];
  private readonly numbersInLog = new Set<number>();
  private phase: AppendPhase = 'idle';
  private appendNumber = 0;
  private nextOffset = 0;
  private nextAppendAt: clock.Milliseconds = 0;
  private nextReadAt: clock.Milliseconds = Infinity;
  private appendLostAt: clock.Milliseconds = Infinity;
  private isLogAnswering = true;

  constructor(
    process: string,
    /** Returns the minimum time between two appends. */
    private readonly appendIntervalMs: () => clock.Milliseconds,
  ) {
    this.stream = journalStream(process);
  }

  record(record: JournalRecord): void {
    this.queuedRecords.push(record);
  }

  isAvailable(): boolean {
    return this.isLogAnswering;
  }

  pendingRecords(): ReadonlyArray<JournalRecord> {
    return [...this.batch, ...this.queuedRecords];
  }

  pendingCount(): number {
    return this.batch.length + this.queuedRecords.length;
  }

  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.phase !== 'idle' || this.queuedRecords.length === 0) return [];
    if (now < this.nextAppendAt) return [];
    this.batch = this.queuedRecords.splice(0, MAXIMUM_BATCH_ENTRIES);
    this.phase = 'appending';
    this.nextAppendAt = now + this.appendIntervalMs();
    this.appendNumber += 1;
    return [
      {
        kind: 'append',
        stream: this.stream,
        append: this.appendNumber,
        records: this.batch.map(encodeRecord),
      },
    ];
  }

  handle(handled: event.Event, now: clock.Milliseconds): JournalOutput {
    switch (handled.kind) {
      case 'appendAnswered':
        if (handled.stream !== this.stream) return EMPTY_OUTPUT;
        if (handled.append !== this.appendNumber) return EMPTY_OUTPUT;
        return this.handleAppendAnswer(handled.answer === 'appended', now);
      case 'recordsRead':
        if (handled.stream !== this.stream) return EMPTY_OUTPUT;
        return this.handleRecordsRead(handled, now);
      case 'readFailed':
        if (handled.stream === this.stream) this.handleReadFailure(now);
        return EMPTY_OUTPUT;
      case 'timePassed':
        return {recorded: [], effects: this.handleTimePassed(now)};
      default:
        return EMPTY_OUTPUT;
    }
  }

  nextDeadline(): clock.Milliseconds {
    if (this.phase === 'checking') return this.nextReadAt;
    const mayAppend = this.phase === 'idle' && this.queuedRecords.length > 0;
    return mayAppend ? this.nextAppendAt : Infinity;
  }

  private handleAppendAnswer(
    appended: boolean,
    now: clock.Milliseconds,
  ): JournalOutput {
    if (this.phase !== 'appending') return EMPTY_OUTPUT;
    if (appended) {
      this.isLogAnswering = true;
      return this.finishAppend(this.batch, now);
    }
    this.phase = 'checking';
    this.appendLostAt = now;
    this.numbersInLog.clear();
    return {recorded: [], effects: [this.readStream()]};
  }

  private handleRecordsRead(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): JournalOutput {
    this.nextOffset = Math.max(this.nextOffset, read.first);
    for (const {offset, data} of read.records) {
      if (offset < this.nextOffset) continue;
      this.nextOffset = offset + 1;
      const number = decodeRecord(data)?.number;
      if (number !== undefined) this.numbersInLog.add(number);
    }
    if (this.phase !== 'checking') return EMPTY_OUTPUT;
    const isBehind = this.nextOffset < read.next && read.records.length > 0;
    if (isBehind || read.sentAt < this.appendLostAt) {
      return {recorded: [], effects: [this.readStream()]};
    }
    this.isLogAnswering = true;
    const found = this.batch.filter(item => this.numbersInLog.has(item.number));
    const missing = this.batch.filter(
      item => !this.numbersInLog.has(item.number),
    );
    this.queuedRecords = [...missing, ...this.queuedRecords];
    return this.finishAppend(found, now);
  }

  private finishAppend(
    recorded: ReadonlyArray<JournalRecord>,
    now: clock.Milliseconds,
  ): JournalOutput {
    this.phase = 'idle';
    this.batch = [];
    this.nextReadAt = Infinity;
    this.numbersInLog.clear();
    return {
      recorded: recorded.map(item => item.number),
      effects: this.flush(now),
    };
  }

  private handleReadFailure(now: clock.Milliseconds): void {
    if (this.phase !== 'checking') return;
    this.isLogAnswering = false;
    this.nextReadAt = now + READ_RETRY_INTERVAL_MS;
  }

  private handleTimePassed(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (this.phase === 'idle') return this.flush(now);
    if (this.phase !== 'checking' || now < this.nextReadAt) return [];
    this.nextReadAt = Infinity;
    return [this.readStream()];
  }

  private readStream(): effect.Effect {
    return {kind: 'readStream', stream: this.stream, from: this.nextOffset};
  }
}

/**
 * Records entries at the other members of the zone while the log does not
 * answer. An entry is recorded once every member has stored it.
 */
export class WitnessJournal implements JournalBackend {
  private queuedRecords: JournalRecord[] = [];
  private batch: ReadonlyArray<JournalRecord> = [];
  private readonly unacknowledged = new Set<string>();
  private batchNumber = 0;
  private batchDeadline: clock.Milliseconds = Infinity;

  constructor(private readonly directory: processDirectory.ProcessDirectory) {}

  record(record: JournalRecord): void {
    this.queuedRecords.push(record);
  }

  isAvailable(): boolean {
    return this.directory.members().length > 0;
  }

  pendingRecords(): ReadonlyArray<JournalRecord> {
    return [...this.batch, ...this.queuedRecords];
  }

  pendingCount(): number {
    return this.batch.length + this.queuedRecords.length;
  }

  /** Drops entries that no longer need a witness. */
  dropEntries(numbers: ReadonlySet<number>): void {
    const isNeeded = (item: JournalRecord): boolean =>
      !numbers.has(item.number);
    this.queuedRecords = this.queuedRecords.filter(isNeeded);
    this.batch = this.batch.filter(isNeeded);
  }

  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.batch.length > 0 || this.queuedRecords.length === 0) return [];
    const members = this.directory.members();
    if (members.length === 0) return [];
    this.batch = this.queuedRecords.splice(0, MAXIMUM_BATCH_ENTRIES);
    this.batchNumber += 1;
    this.batchDeadline = now + WITNESS_TIMEOUT_MS;
    this.unacknowledged.clear();
    const entries = this.batch.map(encodeRecord);
    return members.map(({process, address}) => {
      this.unacknowledged.add(process);
      const batch = this.batchNumber;
      return {kind: 'sendWitness', peer: process, address, batch, entries};
    });
  }

  handle(handled: event.Event, now: clock.Milliseconds): JournalOutput {
    switch (handled.kind) {
      case 'witnessAnswered':
        if (handled.batch !== this.batchNumber) return EMPTY_OUTPUT;
        if (!handled.stored) return EMPTY_OUTPUT;
        return this.handleAcknowledgement(handled.peer, now);
      case 'timePassed':
        return {recorded: [], effects: this.handleTimePassed(now)};
      default:
        return EMPTY_OUTPUT;
    }
  }

  nextDeadline(): clock.Milliseconds {
    return this.batch.length > 0 ? this.batchDeadline : Infinity;
  }

  private handleAcknowledgement(
    peer: string,
    now: clock.Milliseconds,
  ): JournalOutput {
    this.unacknowledged.delete(peer);
    if (this.batch.length === 0 || this.unacknowledged.size > 0) {
      return EMPTY_OUTPUT;
    }
    const recorded = this.batch.map(item => item.number);
    this.batch = [];
    return {recorded, effects: this.flush(now)};
  }

  private handleTimePassed(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (this.batch.length === 0 || now < this.batchDeadline) return [];
    // The members may have changed, so the batch goes to the current ones.
    this.queuedRecords = [...this.batch, ...this.queuedRecords];
    this.batch = [];
    return this.flush(now);
  }
}
