import * as effect from './effect.js';
import * as journalBackend from './journal_backend.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';

/**
 * Maximum number of entries that wait for the log. Beyond it, starts are
 * refused and the ends of requests are not recorded, so that recovery has to
 * query the worker for them.
 */
const MAXIMUM_PENDING_ENTRIES = 10_000;

/**
 * Maximum append rate of all entry processes together. The log accepts several
 * hundred appends a second.
 */
const MAXIMUM_APPENDS_PER_SECOND = 300;

/** Maximum size of a recorded answer; a longer answer is dropped. */
const MAXIMUM_ANSWER_BYTES = 4_096;

/** Newly recorded entries and the effects of handling one event. */
export type RequestJournalOutput = journalBackend.JournalOutput;

/**
 * The request journal of this process. Every entry is appended to the log.
 * During a log outage it is also sent to witnesses; it is recorded as soon as
 * either of the two has acknowledged it.
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
      () => (this.processCount * 1_000) / MAXIMUM_APPENDS_PER_SECOND,
    );
    this.witnesses = new journalBackend.WitnessJournal(directory);
  }

  /** Queues an entry; `handle` reports the returned number once recorded. */
  record(entry: journalBackend.JournalEntry): number {
    this.lastEntryNumber += 1;
    const record = {
      number: this.lastEntryNumber,
      entry: withoutLongAnswer(entry),
    };
    const isFull = this.log.pendingCount() >= MAXIMUM_PENDING_ENTRIES;
    if (isFull && entry.kind === 'finished') return record.number;
    this.unrecordedNumbers.add(record.number);
    this.log.record(record);
    if (this.logOutage) this.witnesses.record(record);
    return record.number;
  }

  /** Returns whether a new entry can probably be recorded. */
  isAvailable(): boolean {
    if (this.log.pendingCount() >= MAXIMUM_PENDING_ENTRIES) return false;
    return this.log.isAvailable() || this.witnesses.isAvailable();
  }

  /** Returns whether the log has stopped answering. */
  isLogOutage(): boolean {
    return this.logOutage;
  }

  /** Returns how many entries neither the log nor the witnesses hold. */
  unrecordedCount(): number {
    return this.unrecordedNumbers.size;
  }

  /** Handles acknowledgements and sends queued entries. */
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

  /** Sends queued entries if a batch may be sent now. */
  flush(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    return [...this.log.flush(now), ...this.witnesses.flush(now)];
  }

  nextDeadline(): clock.Milliseconds {
    return Math.min(this.log.nextDeadline(), this.witnesses.nextDeadline());
  }

  private countProcesses(vms: ReadonlyArray<event.ListedVm>): void {
    const entries = vms.filter(listed => listed.role === 'entry');
    this.processCount = Math.max(1, entries.length);
  }

  private updateLogOutage(): ReadonlyArray<effect.Effect> {
    const isOutage = !this.log.isAvailable();
    if (isOutage === this.logOutage) return [];
    this.logOutage = isOutage;
    if (isOutage) {
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
      effect.count('journal_outage', {state: isOutage ? 'begun' : 'over'}),
      effect.log('warn', isOutage ? 'journalOutage' : 'journalRestored'),
    ];
  }
}

function withoutLongAnswer(
  entry: journalBackend.JournalEntry,
): journalBackend.JournalEntry {
  if (entry.kind !== 'finished') return entry;
  if (Buffer.byteLength(entry.answer) <= MAXIMUM_ANSWER_BYTES) return entry;
  return {...entry, answer: '', answerKept: false};
}
