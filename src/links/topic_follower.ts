import type * as clock from '../machines/clock.js';
import type * as keyedTopic from './keyed_topic.js';

/** Timing of the reads of a followed topic. */
export interface TopicFollowerOptions {
  /** Longest time that a read waits for a record. */
  readonly maximumWaitMs: number;
  /** Shortest time between two reads; batches the records in between. */
  readonly minimumReadIntervalMs: number;
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
   * among them no longer exist.
   */
  received(
    changes: ReadonlyArray<keyedTopic.TopicRecord>,
    end: number,
    isSnapshot: boolean,
  ): void;
  /**
   * Called after each successful read with whether its records reach the end of
   * the topic, as the store told it.
   */
  compared?(difference: ReadDifference): void;
  /** Called once when the store stops answering. */
  interrupted(detail: string): void;
  /** Called when the store answers again. */
  resumed(): void;
}

/** Backoff after a read that failed. */
const RETRY_DELAY_MS = 200;

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
      const answered = await this.readOnce();
      if (this.closed) return;
      if (answered && !this.isAvailable) this.listener.resumed();
      this.isAvailable = answered;
      const elapsedMs = this.clock.now() - startedAtMs;
      const delayMs = this.isAvailable
        ? this.options.minimumReadIntervalMs - elapsedMs
        : RETRY_DELAY_MS;
      if (delayMs > 0) await this.delay(delayMs);
    }
  }

  close(): void {
    this.closed = true;
  }

  private async readOnce(): Promise<boolean> {
    const isSnapshot = this.nextOffset === undefined;
    // While the store is unavailable, a read with a wait would block for the
    // whole wait in a silent store, even if the store recovers meanwhile.
    const waitMs = this.isAvailable ? this.options.maximumWaitMs : 0;
    const outcome =
      this.nextOffset === undefined
        ? await this.topic.readNewest()
        : await this.topic.read(this.nextOffset, waitMs);
    if (this.closed) return true;
    switch (outcome.kind) {
      case 'read':
        this.listener.compared?.(differenceOf(outcome));
        this.nextOffset = outcome.end;
        this.listener.received(outcome.records, outcome.end, isSnapshot);
        return true;
      case 'expired':
        this.nextOffset = undefined;
        return true;
      case 'unavailable':
        if (this.isAvailable) this.listener.interrupted(outcome.detail);
        return false;
    }
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
