import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as result from '../result.js';

/** What is recorded of a non-idempotent request. */
export type JournalEntry =
  | {
      /** Written before the start of a task. */
      readonly kind: 'starting';
      readonly identity: string;
      readonly client: string;
      readonly task: string;
      readonly taskCount: number;
      /** Placements of the request so far; only the last one may have run. */
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
      /** False when the answer was too long to be kept. */
      readonly answerKept: boolean;
    };

/** An entry with its number, by which readers drop duplicates. */
export interface JournalRecord {
  readonly number: number;
  readonly entry: JournalEntry;
}

/** What a journal learnt from an event. */
export interface JournalTurn {
  /** Numbers of the entries that are recorded from now on. */
  readonly recorded: ReadonlyArray<number>;
  readonly effects: ReadonlyArray<effect.Effect>;
}

/** Makes entries outlast this process; an event tells when they do. */
export interface Journal {
  /** Takes an entry; it is recorded when a later turn says so. */
  record(record: JournalRecord): void;
  /** Sends what waits and learns what was recorded. */
  handle(handled: event.Event, now: clock.Milliseconds): JournalTurn;
  /** Sends what waits, as far as it may be sent now. */
  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect>;
  /** Whether entries can be recorded at present, as far as is known. */
  available(): boolean;
  /** Entries that are not yet recorded. */
  pending(): ReadonlyArray<JournalRecord>;
  /** Number of entries that are not yet recorded. */
  pendingCount(): number;
  nextDeadline(): clock.Milliseconds;
}

/** Most entries of one append or of one message to a witness. */
const BATCH_LIMIT = 500;

/** Time after which a failed read of the own stream is tried again. */
const CHECK_RETRY_MS = 1_000;

/** Time for witnesses to acknowledge before a batch is sent again. */
const WITNESS_DEADLINE_MS = 1_500;

const NOTHING: JournalTurn = {recorded: [], effects: []};

/** Returns the stream that holds the journal of a process. */
export function journalStream(process: string): string {
  return `journal/${process}`;
}

/** Returns a record as text. */
export function encodeRecord(record: JournalRecord): string {
  return JSON.stringify(record);
}

/** Reads a record; undefined when the text is none. */
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

type LogPhase = 'idle' | 'appending' | 'checking';

/**
 * Records entries in the log. One append is open at a time. After a lost
 * answer the stream is read up to its tail: what it shows is recorded, and the
 * rest is appended again.
 */
export class LogJournal implements Journal {
  private readonly stream: string;
  private waiting: JournalRecord[] = [];
  private batch: ReadonlyArray<JournalRecord> = [];
  private readonly found = new Set<number>();
  private phase: LogPhase = 'idle';
  private appendNumber = 0;
  private position = 0;
  private nextAppend: clock.Milliseconds = 0;
  private nextCheck: clock.Milliseconds = Infinity;
  private lostAt: clock.Milliseconds = Infinity;
  private up = true;

  constructor(
    process: string,
    /** Least time between two appends. */
    private readonly spacingMs: () => clock.Milliseconds,
  ) {
    this.stream = journalStream(process);
  }

  record(record: JournalRecord): void {
    this.waiting.push(record);
  }

  available(): boolean {
    return this.up;
  }

  pending(): ReadonlyArray<JournalRecord> {
    return [...this.batch, ...this.waiting];
  }

  pendingCount(): number {
    return this.batch.length + this.waiting.length;
  }

  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.phase !== 'idle' || this.waiting.length === 0) return [];
    if (now < this.nextAppend) return [];
    this.batch = this.waiting.splice(0, BATCH_LIMIT);
    this.phase = 'appending';
    this.nextAppend = now + this.spacingMs();
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

  handle(handled: event.Event, now: clock.Milliseconds): JournalTurn {
    switch (handled.kind) {
      case 'appendAnswered':
        if (handled.stream !== this.stream) return NOTHING;
        if (handled.append !== this.appendNumber) return NOTHING;
        return this.appendAnswered(handled.answer === 'appended', now);
      case 'recordsRead':
        if (handled.stream !== this.stream) return NOTHING;
        return this.recordsRead(handled, now);
      case 'readFailed':
        if (handled.stream === this.stream) this.checkFailed(now);
        return NOTHING;
      case 'timePassed':
        return {recorded: [], effects: this.timePassed(now)};
      default:
        return NOTHING;
    }
  }

  nextDeadline(): clock.Milliseconds {
    if (this.phase === 'checking') return this.nextCheck;
    const idle = this.phase === 'idle' && this.waiting.length > 0;
    return idle ? this.nextAppend : Infinity;
  }

  private appendAnswered(
    appended: boolean,
    now: clock.Milliseconds,
  ): JournalTurn {
    if (this.phase !== 'appending') return NOTHING;
    if (appended) {
      this.up = true;
      return this.finish(this.batch, now);
    }
    this.phase = 'checking';
    this.lostAt = now;
    this.found.clear();
    return {recorded: [], effects: [this.read()]};
  }

  private recordsRead(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): JournalTurn {
    this.position = Math.max(this.position, read.first);
    for (const {offset, data} of read.records) {
      if (offset < this.position) continue;
      this.position = offset + 1;
      const number = decodeRecord(data)?.number;
      if (number !== undefined) this.found.add(number);
    }
    if (this.phase !== 'checking') return NOTHING;
    const behind = this.position < read.next && read.records.length > 0;
    if (behind || read.sentAt < this.lostAt) {
      return {recorded: [], effects: [this.read()]};
    }
    this.up = true;
    const shown = this.batch.filter(item => this.found.has(item.number));
    const rest = this.batch.filter(item => !this.found.has(item.number));
    this.waiting = [...rest, ...this.waiting];
    return this.finish(shown, now);
  }

  private finish(
    recorded: ReadonlyArray<JournalRecord>,
    now: clock.Milliseconds,
  ): JournalTurn {
    this.phase = 'idle';
    this.batch = [];
    this.nextCheck = Infinity;
    this.found.clear();
    return {
      recorded: recorded.map(item => item.number),
      effects: this.flush(now),
    };
  }

  private checkFailed(now: clock.Milliseconds): void {
    if (this.phase !== 'checking') return;
    this.up = false;
    this.nextCheck = now + CHECK_RETRY_MS;
  }

  private timePassed(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.phase === 'idle') return this.flush(now);
    if (this.phase !== 'checking' || now < this.nextCheck) return [];
    this.nextCheck = Infinity;
    return [this.read()];
  }

  private read(): effect.Effect {
    return {kind: 'readStream', stream: this.stream, from: this.position};
  }
}

/**
 * Records entries with the other members of the zone while the log gives no
 * answer. An entry is recorded when every member has stored it.
 */
export class WitnessJournal implements Journal {
  private waiting: JournalRecord[] = [];
  private batch: ReadonlyArray<JournalRecord> = [];
  private readonly missing = new Set<string>();
  private batchNumber = 0;
  private deadline: clock.Milliseconds = Infinity;

  constructor(private readonly directory: processDirectory.ProcessDirectory) {}

  record(record: JournalRecord): void {
    this.waiting.push(record);
  }

  available(): boolean {
    return this.directory.members().length > 0;
  }

  pending(): ReadonlyArray<JournalRecord> {
    return [...this.batch, ...this.waiting];
  }

  pendingCount(): number {
    return this.batch.length + this.waiting.length;
  }

  /** Drops entries that need no witness any more. */
  forget(numbers: ReadonlySet<number>): void {
    const isOpen = (item: JournalRecord): boolean => !numbers.has(item.number);
    this.waiting = this.waiting.filter(isOpen);
    this.batch = this.batch.filter(isOpen);
  }

  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.batch.length > 0 || this.waiting.length === 0) return [];
    const members = this.directory.members();
    if (members.length === 0) return [];
    this.batch = this.waiting.splice(0, BATCH_LIMIT);
    this.batchNumber += 1;
    this.deadline = now + WITNESS_DEADLINE_MS;
    this.missing.clear();
    const entries = this.batch.map(encodeRecord);
    return members.map(({process, address}) => {
      this.missing.add(process);
      const batch = this.batchNumber;
      return {kind: 'sendWitness', peer: process, address, batch, entries};
    });
  }

  handle(handled: event.Event, now: clock.Milliseconds): JournalTurn {
    switch (handled.kind) {
      case 'witnessAnswered':
        if (handled.batch !== this.batchNumber) return NOTHING;
        if (!handled.stored) return NOTHING;
        return this.stored(handled.peer, now);
      case 'timePassed':
        return {recorded: [], effects: this.timePassed(now)};
      default:
        return NOTHING;
    }
  }

  nextDeadline(): clock.Milliseconds {
    return this.batch.length > 0 ? this.deadline : Infinity;
  }

  private stored(peer: string, now: clock.Milliseconds): JournalTurn {
    this.missing.delete(peer);
    if (this.batch.length === 0 || this.missing.size > 0) return NOTHING;
    const recorded = this.batch.map(item => item.number);
    this.batch = [];
    return {recorded, effects: this.flush(now)};
  }

  private timePassed(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.batch.length === 0 || now < this.deadline) return [];
    // The members may have changed: the batch goes to the present ones.
    this.waiting = [...this.batch, ...this.waiting];
    this.batch = [];
    return this.flush(now);
  }
}
