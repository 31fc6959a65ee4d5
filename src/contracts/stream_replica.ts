import type * as event from './event.js';

/** State that depends only on the records of a stream. */
export interface ReplicatedState {
  /** Applies the next record that is not a snapshot. */
  apply(record: event.StreamRecord): void;
  /** Serialises the whole state. */
  snapshot(): string;
  /**
   * Replaces the whole state by the result of an earlier `snapshot`. Throws and
   * changes nothing if the text is not such a state.
   */
  restore(snapshot: string): void;
}

/** A record with the state up to an offset, which outlives those records. */
export interface SnapshotRecord {
  readonly kind: 'snapshot';
  /** Offset of the last record that the state includes. */
  readonly through: number;
  readonly state: string;
}

/** Progress of a replica after a read. */
export type ReplicaProgress =
  /** All records of the stream at the time of the read are applied. */
  | 'tail'
  /** More records have to be read. */
  | 'behind'
  /** Records were trimmed before they were read, and no snapshot covers them. */
  | 'gap';

/**
 * Replays a log stream. A replica uses a snapshot only if it lacks earlier
 * records and can still read all records after the snapshot's state, so that a
 * snapshot of a lagging process reverts nothing.
 */
export class StreamReplica {
  private nextOffset = 0;
  private lastSnapshotOffsetValue = -1;
  private lastSnapshotThroughValue = -1;
  /** Offset of the last record that the state includes. */
  private appliedThrough = -1;
  /** Whether the state includes every record before `nextOffset`. */
  private isCompleteValue = true;
  /** Records read since a gap, kept until a snapshot covers it. */
  private recordsAfterGap: event.StreamRecord[] = [];
  private firstOffsetAfterGap = 0;

  constructor(private readonly state: ReplicatedState) {}

  /** Offset of the next record to read. */
  get position(): number {
    return this.nextOffset;
  }

  /** Offset of the last snapshot read; -1 before the first. */
  get lastSnapshotOffset(): number {
    return this.lastSnapshotOffsetValue;
  }

  /** Offset of the last record that the last snapshot includes. */
  get lastSnapshotThrough(): number {
    return this.lastSnapshotThroughValue;
  }

  /** Whether the state includes every record before `position`. */
  get isComplete(): boolean {
    return this.isCompleteValue;
  }

  /** Applies the records of a read; repeated records change nothing. */
  applyRead(
    read: Extract<event.PlatformEvent, {kind: 'recordsRead'}>,
  ): ReplicaProgress {
    if (read.first > this.nextOffset) this.beginGap(read.first);
    this.applyRecords(read.records);
    if (this.nextOffset < read.next) return 'behind';
    return this.isCompleteValue ? 'tail' : 'gap';
  }

  /** Applies records in order; ignores those that do not follow directly. */
  applyRecords(records: ReadonlyArray<event.StreamRecord>): void {
    for (const record of records) {
      if (record.offset === this.nextOffset) this.applyNext(record);
    }
  }

  /**
   * Builds a snapshot of the present state. During a gap it ends at the last
   * record before the gap, because the state includes nothing later.
   */
  buildSnapshot(): SnapshotRecord {
    return {
      kind: 'snapshot',
      through: this.appliedThrough,
      state: this.state.snapshot(),
    };
  }

  private beginGap(first: number): void {
    this.isCompleteValue = false;
    this.recordsAfterGap = [];
    this.firstOffsetAfterGap = first;
    this.nextOffset = first;
  }

  private applyNext(record: event.StreamRecord): void {
    this.nextOffset = record.offset + 1;
    const snapshot = parseSnapshot(record);
    if (snapshot !== undefined) {
      this.lastSnapshotOffsetValue = record.offset;
      this.lastSnapshotThroughValue = snapshot.through;
    }
    if (!this.isCompleteValue) this.handleDuringGap(record, snapshot);
    else if (snapshot === undefined) this.state.apply(record);
    if (this.isCompleteValue) this.appliedThrough = record.offset;
  }

  private handleDuringGap(
    record: event.StreamRecord,
    snapshot: SnapshotRecord | undefined,
  ): void {
    if (snapshot === undefined) {
      this.recordsAfterGap.push(record);
      return;
    }
    if (snapshot.through + 1 < this.firstOffsetAfterGap) return;
    if (!this.restore(snapshot.state)) return;
    for (const later of this.recordsAfterGap) {
      if (later.offset > snapshot.through) this.state.apply(later);
    }
    this.recordsAfterGap = [];
    this.isCompleteValue = true;
  }

  private restore(text: string): boolean {
    try {
      this.state.restore(text);
      return true;
    } catch {
      return false;
    }
  }
}

function parseSnapshot(record: event.StreamRecord): SnapshotRecord | undefined {
  try {
    const parsed = JSON.parse(record.data) as Partial<SnapshotRecord>;
    if (parsed.kind !== 'snapshot') return undefined;
    // A snapshot cannot include records that follow it. One that claims to
    // would hide them from a reader that uses it.
    const {through} = parsed;
    if (!Number.isInteger(through)) return undefined;
    if (Number(through) < -1 || Number(through) >= record.offset) {
      return undefined;
    }
    if (typeof parsed.state !== 'string') return undefined;
    return parsed as SnapshotRecord;
  } catch {
    return undefined;
  }
}
