import * as streamReplica from '../contracts/stream_replica.js';
import type * as clock from '../machines/clock.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as ownership from './ownership.js';

/** Time between reads of the zone's stream. */
export const READ_INTERVAL_MS = 1_000;

/**
 * Least time between appends of one process. With the 168 entry processes of
 * 21 zones it keeps the cell under 300 appends a second.
 */
export const APPEND_INTERVAL_MS = 600;

/** Time after which an append without any answer counts as lost. */
const APPEND_DEADLINE_MS = 5_000;

/**
 * Records and time after which a snapshot is due. The log has to keep records
 * for over 2 h and for several thousand records, so that a snapshot is four
 * times as frequent as needed.
 */
export const SNAPSHOT_RECORDS = 1_000;
export const SNAPSHOT_INTERVAL_MS = 30 * 60 * 1_000;

/** Most records that a confirmation passes on to a peer that is behind. */
const PASSED_RECORDS = 200;

/** When a snapshot is due. */
export interface SnapshotRule {
  readonly records: number;
  readonly intervalMs: clock.Milliseconds;
}

/** The rule for a log that keeps records as long as the design assumes. */
export const DEFAULT_SNAPSHOT_RULE: SnapshotRule = {
  records: SNAPSHOT_RECORDS,
  intervalMs: SNAPSHOT_INTERVAL_MS,
};

/** A record as it is written: its identity makes copies recognisable. */
interface WrittenRecord {
  readonly id: string;
  readonly data: string;
  readonly record: ownership.ZoneRecord | streamReplica.SnapshotRecord;
}

/** An append that has not been read back yet. */
interface Batch {
  readonly append: number;
  readonly sentAt: clock.Milliseconds;
  /** When the answer came; undefined while it is awaited. */
  readonly answeredAt?: clock.Milliseconds;
  readonly lost: boolean;
}

/**
 * This process's end of the stream `zone/<zone>`: replays it, passes records
 * on, and repeats what it appended until it is read back.
 */
export class ZoneStream {
  private readonly replica: streamReplica.StreamReplica;
  private unread = new Map<string, WrittenRecord>();
  private batch: Batch | undefined;
  private recent: event.StreamRecord[] = [];
  private numberOfAppends = 0;
  private numberOfRecords = 0;
  private lastAppend = -Infinity;
  private nextRead: clock.Milliseconds = 0;
  private freshValue = -Infinity;
  private gapValue = false;
  private snapshotSeen = -1;
  private snapshotAt: clock.Milliseconds | undefined;

  constructor(
    private readonly name: string,
    private readonly process: string,
    state: streamReplica.ReplicatedState,
    private readonly rule = DEFAULT_SNAPSHOT_RULE,
  ) {
    this.replica = new streamReplica.StreamReplica(state);
  }

  /** Offset from which to read next. */
  get position(): number {
    return this.replica.position;
  }

  /** When the last read that reached the tail was sent. */
  get freshAt(): clock.Milliseconds {
    return this.freshValue;
  }

  /** Whether records are missing, so that the table cannot be relied on. */
  get incomplete(): boolean {
    return this.gapValue;
  }

  /** Whether an append of this process has not been read back. */
  get appending(): boolean {
    return this.unread.size > 0;
  }

  /** Records of this process that may or may not have taken effect. */
  unresolved(): ReadonlyArray<WrittenRecord['record']> {
    return [...this.unread.values()].map(written => written.record);
  }

  /** Applies a read; returns whether it reached the tail. */
  accept(
    read: Extract<event.Event, {kind: 'recordsRead'}>,
    now: clock.Milliseconds,
  ): boolean {
    const before = this.position;
    const progress = this.replica.accept(read);
    if (before < read.first) this.recent = [];
    this.remember(read.records, Math.max(before, read.first), now);
    this.gapValue = progress === 'gap';
    if (progress === 'behind') {
      this.nextRead = now;
      return false;
    }
    // A read that ends before the position is older than what is known.
    if (progress === 'gap' || read.next < this.position) return false;
    this.freshValue = Math.max(this.freshValue, read.sentAt);
    this.releaseIfAbsent(read.sentAt);
    return true;
  }

  /** Applies records that a peer passed on. */
  acceptPassed(
    records: ReadonlyArray<event.StreamRecord>,
    now: clock.Milliseconds,
  ): void {
    const before = this.position;
    this.replica.acceptRecords(records);
    this.remember(records, before, now);
  }

  /**
   * Records from `position` on for a peer; undefined if they are not all at
   * hand or too many.
   */
  recordsFrom(position: number): ReadonlyArray<event.StreamRecord> | undefined {
    if (position >= this.position) return [];
    const start = this.recent.findIndex(item => item.offset >= position);
    if (start < 0 || this.recent[start].offset !== position) return undefined;
    if (this.recent.length - start > PASSED_RECORDS) return undefined;
    return this.recent.slice(start);
  }

  /** Takes the answer to an append. */
  appendAnswered(
    answered: Extract<event.Event, {kind: 'appendAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    if (this.batch?.append !== answered.append) return;
    const lost = answered.answer === 'lost';
    this.batch = {...this.batch, answeredAt: now, lost};
    this.nextRead = now;
  }

  /** Whether records may be appended now. */
  mayAppend(now: clock.Milliseconds): boolean {
    if (this.unread.size > 0) return false;
    return now >= this.lastAppend + APPEND_INTERVAL_MS;
  }

  /** Appends records, which are repeated until they are read back. */
  append(
    records: ReadonlyArray<WrittenRecord['record']>,
    now: clock.Milliseconds,
  ): effect.Effect {
    for (const record of records) {
      this.numberOfRecords += 1;
      const id = `${this.process}/${this.numberOfRecords}`;
      const data = JSON.stringify({...record, id});
      this.unread.set(id, {id, data, record});
    }
    return this.send(now);
  }

  /** Reads when due, and repeats an append whose answer was lost. */
  poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    if (now >= this.nextRead) {
      this.nextRead = now + READ_INTERVAL_MS;
      const from = this.position;
      effects.push({kind: 'readStream', stream: this.name, from});
    }
    if (this.unread.size > 0 && this.batch === undefined) {
      const wait = this.lastAppend + APPEND_INTERVAL_MS;
      if (now >= wait) effects.push(this.send(now));
    }
    this.expireBatch(now);
    return effects;
  }

  /** When `poll` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextRead;
  }

  /** The snapshot that is due; undefined while the last one is recent. */
  dueSnapshot(
    now: clock.Milliseconds,
    patience: number,
  ): streamReplica.SnapshotRecord | undefined {
    this.snapshotAt ??= now;
    if (this.position === 0) return undefined;
    const records = this.position - this.replica.lastSnapshot;
    const due =
      records > this.rule.records * patience ||
      now - this.snapshotAt > this.rule.intervalMs * patience;
    return due ? this.replica.buildSnapshot() : undefined;
  }

  private send(now: clock.Milliseconds): effect.Effect {
    this.numberOfAppends += 1;
    this.lastAppend = now;
    this.batch = {append: this.numberOfAppends, sentAt: now, lost: false};
    return {
      kind: 'append',
      stream: this.name,
      append: this.numberOfAppends,
      records: [...this.unread.values()].map(written => written.data),
    };
  }

  private remember(
    records: ReadonlyArray<event.StreamRecord>,
    from: number,
    now: clock.Milliseconds,
  ): void {
    for (const record of records) {
      if (record.offset < from || record.offset >= this.position) continue;
      this.recent.push(record);
      const id = readIdentity(record);
      if (id !== undefined) this.unread.delete(id);
    }
    if (this.unread.size === 0) this.batch = undefined;
    if (this.recent.length > 2 * PASSED_RECORDS) {
      this.recent = this.recent.slice(-PASSED_RECORDS);
    }
    if (this.replica.lastSnapshot === this.snapshotSeen) return;
    this.snapshotSeen = this.replica.lastSnapshot;
    this.snapshotAt = now;
  }

  /** Lets a lost append be repeated when a later read does not show it. */
  private releaseIfAbsent(sentAt: clock.Milliseconds): void {
    const {answeredAt, lost} = this.batch ?? {lost: false};
    if (!lost || answeredAt === undefined || sentAt <= answeredAt) return;
    this.batch = undefined;
  }

  private expireBatch(now: clock.Milliseconds): void {
    if (this.batch === undefined || this.batch.lost) return;
    if (now < this.batch.sentAt + APPEND_DEADLINE_MS) return;
    this.batch = {...this.batch, answeredAt: now, lost: true};
  }
}

function readIdentity(record: event.StreamRecord): string | undefined {
  try {
    return (JSON.parse(record.data) as {readonly id?: string}).id;
  } catch {
    return undefined;
  }
}
