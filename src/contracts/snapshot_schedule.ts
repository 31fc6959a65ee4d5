import type * as clock from '../machines/clock.js';
import type * as randomSource from '../machines/random_source.js';
import type * as streamReplica from './stream_replica.js';

/**
 * Fraction of the retention time between two snapshots. Together with the
 * random part it is less than one half, the longest interval that readers rely
 * on.
 */
const REPEAT_FRACTION = 1 / 4;

/**
 * Fraction of the retention time before the first snapshot of a new process.
 * It is shorter because the age of the records found at the start is unknown.
 */
const FIRST_FRACTION = 1 / 8;

/** Fraction of the retention time over which snapshots are spread randomly. */
const SPREAD_FRACTION = 1 / 8;

/** Number of equal steps in the random part. */
const RANDOM_STEPS = 1_000;

/** Time after which a snapshot that was not read back is sent again. */
const RESEND_DELAY_MS = 60_000;

/** Age of the stream position that a recent snapshot has to include. */
const MAXIMUM_SNAPSHOT_LAG_MS = 60_000;

interface PositionSample {
  readonly readAt: clock.Milliseconds;
  readonly position: number;
}

/**
 * Decides when this process appends a snapshot: before the records that it
 * replaces expire, and not when another process has just appended one.
 */
export class SnapshotSchedule {
  private dueAt = Infinity;
  private lastSnapshotOffset = -1;
  private olderSample: PositionSample = {readAt: -Infinity, position: 0};
  private newerSample: PositionSample = {readAt: -Infinity, position: 0};

  constructor(
    private readonly retentionMs: clock.Milliseconds,
    private readonly random?: randomSource.RandomSource,
  ) {}

  /** Records the position to which the stream was read at `now`. */
  observe(replica: streamReplica.StreamReplica, now: clock.Milliseconds): void {
    if (this.dueAt === Infinity) {
      this.dueAt = now + this.randomDelay(FIRST_FRACTION);
    } else if (this.hasNewRecentSnapshot(replica)) {
      this.dueAt = now + this.randomDelay(REPEAT_FRACTION);
    }
    this.lastSnapshotOffset = replica.lastSnapshotOffset;
    if (now - this.newerSample.readAt < MAXIMUM_SNAPSHOT_LAG_MS) return;
    this.olderSample = this.newerSample;
    this.newerSample = {readAt: now, position: replica.position};
  }

  /** Returns whether a snapshot is due; never for an empty stream. */
  isDue(
    replica: streamReplica.StreamReplica,
    now: clock.Milliseconds,
  ): boolean {
    return now >= this.dueAt && replica.isComplete && replica.position > 0;
  }

  /** Records that a snapshot was sent, whose acknowledgement may be lost. */
  recordSent(now: clock.Milliseconds): void {
    this.dueAt = now + RESEND_DELAY_MS;
  }

  /**
   * Returns whether a new snapshot was read that includes all but the latest
   * records. A snapshot of a lagging process does not, and must not delay the
   * next one.
   */
  private hasNewRecentSnapshot(replica: streamReplica.StreamReplica): boolean {
    if (replica.lastSnapshotOffset === this.lastSnapshotOffset) return false;
    return replica.lastSnapshotThrough + 1 >= this.olderSample.position;
  }

  private randomDelay(fraction: number): clock.Milliseconds {
    const step = this.random?.below(RANDOM_STEPS) ?? 0;
    const spread = (step / RANDOM_STEPS) * SPREAD_FRACTION;
    return this.retentionMs * (fraction + spread);
  }
}
