import * as streamReplica from '../contracts/stream_replica.js';
import type * as clock from '../machines/clock.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as ownership from './ownership.js';

/** Time between reads of the zone's stream. */
export const READ_INTERVAL_MS = 1_000;

/**
 * Minimum time between appends of one process. It keeps the 168 entry processes
 * of 21 zones under 300 appends a second.
 */
export const APPEND_INTERVAL_MS = 600;

/** Time after which an unanswered append counts as lost. */
const APPEND_DEADLINE_MS = 5_000;

/**
 * Number of records and time after which a snapshot is due. The log has to keep
 * records for over 2 h and for several thousand records, so snapshots are four
 * times as frequent as needed.
 */
export const SNAPSHOT_RECORDS = 1_000;
export const SNAPSHOT_INTERVAL_MS = 30 * 60 * 1_000;

/** Maximum number of records that a confirmation forwards to a peer. */
const MAXIMUM_FORWARDED_RECORDS = 200;

/** When a snapshot is due. */
export interface SnapshotPolicy {
  readonly records: number;
  readonly intervalMs: clock.Milliseconds;
}

/** Policy for a log that keeps records as long as the design assumes. */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  records: SNAPSHOT_RECORDS,
  intervalMs: SNAPSHOT_INTERVAL_MS,
};

/** A record as written, with an identity by which copies are recognised. */
interface WrittenRecord {
  readonly id: string;
  readonly data: string;
  readonly record: ownership.ZoneRecord | streamReplica.SnapshotRecord;
}

/** An append that has not been read back yet. */
interface PendingAppend {
  readonly appendNumber: number;
  readonly sentAt: clock.Milliseconds;
  /** When the answer arrived; undefined until then. */
  readonly answeredAt?: clock.Milliseconds;
  readonly lost: boolean;
}

/**
 * Client of the stream `zone/<zone>`: replays it, forwards records to peers, and
 * repeats appended records until they are read back.
 */
export class ZoneStream {
  private readonly replica: streamReplica.StreamReplica;
  private pendingById = new Map<string, WrittenRecord>();
  private pendingAppend: PendingAppend | undefined;
  private recentRecords: event.StreamRecord[] = [];
  private appendCount = 0;
  private appendedRecordCount = 0;
  private lastAppendAt = -Infinity;
  private nextReadAt: clock.Milliseconds = 0;
  private lastTailReadSentAtValue = -Infinity;
  private hasGapValue = false;
  private lastSnapshotOffset = -1;
  private lastSnapshotAt: clock.Milliseconds | undefined;

  constructor(
    private readonly name: string,
    private readonly process: string,
    state: streamReplica.ReplicatedState,
    private readonly snapshotPolicy = DEFAULT_SNAPSHOT_POLICY,
  ) {
    this.replica = new streamReplica.StreamReplica(state);
  }

  /** Offset of the next record to read. */
  get position(): number {
    return this.replica.position;
  }

  /** When the last read that reached the end of the stream was sent. */
  get lastTailReadSentAt(): clock.Milliseconds {
    return this.lastTailReadSentAtValue;
  }

  /** Whether records are missing, which makes the table unreliable. */
  get hasGap(): boolean {
    return this.hasGapValue;
  }

  /** Whether records of this process have not been read back yet. */
  get hasPendingRecords(): boolean {
    return this.pendingById.size > 0;
  }

  /**
   * Returns the records of this process that were not read back yet, which may
   * or may not have taken effect.
   */
  pendingRecords(): ReadonlyArray<WrittenRecord['record']> {
    return [...this.pendingById.values()].map(written => written.record);
  }

  /** Applies a read; returns whether it reached the end of the stream. */
  applyRead(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): boolean {
    const previousPosition = this.position;
    const progress = this.replica.applyRead(read);
    if (previousPosition < read.first) this.recentRecords = [];
    this.retain(read.records, Math.max(previousPosition, read.first), now);
    this.hasGapValue = progress === 'gap';
    if (progress === 'behind') {
      this.nextReadAt = now;
      return false;
    }
    // A read that ends before the position is older than the applied records.
    if (progress === 'gap' || read.next < this.position) return false;
    this.lastTailReadSentAtValue = Math.max(
      this.lastTailReadSentAtValue,
      read.sentAt,
    );
    this.allowRetryIfAbsent(read.sentAt);
    return true;
  }

  /** Applies records that a peer forwarded. */
  applyForwarded(
    records: ReadonlyArray<event.StreamRecord>,
    now: clock.Milliseconds,
  ): void {
    const previousPosition = this.position;
    this.replica.applyRecords(records);
    this.retain(records, previousPosition, now);
  }

  /**
   * Returns the records from `position` on for a peer; undefined if some are
   * not in memory or if they exceed `MAXIMUM_FORWARDED_RECORDS`.
   */
  recordsFrom(position: number): ReadonlyArray<event.StreamRecord> | undefined {
    if (position >= this.position) return [];
    const start = this.recentRecords.findIndex(item => item.offset >= position);
    if (start < 0 || this.recentRecords[start].offset !== position) {
      return undefined;
    }
    if (this.recentRecords.length - start > MAXIMUM_FORWARDED_RECORDS) {
      return undefined;
    }
    return this.recentRecords.slice(start);
  }

  /** Handles the answer to an append. */
  handleAppendAnswer(
    answered: Extract<event.Event, {kind: 'appendAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    if (this.pendingAppend?.appendNumber !== answered.append) return;
    const lost = answered.answer === 'lost';
    this.pendingAppend = {...this.pendingAppend, answeredAt: now, lost};
    this.nextReadAt = now;
  }

  /** Returns whether records may be appended now. */
  canAppend(now: clock.Milliseconds): boolean {
    if (this.pendingById.size > 0) return false;
    return now >= this.lastAppendAt + APPEND_INTERVAL_MS;
  }

  /** Appends records; they are repeated until they are read back. */
  append(
    records: ReadonlyArray<WrittenRecord['record']>,
    now: clock.Milliseconds,
  ): effect.Effect {
    for (const record of records) {
      this.appendedRecordCount += 1;
      const id = `${this.process}/${this.appendedRecordCount}`;
      const data = JSON.stringify({...record, id});
      this.pendingById.set(id, {id, data, record});
    }
    return this.send(now);
  }

  /** Reads the stream when due and repeats a lost append. */
  poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    if (now >= this.nextReadAt) {
      this.nextReadAt = now + READ_INTERVAL_MS;
      const from = this.position;
      effects.push({kind: 'readStream', stream: this.name, from});
    }
    if (this.pendingById.size > 0 && this.pendingAppend === undefined) {
      const appendAllowedAt = this.lastAppendAt + APPEND_INTERVAL_MS;
      if (now >= appendAllowedAt) effects.push(this.send(now));
    }
    this.expirePendingAppend(now);
    return effects;
  }

  /** Returns when `poll` has to be called next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextReadAt;
  }

  /** Returns the snapshot that is due; undefined if the last one is recent. */
  dueSnapshot(
    now: clock.Milliseconds,
    delayFactor: number,
  ): streamReplica.SnapshotRecord | undefined {
    this.lastSnapshotAt ??= now;
    if (this.position === 0) return undefined;
    const records = this.position - this.replica.lastSnapshotOffset;
    const isDue =
      records > this.snapshotPolicy.records * delayFactor ||
      now - this.lastSnapshotAt > this.snapshotPolicy.intervalMs * delayFactor;
    return isDue ? this.replica.buildSnapshot() : undefined;
  }

  private send(now: clock.Milliseconds): effect.Effect {
    this.appendCount += 1;
    this.lastAppendAt = now;
    this.pendingAppend = {
      appendNumber: this.appendCount,
      sentAt: now,
      lost: false,
    };
    return {
      kind: 'append',
      stream: this.name,
      append: this.appendCount,
      records: [...this.pendingById.values()].map(written => written.data),
    };
  }

  private retain(
    records: ReadonlyArray<event.StreamRecord>,
    firstOffset: number,
    now: clock.Milliseconds,
  ): void {
    for (const record of records) {
      if (record.offset < firstOffset || record.offset >= this.position) {
        continue;
      }
      this.recentRecords.push(record);
      const id = parseRecordIdentity(record);
      if (id !== undefined) this.pendingById.delete(id);
    }
    if (this.pendingById.size === 0) this.pendingAppend = undefined;
    if (this.recentRecords.length > 2 * MAXIMUM_FORWARDED_RECORDS) {
      this.recentRecords = this.recentRecords.slice(-MAXIMUM_FORWARDED_RECORDS);
    }
    if (this.replica.lastSnapshotOffset === this.lastSnapshotOffset) return;
    this.lastSnapshotOffset = this.replica.lastSnapshotOffset;
    this.lastSnapshotAt = now;
  }

  /** Allows a lost append to be repeated if a later read does not show it. */
  private allowRetryIfAbsent(sentAt: clock.Milliseconds): void {
    const {answeredAt, lost} = this.pendingAppend ?? {lost: false};
    if (!lost || answeredAt === undefined || sentAt <= answeredAt) return;
    this.pendingAppend = undefined;
  }

  private expirePendingAppend(now: clock.Milliseconds): void {
    if (this.pendingAppend === undefined || this.pendingAppend.lost) return;
    if (now < this.pendingAppend.sentAt + APPEND_DEADLINE_MS) return;
    this.pendingAppend = {...this.pendingAppend, answeredAt: now, lost: true};
  }
}

function parseRecordIdentity(record: event.StreamRecord): string | undefined {
  try {
    return (JSON.parse(record.data) as {readonly id?: string}).id;
  } catch {
    return undefined;
  }
}
