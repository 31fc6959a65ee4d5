import type * as clock from '../machines/clock.js';
import type * as keyedTopic from './keyed_topic.js';

/** How a topic is followed. */
export interface TopicFollowerOptions {
  /** How long a read may wait for a record. */
  readonly maxWaitMs: number;
  /** Least time between two reads; records that come meanwhile share one. */
  readonly minReadIntervalMs: number;
}

/** Hears of a followed topic. */
export interface TopicListener {
  /**
   * The store answered. `changes` are the newest records of their keys, in the
   * order of their offsets; `whole` tells that keys not among them are gone.
   */
  received(
    changes: ReadonlyArray<keyedTopic.TopicRecord>,
    end: number,
    whole: boolean,
  ): void;
  /** The store does not answer; said once until it does again. */
  interrupted(detail: string): void;
  /** The store answers again. */
  resumed(): void;
}

/** Pause after a read that brought no answer. */
const RETRY_PAUSE_MS = 200;

/** Keeps up with a keyed topic until closed. */
export class TopicFollower {
  private closed = false;
  private answered = true;
  private next: number | undefined;

  constructor(
    private readonly topic: keyedTopic.KeyedTopic,
    private readonly options: TopicFollowerOptions,
    private readonly listener: TopicListener,
    private readonly clock: clock.Clock,
    private readonly pause: (milliseconds: number) => Promise<void>,
  ) {}

  /** Follows until the follower is closed. */
  async run(): Promise<void> {
    while (!this.closed) {
      const startedAt = this.clock.now();
      const answered = await this.step();
      if (this.closed) return;
      if (answered && !this.answered) this.listener.resumed();
      this.answered = answered;
      const spent = this.clock.now() - startedAt;
      const gap = this.answered
        ? this.options.minReadIntervalMs - spent
        : RETRY_PAUSE_MS;
      if (gap > 0) await this.pause(gap);
    }
  }

  close(): void {
    this.closed = true;
  }

  private async step(): Promise<boolean> {
    const whole = this.next === undefined;
    // A read that waits would hang in a silent store for all that time, also
    // when the store is back meanwhile.
    const waitMs = this.answered ? this.options.maxWaitMs : 0;
    const outcome =
      this.next === undefined
        ? await this.topic.readNewest()
        : await this.topic.read(this.next, waitMs);
    if (this.closed) return true;
    switch (outcome.kind) {
      case 'read':
        this.next = outcome.end;
        this.listener.received(outcome.records, outcome.end, whole);
        return true;
      case 'expired':
        this.next = undefined;
        return true;
      case 'unavailable':
        if (this.answered) this.listener.interrupted(outcome.detail);
        return false;
    }
  }
}
