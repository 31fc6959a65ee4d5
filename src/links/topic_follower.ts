import type * as clock from '../machines/clock.js';
import type * as keyedTopic from './keyed_topic.js';

/** Timing of the reads of a followed topic. */
export interface TopicFollowerOptions {
  /** Longest time that a read waits for a record. */
  readonly maximumWaitMs: number;
  /** Shortest time between two reads; batches the records in between. */
  readonly minimumReadIntervalMs: number;
  /**
   * Whether an answer without records proves the end of its wait, rather than
   * the time of its request. A store that answers before that, and whose answer
   * is held up, would prove a time at which it wasn't asked.
   */
  readonly trustsWait: boolean;
}

/** Where the records of a read end, compared with the topic's end. */
export type ReadDifference =
  /** Records up to the end of the topic. */
  | 'news'
  /** No records, and none are missing. */
  | 'noNews'
  /** The topic has records that the answer lacks. */
  | 'recordsMissing'
  /** The store is behind the records that were read before. */
  | 'storeBehind';

/** Receives the records of a followed topic and its availability. */
export interface TopicListener {
  /**
   * Called after each successful read. `changes` are the newest records of
   * their keys, in the order of their offsets. In a snapshot, keys that are not
   * among them no longer exist. At the time `provenAt`, the topic had no later
   * records; undefined if the answer proves that for no time.
   */
  received(
    changes: ReadonlyArray<keyedTopic.TopicRecord>,
    end: number,
    isSnapshot: boolean,
    provenAt: clock.Milliseconds | undefined,
  ): void;
  /**
   * Called after each successful read with whether its records reach the end of
   * the topic, as the store told it.
   */
  compared?(difference: ReadDifference): void;
  /** Called once when the store stops answering. */
  interrupted(detail: string): void;
  /**
   * Called with an unexpected error of `received`. A snapshot follows after a
   * pause, as it is not known which changes were applied.
   */
  failed(error: unknown): void;
  /** Called when the store answers again. */
  resumed(): void;
}

/** Backoff after a read that failed. */
const RETRY_DELAY_MS = 200;

/**
 * Delay after an unexpected error of the listener. A record that causes one
 * each time must not end a process that exits when errors follow each other.
 */
const FAULT_DELAY_MS = 2_500;

/** What became of one read of the loop. */
type ReadResult = 'applied' | 'unavailable' | 'failed';

/** One read, and what is known about its time. */
interface TopicRead {
  /** Undefined for a snapshot. */
  readonly from: number | undefined;
  readonly waitMs: number;
  readonly askedAt: clock.Milliseconds;
  readonly outcome: keyedTopic.ReadOutcome;
}

/** Reads a keyed topic in a loop: one snapshot, then its changes. */
export class TopicFollower {
  private closed = false;
  private isAvailable = true;
  private nextOffset: number | undefined;

  constructor(
    private readonly topic: keyedTopic.KeyedTopic,
    private readonly options: TopicFollowerOptions,
    private readonly listener: TopicListener,
    private readonly clock: clock.Clock,
    private readonly delay: (milliseconds: number) => Promise<void>,
  ) {}

  /** Reads until the follower is closed. */
  async run(): Promise<void> {
    while (!this.closed) {
      const startedAtMs = this.clock.now();
      const result = await this.readInTurn();
      if (this.closed) return;
      const answered = result !== 'unavailable';
      if (answered && !this.isAvailable) this.listener.resumed();
      this.isAvailable = answered;
      const delayMs = this.delayAfter(result, startedAtMs);
      if (delayMs > 0) await this.delay(delayMs);
    }
  }

  /**
   * Reads at once, beside the read of the loop, which may wait on a connection
   * that has gone silent. Resolves to whether the store answered in time.
   */
  async readNow(timeoutMs: number): Promise<boolean> {
    const read = await this.read(0, timeoutMs);
    if (this.closed || read.outcome.kind === 'unavailable') return false;
    return this.apply(read);
  }

  close(): void {
    this.closed = true;
  }

  private delayAfter(
    result: ReadResult,
    startedAt: clock.Milliseconds,
  ): number {
    switch (result) {
      case 'applied':
        return (
          startedAt + this.options.minimumReadIntervalMs - this.clock.now()
        );
      case 'unavailable':
        return RETRY_DELAY_MS;
      case 'failed':
        return FAULT_DELAY_MS;
    }
  }

  private async readInTurn(): Promise<ReadResult> {
    // While the store is unavailable, a read with a wait would block for the
    // whole wait in a silent store, even if the store recovers meanwhile.
    const waitMs = this.isAvailable ? this.options.maximumWaitMs : 0;
    const read = await this.read(waitMs);
    if (this.closed) return 'applied';
    if (read.outcome.kind === 'unavailable') {
      if (this.isAvailable) this.listener.interrupted(read.outcome.detail);
      return 'unavailable';
    }
    return this.apply(read) ? 'applied' : 'failed';
  }

  private async read(waitMs: number, marginMs?: number): Promise<TopicRead> {
    const askedAt = this.clock.now();
    const {nextOffset: from, topic} = this;
    const outcome = await (from === undefined
      ? topic.readNewest(marginMs)
      : topic.read(from, waitMs, marginMs));
    return {from, waitMs, askedAt, outcome};
  }

  /** Passes an answer to the listener; returns whether it had no error. */
  private apply(read: TopicRead): boolean {
    const {from, outcome} = read;
    if (outcome.kind !== 'read') {
      this.nextOffset = undefined;
      return true;
    }
    const difference = differenceOf(outcome);
    this.listener.compared?.(difference);
    // The answers of two reads may arrive in either order.
    this.nextOffset = Math.max(this.nextOffset ?? 0, outcome.end);
    // Only a snapshot shows records that were deleted while a read waited.
    const hasLostRecords =
      difference === 'recordsMissing' && outcome.records.length === 0;
    if (hasLostRecords) this.nextOffset = undefined;
    const isSnapshot = from === undefined;
    const provenAt = this.provenAt(read, difference);
    const {records, end} = outcome;
    try {
      this.listener.received(records, end, isSnapshot, provenAt);
      return true;
    } catch (error) {
      this.nextOffset = undefined;
      this.listener.failed(error);
      return false;
    }
  }

  /**
   * Returns the latest time that an answer is known not to precede: that of its
   * request or, if the store is trusted to have waited, the end of its wait.
   */
  private provenAt(
    {waitMs, askedAt}: TopicRead,
    difference: ReadDifference,
  ): clock.Milliseconds | undefined {
    if (difference === 'news') return askedAt;
    if (difference !== 'noNews') return undefined;
    if (!this.options.trustsWait) return askedAt;
    const waitEndedAt = askedAt + waitMs;
    return waitEndedAt <= this.clock.now() ? waitEndedAt : askedAt;
  }
}

function differenceOf({
  records,
  end,
  topicEnd,
}: keyedTopic.ReadOutcome & {readonly kind: 'read'}): ReadDifference {
  if (topicEnd > end) return 'recordsMissing';
  if (topicEnd < end) return 'storeBehind';
  return records.length > 0 ? 'news' : 'noNews';
}
