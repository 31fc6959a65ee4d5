import * as jobRecord from './job_record.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobJournal from './job_journal.js';

/** Most settled jobs that one call of `dropSettled` removes. */
const MAXIMUM_DROPS_PER_CALL = 100;

/** All jobs of the cell, kept in step with the journal. */
export class JobTable {
  private readonly jobs = new Map<string, jobRecord.JobRecord>();
  /** Jobs with occurrences that are not due yet. */
  private readonly scheduled = new Set<jobRecord.JobRecord>();
  /** Jobs whose outcome is stored, in the order of its time. */
  private readonly settled = new Set<jobRecord.JobRecord>();

  constructor(
    private readonly journal: jobJournal.JobJournal,
    private readonly clock: clock.Clock,
    /** Returns Unix time in milliseconds. */
    private readonly wallClock: () => number,
    /** Called when the store can't hold the progress of an open job. */
    private readonly onProgressRejected: (record: jobRecord.JobRecord) => void,
  ) {}

  /** Returns the open jobs that have an occurrence due. */
  *dueJobs(nowUnixMs: number): Iterable<jobRecord.JobRecord> {
    for (const record of this.scheduled) {
      if (record.outcome !== 'open' || record.nextDueUnixMs === Infinity) {
        this.scheduled.delete(record);
        continue;
      }
      if (record.accepted && record.nextDueUnixMs <= nowUnixMs) yield record;
    }
  }

  /** Returns the jobs that have not settled. */
  *openJobs(): Iterable<jobRecord.JobRecord> {
    for (const record of this.jobs.values()) {
      if (record.outcome === 'open') yield record;
    }
  }

  get(id: string): jobRecord.JobRecord | undefined {
    return this.jobs.get(id);
  }

  /** Restores a job that an earlier term stored; it keeps its age. */
  restore({
    definition,
    progress,
    arrivedAtUnixMs,
  }: jobJournal.StoredJob): jobRecord.JobRecord {
    const ageMs = this.ageMsSince(arrivedAtUnixMs);
    const arrivedAt = this.clock.now() - ageMs;
    const record = new jobRecord.JobRecord(definition, arrivedAt);
    record.accepted = true;
    record.fromEarlierTerm = true;
    if (progress !== undefined) record.restore(progress);
    this.add(record);
    if (record.storedOutcome !== 'open') this.markSettled(record);
    return record;
  }

  /**
   * Adds and stores a new job; calls `onStored` when it may start, or
   * `onRejected` when the store can't hold it.
   */
  accept(
    definition: job.JobDefinition,
    arrivedAt: clock.Milliseconds,
    onStored: (record: jobRecord.JobRecord) => void,
    onRejected: (record: jobRecord.JobRecord) => void,
  ): jobRecord.JobRecord {
    const record = new jobRecord.JobRecord(definition, arrivedAt);
    this.add(record);
    const ageMs = this.clock.now() - arrivedAt;
    const arrivedAtUnixMs = this.wallClock() - ageMs;
    this.journal.put(
      definitionKey(definition.id),
      () => ({kind: 'definition', definition, arrivedAtUnixMs}),
      () => {
        // The job may have been withdrawn while the store refused it.
        if (this.jobs.get(definition.id) !== record) return;
        record.accepted = true;
        onStored(record);
      },
      () => {
        if (this.jobs.get(definition.id) !== record) return;
        this.remove(definition.id);
        onRejected(record);
      },
    );
    return record;
  }

  /** Removes a job that is definitely not stored; false if it may be. */
  withdraw(id: string): boolean {
    if (!this.journal.withdraw(definitionKey(id))) return false;
    this.remove(id);
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
        record.markPlacementsSent();
        return {
          kind: 'progress',
          id,
          progress: record.progress(this.clock.now()),
        };
      },
      () => {
        record.markPlacementsStored();
        // The outcome may have changed after this batch was sent.
        if (sentOutcome !== 'open' && record.storedOutcome === 'open') {
          record.storedOutcome = sentOutcome;
          this.markSettled(record);
        }
        onStored?.();
      },
      () => {
        if (record.outcome === 'open') this.onProgressRejected(record);
      },
    );
  }

  /** Removes jobs that settled at least `retentionMs` ago. */
  dropSettled(now: clock.Milliseconds, retentionMs: number): void {
    let droppedCount = 0;
    for (const record of this.settled) {
      if (now - (record.settledAt ?? now) < retentionMs) return;
      const {id} = record.definition;
      this.remove(id);
      this.journal.put(progressKey(id), () => ({kind: 'dropped', id}));
      droppedCount += 1;
      if (droppedCount === MAXIMUM_DROPS_PER_CALL) return;
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

  /** Returns the age of a stored job; clocks of VMs may differ. */
  private ageMsSince(arrivedAtUnixMs: number | undefined): clock.Milliseconds {
    if (arrivedAtUnixMs === undefined) return 0;
    return Math.max(0, this.wallClock() - arrivedAtUnixMs);
  }

  private add(record: jobRecord.JobRecord): void {
    this.jobs.set(record.definition.id, record);
    if (record.definition.schedule !== undefined) this.scheduled.add(record);
  }

  private remove(id: string): void {
    const record = this.jobs.get(id);
    if (record === undefined) return;
    this.jobs.delete(id);
    this.scheduled.delete(record);
    this.settled.delete(record);
  }

  private markSettled(record: jobRecord.JobRecord): void {
    record.settledAt = this.clock.now();
    this.settled.add(record);
  }
}

function definitionKey(id: string): string {
  return `definition/${id}`;
}

function progressKey(id: string): string {
  return `progress/${id}`;
}
