import * as journalBackend from './journal_backend.js';
import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';

/** Time for which the entries of a process are kept after the last one. */
const ENTRY_RETENTION_MS = 7_200_000;

/** Maximum number of entries stored for one process; the rest is refused. */
const MAXIMUM_ENTRIES_PER_PROCESS = 20_000;

/** Journal entries that one other process has sent here. */
interface StoredProcessEntries {
  readonly records: Map<number, string>;
  lastStoredAt: clock.Milliseconds;
}

/** Entries of one process that a witness returns to recovery. */
export interface WitnessedEntries {
  /** Whether this witness has received every entry sent to witnesses. */
  readonly complete: boolean;
  readonly entries: ReadonlyArray<string>;
}

/** Stores journal entries of other processes during a log outage. */
export class WitnessStore {
  private readonly entriesByProcess = new Map<string, StoredProcessEntries>();

  constructor(
    private readonly self: string,
    private readonly directory: processDirectory.ProcessDirectory,
  ) {}

  /** Handles calls that store or read entries; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'witnessArrived': {
        const stored =
          handled.to === this.self &&
          this.store(handled.from, handled.entries, now);
        return [{kind: 'answerWitness', call: handled.call, stored}];
      }
      case 'readWitnessArrived': {
        const {complete, entries} = this.read(handled.process);
        const {call} = handled;
        return [{kind: 'answerReadWitness', call, complete, entries}];
      }
      case 'timePassed':
        this.expire(now);
        return [];
      default:
        return [];
    }
  }

  /** Returns the stored entries of a process. */
  read(process: string): WitnessedEntries {
    const records = this.entriesByProcess.get(process)?.records;
    return {
      complete: this.directory.joinedBefore(process),
      entries: [...(records?.values() ?? [])],
    };
  }

  private store(
    process: string,
    entries: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): boolean {
    // Recovery may already have read this store and decided from its entries.
    if (this.directory.hasSuccessor(process, now)) return false;
    const storedEntries = this.entriesByProcess.get(process) ?? {
      records: new Map<number, string>(),
      lastStoredAt: now,
    };
    if (
      storedEntries.records.size + entries.length >
      MAXIMUM_ENTRIES_PER_PROCESS
    ) {
      return false;
    }
    for (const text of entries) {
      const record = journalBackend.decodeRecord(text);
      if (record !== undefined) storedEntries.records.set(record.number, text);
    }
    storedEntries.lastStoredAt = now;
    this.entriesByProcess.set(process, storedEntries);
    return true;
  }

  private expire(now: clock.Milliseconds): void {
    for (const [process, storedEntries] of this.entriesByProcess) {
      if (now - storedEntries.lastStoredAt >= ENTRY_RETENTION_MS) {
        this.entriesByProcess.delete(process);
      }
    }
  }
}
