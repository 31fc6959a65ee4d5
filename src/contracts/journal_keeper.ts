import * as effects from './effect.js';
import * as journal from './journal.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';

/**
 * Most entries that wait for the log. Past it, endings are not recorded any
 * more, which costs recovery a question to the worker, and starts are refused.
 */
const PENDING_LIMIT = 10_000;

/** Appends of all entry processes together; the log accepts several hundred. */
const APPENDS_PER_SECOND = 300;

/** Longest answer that is recorded, in bytes. */
const ANSWER_LIMIT = 4_096;

/** What the keeper learnt from an event. */
export type KeeperTurn = journal.JournalTurn;

/**
 * The journal of this process. Every entry goes to the log; while the log
 * gives no answer it goes to witnesses as well, and the first of both that
 * acknowledges it counts.
 */
export class JournalKeeper {
  private readonly log: journal.LogJournal;
  private readonly witnesses: journal.WitnessJournal;
  private readonly unrecorded = new Set<number>();
  private entryNumber = 0;
  private outage = false;

  private processes = 1;

  constructor(process: string, directory: processDirectory.ProcessDirectory) {
    this.log = new journal.LogJournal(
      process,
      () => (this.processes * 1_000) / APPENDS_PER_SECOND,
    );
    this.witnesses = new journal.WitnessJournal(directory);
  }

  /** Takes an entry and returns the number that `handle` will name. */
  record(entry: journal.JournalEntry): number {
    this.entryNumber += 1;
    const record = {number: this.entryNumber, entry: shorten(entry)};
    const full = this.log.pendingCount() >= PENDING_LIMIT;
    if (full && entry.kind === 'finished') return record.number;
    this.unrecorded.add(record.number);
    this.log.record(record);
    if (this.outage) this.witnesses.record(record);
    return record.number;
  }

  /** Whether a new entry has a chance to be recorded. */
  available(): boolean {
    if (this.log.pendingCount() >= PENDING_LIMIT) return false;
    return this.log.available() || this.witnesses.available();
  }

  /** Whether the log gives no answer. */
  inOutage(): boolean {
    return this.outage;
  }

  /** Entries that neither the log nor the witnesses hold. */
  unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /** Learns what was recorded and sends what waits. */
  handle(handled: event.Event, now: clock.Milliseconds): KeeperTurn {
    if (handled.kind === 'vmListRead') this.countProcesses(handled.vms);
    const fromLog = this.log.handle(handled, now);
    const fromWitnesses = this.witnesses.handle(handled, now);
    const recorded: number[] = [];
    for (const number of [...fromLog.recorded, ...fromWitnesses.recorded]) {
      if (this.unrecorded.delete(number)) recorded.push(number);
    }
    return {
      recorded,
      effects: [
        ...fromLog.effects,
        ...fromWitnesses.effects,
        ...this.noteOutage(),
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
    this.processes = Math.max(1, entries.length);
  }

  private noteOutage(): ReadonlyArray<effects.Effect> {
    const outage = !this.log.available();
    if (outage === this.outage) return [];
    this.outage = outage;
    if (outage) {
      for (const record of this.log.pending()) this.witnesses.record(record);
    } else {
      const waiting = this.witnesses.pending().map(item => item.number);
      this.witnesses.forget(new Set(waiting));
    }
    return [
      effects.count('journal_outage', {state: outage ? 'begun' : 'over'}),
      effects.log('warn', outage ? 'journalOutage' : 'journalRestored'),
    ];
  }
}

function shorten(entry: journal.JournalEntry): journal.JournalEntry {
  if (entry.kind !== 'finished') return entry;
  if (Buffer.byteLength(entry.answer) <= ANSWER_LIMIT) return entry;
  return {...entry, answer: '', answerKept: false};
}
