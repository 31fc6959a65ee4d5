import * as journal from './journal.js';
import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';

/** Time for which entries of a process are kept after its last one. */
const KEEP_MS = 7_200_000;

/** Most entries that are kept for one process. */
const ENTRY_LIMIT = 20_000;

/** What one process asked this one to keep. */
interface Testimony {
  readonly records: Map<number, string>;
  lastAt: clock.Milliseconds;
}

/** What a witness can say of a process. */
export interface WitnessAnswer {
  /** Whether every entry that was sent to witnesses must have come here. */
  readonly complete: boolean;
  readonly entries: ReadonlyArray<string>;
}

/** Keeps journal entries of other processes while the log gives no answer. */
export class WitnessStore {
  private readonly testimonies = new Map<string, Testimony>();

  constructor(
    private readonly self: string,
    private readonly directory: processDirectory.ProcessDirectory,
  ) {}

  /** Stores and returns entries; ignores other events. */
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

  /** Returns what is kept of a process. */
  read(process: string): WitnessAnswer {
    const records = this.testimonies.get(process)?.records;
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
    // Recovery has read this store already and must not be contradicted.
    if (this.directory.isSucceeded(process, now)) return false;
    const kept = this.testimonies.get(process) ?? {
      records: new Map<number, string>(),
      lastAt: now,
    };
    if (kept.records.size + entries.length > ENTRY_LIMIT) return false;
    for (const text of entries) {
      const record = journal.decodeRecord(text);
      if (record !== undefined) kept.records.set(record.number, text);
    }
    kept.lastAt = now;
    this.testimonies.set(process, kept);
    return true;
  }

  private expire(now: clock.Milliseconds): void {
    for (const [process, kept] of this.testimonies) {
      if (now - kept.lastAt >= KEEP_MS) this.testimonies.delete(process);
    }
  }
}
