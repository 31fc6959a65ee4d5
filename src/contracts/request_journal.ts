import * as effects from './effect.js';
import * as journalBackend from './journal_backend.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';

/**
 * Most entries that wait for the log. Past it, endings are not recorded any
 * more, which costs recovery a question to the worker, and starts are refused.
 */
const MAX_PENDING_ENTRIES = 10_000;

/** Appends of all entry processes together; the log accepts several hundred. */
const MAX_APPENDS_PER_SECOND = 300;

/** Longest answer that is recorded, in bytes. */
const MAX_ANSWER_BYTES = 4_096;

/** What the keeper learnt from an event. */
export type RequestJournalOutput = journalBackend.JournalOutput;

/**
 * The journal of this process. Every entry goes to the log; while the log
 * gives no answer it goes to witnesses as well, and the first of both that
 * acknowledges it counts.
 */
export class RequestJournal {
  private readonly log: journalBackend.LogJournal;
  private readonly witnesses: journalBackend.WitnessJournal;
  private readonly unrecordedNumbers = new Set<number>();
  private lastEntryNumber = 0;
  private logOutage = false;

  private processCount = 1;

  constructor(process: string, directory: processDirectory.ProcessDirectory) {
    this.log = new journalBackend.LogJournal(
      process,
      () => (this.processCount * 1_000) / MAX_APPENDS_PER_SECOND,
    );
    this.witnesses = new journalBackend.WitnessJournal(directory);
  }

  /** Takes an entry and returns the number that `handle` will name. */
  record(entry: journalBackend.JournalEntry): number {
    this.lastEntryNumber += 1;
    const record = {
      number: this.lastEntryNumber,
      entry: withoutLongAnswer(entry),
    };
    const isFull = this.log.pendingCount() >= MAX_PENDING_ENTRIES;
    if (isFull && entry.kind === 'finished') return record.number;
    this.unrecordedNumbers.add(record.number);
    this.log.record(record);
    if (this.logOutage) this.witnesses.record(record);
    return record.number;
  }

  /** Whether a new entry has a chance to be recorded. */
  isAvailable(): boolean {
    if (this.log.pendingCount() >= MAX_PENDING_ENTRIES) return false;
    return this.log.isAvailable() || this.witnesses.isAvailable();
  }

  /** Whether the log gives no answer. */
  isLogOutage(): boolean {
    return this.logOutage;
  }

  /** Entries that neither the log nor the witnesses hold. */
  unrecordedCount(): number {
    return this.unrecordedNumbers.size;
  }

  /** Learns what was recorded and sends what waits. */
  handle(handled: event.Event, now: clock.Milliseconds): RequestJournalOutput {
    if (handled.kind === 'vmListRead') this.countProcesses(handled.vms);
    const fromLog = this.log.handle(handled, now);
    const fromWitnesses = this.witnesses.handle(handled, now);
    const recorded: number[] = [];
    for (const number of [...fromLog.recorded, ...fromWitnesses.recorded]) {
      if (this.unrecordedNumbers.delete(number)) recorded.push(number);
    }
    return {
      recorded,
      effects: [
        ...fromLog.effects,
        ...fromWitnesses.effects,
        ...this.updateLogOutage(),
        ...this.flush(now),
      ],
    };
  }

  /** Sends what waits, as far as it may be sent now. */
  flush(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    return [...this.log.flush(now), ...this.witnesses.flush(now)];
  }

  nextDeadline(): clock.Milliseconds {
    return Math.min(this.log.nextDeadline(), this.witnesses.nextDeadline());
  }

  private countProcesses(vms: ReadonlyArray<event.ListedVm>): void {
    const entries = vms.filter(listed => listed.role === 'entry');
    this.processCount = Math.max(1, entries.length);
  }

  private updateLogOutage(): ReadonlyArray<effects.Effect> {
    const outage = !this.log.isAvailable();
    if (outage === this.logOutage) return [];
    this.logOutage = outage;
    if (outage) {
      for (const record of this.log.pendingRecords()) {
        this.witnesses.record(record);
      }
    } else {
      const pendingNumbers = this.witnesses
        .pendingRecords()
        .map(item => item.number);
      this.witnesses.dropEntries(new Set(pendingNumbers));
    }
    return [
      effects.count('journal_outage', {state: outage ? 'begun' : 'over'}),
      effects.log('warn', outage ? 'journalOutage' : 'journalRestored'),
    ];
  }
}

function withoutLongAnswer(
  entry: journalBackend.JournalEntry,
): journalBackend.JournalEntry {
  if (entry.kind !== 'finished') return entry;
  if (Buffer.byteLength(entry.answer) <= MAX_ANSWER_BYTES) return entry;
  return {...entry, answer: '', answerKept: false};
}
