import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A change that has to survive this process. */
export type JournalChange =
  | {
      readonly kind: 'definition';
      readonly definition: job.JobDefinition;
      /** Unix time at which the job arrived. */
      readonly arrivedAtUnixMs: number;
    }
  | {
      readonly kind: 'progress';
      readonly id: string;
      readonly progress: jobRecord.JobProgress;
    }
  /** The job has settled and its retention time is over. */
  | {readonly kind: 'dropped'; readonly id: string}
  /** A worker on which tasks may run. */
  | {readonly kind: 'worker'; readonly worker: StoredWorker}
  /** No task runs any more on a worker of this id. */
  | {readonly kind: 'workerRemoved'; readonly id: string}
  /** The definition of a queue whose jobs are stored. */
  | {readonly kind: 'queue'; readonly stored: StoredQueue}
  /** No stored job belongs to a queue any more. */
  | {readonly kind: 'queueRemoved'; readonly name: string}
  /** The list of all workers that earlier versions stored is not needed. */
  | {readonly kind: 'combinedWorkersDropped'};

/** Journal entry of a queue, with which a later term continues its jobs. */
export interface StoredQueue {
  /** Version of the configuration that defined the queue. */
  readonly version: number;
  readonly queue: job.Queue;
}

/**
 * Journal entry of a worker that the next scheduler has to reach. If the
 * scheduler can't, it waits for the worker's leases to expire.
 */
export interface StoredWorker {
  readonly entry: remoteWorker.RegistryEntry;
  /**
   * The jobs that have runs there, once no more tasks are started there. While
   * undefined, any job may have runs there.
   */
  readonly closedJobs?: ReadonlyArray<string>;
  /**
   * Whether an earlier incarnation had the same id, and leases that were meant
   * for it may last.
   */
  readonly restarted?: boolean;
  /** Whether a restarted worker rejects the calls for its earlier incarnation. */
  readonly reached?: boolean;
  /**
   * Whether the progress of their jobs lists the runs there of tasks that last.
   * Terms of earlier versions don't list them.
   */
  readonly listsServices?: boolean;
}

/** Journal entry of a job, with which a later term continues it. */
export interface StoredJob {
  readonly definition: job.JobDefinition;
  readonly progress: jobRecord.JobProgress | undefined;
  /** Unix time of arrival; undefined if an earlier version stored the job. */
  readonly arrivedAtUnixMs?: number;
}

/** Content of the journal as earlier terms stored it. */
export interface JournalContent {
  readonly jobs: ReadonlyArray<StoredJob>;
  readonly workers: ReadonlyArray<StoredWorker>;
  readonly queues: ReadonlyArray<StoredQueue>;
  /** How much was read; undefined if the store doesn't count it. */
  readonly size?: JournalSize;
}

/** Returns the names of the queues of all stored jobs. */
export function queueNamesOf({jobs}: JournalContent): ReadonlySet<string> {
  return new Set(jobs.map(({definition}) => definition.queue));
}

/** Amount of data that was read from the journal. */
export interface JournalSize {
  readonly records: number;
  readonly bytes: number;
}

/** Why the store can never hold a change. */
export interface ChangeRejection {
  readonly reason: 'recordTooLarge' | 'keyTooLong' | 'rejectedByStore';
  /** Size of the record or key; undefined if only the store knows. */
  readonly bytes?: number;
  readonly limitBytes?: number;
}

/** Size of a change in the store. */
export interface ChangeSize {
  readonly bytes: number;
  /** Undefined if the store can hold the change. */
  readonly rejection?: ChangeRejection;
}

/** Outcome of a call to the journal's store. */
export type StoreOutcome =
  | 'stored'
  /** Not stored, and never will be: a change breaks a limit of the store. */
  | 'rejected'
  /** Definitely not stored; safe to retry. */
  | 'refused'
  /** May be stored now or later; the same call is safe to repeat. */
  | 'unanswered'
  /** A later term has opened the journal, which fences off this one. */
  | 'superseded';

/** The platform's store for the job journal; only the newest term may write. */
export interface JobJournalStore {
  /** Opens the journal for a term and fences off earlier ones. */
  open(term: number): Promise<StoreOutcome>;
  /**
   * Reads the whole journal; undefined if the store can't be read now. Calls
   * `onPart` with the size in bytes of each part that arrives.
   */
  load(
    onPart?: (byteCount: number) => void,
  ): Promise<JournalContent | undefined>;
  /** Returns the size of a change, and whether the store can hold it. */
  measure(change: JournalChange): ChangeSize;
  /**
   * Stores a batch of changes atomically. `sequence` rises by one with each new
   * batch; a call with the same number repeats the batch idempotently.
   */
  append(
    term: number,
    sequence: number,
    changes: ReadonlyArray<JournalChange>,
    timeoutMs: number,
  ): Promise<StoreOutcome>;
}

/** Timeout of the first call with a batch. */
const APPEND_TIMEOUT_MS = 900;

/** Timeout of retries: short, to notice soon that the store is back. */
const RETRY_TIMEOUT_MS = 350;

/** Delay before an unanswered or refused call is repeated. */
const RETRY_DELAY_MS = 120;

/** Delays between attempts; tests use simulated time. */
export interface DelayTimer {
  delay(milliseconds: number): Promise<void>;
}

/** Called when the change that it was passed with is stored. */
export type StoredListener = () => void;

/** Most changes of one call, which are encoded in one event loop turn. */
const MAXIMUM_BATCH_SIZE = 250;

/** Size that a call does not exceed unless it has one change only. */
const MAXIMUM_BATCH_BYTES = 1_048_576;

/** Called when the store can never hold the change that it was passed with. */
export type RejectedListener = (rejection: ChangeRejection) => void;

/** A change that is not stored yet. */
interface PendingChange {
  /** Returns the change; called on sending. */
  readonly read: () => JournalChange;
  readonly listeners: ReadonlyArray<StoredListener>;
  readonly onRejected: RejectedListener | undefined;
}

/** The changes of one call, by their keys. */
interface Batch {
  readonly pending: ReadonlyMap<string, PendingChange>;
  readonly changes: ReadonlyArray<JournalChange>;
}

/**
 * Writes changes in order, one call at a time. Changes that arrive during a
 * call are batched into the next ones; of those with one key, the last is sent.
 */
export class JobJournal {
  private readonly pending = new Map<string, PendingChange>();
  private writing = false;
  private closed = false;
  private sequence = 0;
  private unansweredSince: clock.Milliseconds | undefined;
  /** Whether a call since `unansweredSince` was given up or refused. */
  private hasFailedCall = false;
  /** Number of coming calls with one change each, to find a rejected one. */
  private singleChangeCalls = 0;

  constructor(
    private readonly store: JobJournalStore,
    private readonly term: number,
    private readonly clock: clock.Clock,
    private readonly timer: DelayTimer,
    private readonly onSuperseded: () => void,
    private readonly onRejected: (
      key: string,
      rejection: ChangeRejection,
    ) => void,
  ) {}

  /**
   * Returns how long the store has not answered; 0 if no call is pending. Until
   * a call was given up, no more than its timeout: this process may be late and
   * the answer unread.
   */
  unansweredMs(now: clock.Milliseconds): number {
    if (this.unansweredSince === undefined) return 0;
    const elapsedMs = now - this.unansweredSince;
    return this.hasFailedCall
      ? elapsedMs
      : Math.min(elapsedMs, APPEND_TIMEOUT_MS);
  }

  /** Whether the store is silent and no write would show its recovery. */
  get needsProbe(): boolean {
    return this.unansweredSince !== undefined && !this.writing;
  }

  /** Queues a change, replacing one with its key; calls `read` on sending. */
  put(
    key: string,
    read: () => JournalChange,
    onStored?: StoredListener,
    onRejected?: RejectedListener,
  ): void {
    const replaced = this.pending.get(key)?.listeners ?? [];
    const listeners =
      onStored === undefined ? replaced : [...replaced, onStored];
    this.pending.delete(key);
    this.pending.set(key, {read, listeners, onRejected});
    if (!this.writing) void this.writePending();
  }

  /** Removes a change that has not been sent; false if it may have been. */
  withdraw(key: string): boolean {
    return this.pending.delete(key);
  }

  /** Stops writing; changes that were not sent are dropped. */
  close(): void {
    this.closed = true;
  }

  private async writePending(): Promise<void> {
    this.writing = true;
    // Changes of the same event loop turn share a call.
    await Promise.resolve();
    while (this.pending.size > 0 && !this.closed) await this.appendBatch();
    this.writing = false;
  }

  /** Sends the oldest changes until they are stored or definitely are not. */
  private async appendBatch(): Promise<void> {
    const {pending: sent, changes} = this.takeBatch();
    if (changes.length === 0) return;
    this.unansweredSince ??= this.clock.now();
    const outcome = await this.appendUntilCertain(this.sequence + 1, changes);
    switch (outcome) {
      case 'refused':
        this.requeue(sent);
        await this.timer.delay(RETRY_DELAY_MS);
        return;
      case 'rejected':
        this.recordAnswer();
        this.handleRejectedBatch(sent);
        return;
      case 'stored':
        this.sequence += 1;
        this.recordAnswer();
        for (const {listeners} of sent.values()) {
          for (const listener of listeners) listener();
        }
        return;
      case 'closed':
    }
  }

  private recordAnswer(): void {
    this.unansweredSince = undefined;
    this.hasFailedCall = false;
  }

  /** Takes the oldest changes; drops those that the store can never hold. */
  private takeBatch(): Batch {
    const batch = new Map<string, PendingChange>();
    const changes: JournalChange[] = [];
    const maximumSize = this.singleChangeCalls > 0 ? 1 : MAXIMUM_BATCH_SIZE;
    this.singleChangeCalls = Math.max(0, this.singleChangeCalls - 1);
    let batchBytes = 0;
    for (const [key, pendingChange] of this.pending) {
      if (batch.size === maximumSize) break;
      const change = pendingChange.read();
      const {bytes, rejection} = this.store.measure(change);
      if (rejection !== undefined) {
        this.reject(key, pendingChange, rejection);
        continue;
      }
      if (batch.size > 0 && batchBytes + bytes > MAXIMUM_BATCH_BYTES) break;
      batchBytes += bytes;
      batch.set(key, pendingChange);
      changes.push(change);
      this.pending.delete(key);
    }
    return {pending: batch, changes};
  }

  /**
   * Drops a change that can never be stored. If its listener queues another one
   * in its place, those who wait for the change wait for that one.
   */
  private reject(
    key: string,
    rejected: PendingChange,
    rejection: ChangeRejection,
  ): void {
    if (this.pending.get(key) === rejected) this.pending.delete(key);
    this.onRejected(key, rejection);
    rejected.onRejected?.(rejection);
    const replacement = this.pending.get(key);
    if (replacement === undefined) return;
    const listeners = [...rejected.listeners, ...replacement.listeners];
    this.pending.set(key, {...replacement, listeners});
  }

  /** Finds the change at fault by sending each of the batch by itself. */
  private handleRejectedBatch(sent: ReadonlyMap<string, PendingChange>): void {
    if (sent.size > 1) {
      this.requeue(sent);
      this.singleChangeCalls = sent.size;
      return;
    }
    for (const [key, change] of sent) {
      this.reject(key, change, {reason: 'rejectedByStore'});
    }
  }

  /** Queues a refused batch again, before the changes that came later. */
  private requeue(sent: ReadonlyMap<string, PendingChange>): void {
    const newer = [...this.pending];
    this.pending.clear();
    for (const [key, change] of sent) this.pending.set(key, change);
    for (const [key, change] of newer) {
      const earlier = this.pending.get(key)?.listeners ?? [];
      const listeners = [...earlier, ...change.listeners];
      this.pending.set(key, {...change, listeners});
    }
  }

  /**
   * Repeats an unanswered call until its outcome is known, because it may still
   * take effect.
   */
  private async appendUntilCertain(
    sequence: number,
    changes: ReadonlyArray<JournalChange>,
  ): Promise<'stored' | 'rejected' | 'refused' | 'closed'> {
    let outcomeUnknown = false;
    while (!this.closed) {
      const outcome = await this.store.append(
        this.term,
        sequence,
        changes,
        outcomeUnknown ? RETRY_TIMEOUT_MS : APPEND_TIMEOUT_MS,
      );
      if (outcome === 'stored' || outcome === 'rejected') return outcome;
      this.hasFailedCall = true;
      if (outcome === 'superseded') {
        this.closed = true;
        this.onSuperseded();
        return 'closed';
      }
      if (outcome === 'unanswered') outcomeUnknown = true;
      if (outcome === 'refused' && !outcomeUnknown) return 'refused';
      await this.timer.delay(RETRY_DELAY_MS);
    }
    return 'closed';
  }
}
