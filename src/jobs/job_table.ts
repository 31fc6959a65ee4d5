import * as jobRecord from './job_record.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobJournal from './job_journal.js';

/** All jobs of the cell, kept in step with the journal. */
export class JobTable {
  private readonly jobs = new Map<string, jobRecord.JobRecord>();

  constructor(
    private readonly journal: jobJournal.JobJournal,
    private readonly clock: clock.Clock,
  ) {}

  all(): Iterable<jobRecord.JobRecord> {
    return this.jobs.values();
  }

  get(id: string): jobRecord.JobRecord | undefined {
    return this.jobs.get(id);
  }

  /** Restores a job that an earlier term stored. */
  restore(
    definition: job.JobDefinition,
    progress: jobRecord.JobProgress | undefined,
  ): jobRecord.JobRecord {
    const record = new jobRecord.JobRecord(definition, this.clock.now());
    record.accepted = true;
    record.fromEarlierTerm = true;
    if (progress !== undefined) record.restore(progress);
    if (record.storedOutcome !== 'open') record.settledAt = this.clock.now();
    this.jobs.set(definition.id, record);
    return record;
  }

  /** Adds and stores a new job; calls `onStored` when it may start. */
  accept(
    definition: job.JobDefinition,
    arrivedAt: clock.Milliseconds,
    onStored: (record: jobRecord.JobRecord) => void,
  ): jobRecord.JobRecord {
    const record = new jobRecord.JobRecord(definition, arrivedAt);
    this.jobs.set(definition.id, record);
    this.journal.put(
      definitionKey(definition.id),
      () => ({kind: 'definition', definition}),
      () => {
        // The job may have been withdrawn while the store refused it.
        if (this.jobs.get(definition.id) !== record) return;
        record.accepted = true;
        onStored(record);
      },
    );
    return record;
  }

  /** Removes a job that is definitely not stored; false if it may be. */
  withdraw(id: string): boolean {
    if (!this.journal.withdraw(definitionKey(id))) return false;
    this.jobs.delete(id);
    return true;
  }

  /** Stores the progress of a job. */
  store(record: jobRecord.JobRecord, onStored?: () => void): void {
    const {id} = record.definition;
    let sentOutcome = record.outcome;
    this.journal.put(
      progressKey(id),
      () => {
        sentOutcome = record.outcome;
        return {kind: 'progress', id, progress: record.progress()};
      },
      () => {
        // The outcome may have changed after this batch was sent.
        if (sentOutcome !== 'open' && record.storedOutcome === 'open') {
          record.storedOutcome = sentOutcome;
          record.settledAt = this.clock.now();
        }
        onStored?.();
      },
    );
  }

  /** Removes jobs that settled at least `retentionMs` ago. */
  dropSettled(now: clock.Milliseconds, retentionMs: number): void {
    for (const [id, record] of this.jobs) {
      if (record.settledAt === undefined) continue;
      if (now - record.settledAt < retentionMs) continue;
      this.jobs.delete(id);
      this.journal.put(progressKey(id), () => ({kind: 'dropped', id}));
    }
  }

  /** Counts accepted jobs of a queue of which no task has started. */
  countPending(queue: string): number {
    let count = 0;
    for (const record of this.jobs.values()) {
      const isPending =
        record.definition.queue === queue &&
        record.accepted &&
        !record.started &&
        record.outcome === 'open';
      if (isPending) count += 1;
    }
    return count;
  }
}

function definitionKey(id: string): string {
  return `definition/${id}`;
}

function progressKey(id: string): string {
  return `progress/${id}`;
}
