/** Record of a compacted topic, which keeps the newest value of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** An empty value is a tombstone: the key was deleted. */
  readonly value: Uint8Array;
}

/** Record with its offset in the topic. */
export interface TopicRecord extends KeyedRecord {
  readonly offset: number;
}

/** Conditions and producer of an append. */
export interface AppendOptions {
  /** Appends only if the topic ends at this offset. */
  readonly ifEnd?: number;
  /** Fences writers of lower epochs and makes retries idempotent. */
  readonly producer?: {
    readonly name: string;
    readonly epoch: number;
    readonly sequence: number;
  };
}

/** Outcome of an append. */
export type AppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number}
  /** The topic ends at another offset. */
  | {readonly kind: 'conditionFailed'; readonly end: number}
  /** A writer of a higher epoch has written. */
  | {readonly kind: 'fenced'}
  /** The sequence number does not follow the last stored one. */
  | {readonly kind: 'outOfSequence'; readonly expected: number | undefined}
  /** Not appended, and never will be: the call breaks a limit of the store. */
  | {readonly kind: 'rejected'; readonly detail: string}
  /** Definitely not appended; safe to retry. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** May have been appended, or may still be. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Outcome of a read. */
export type ReadOutcome =
  | {
      readonly kind: 'read';
      readonly records: ReadonlyArray<TopicRecord>;
      /** Offset from which the next read continues. */
      readonly end: number;
      /** End of the topic when the store answered. */
      readonly topicEnd: number;
    }
  /** The records at this offset are no longer retained. */
  | {readonly kind: 'expired'}
  | {readonly kind: 'unavailable'; readonly detail: string};

/** Called with the size in bytes of a part of a response that has arrived. */
export type PartListener = (byteCount: number) => void;

/** Longest key, whose length has one byte in its record. */
export const MAXIMUM_KEY_BYTES = 255;

/** One keyed topic in the platform's store; no call rejects its promise. */
export interface KeyedTopic {
  append(
    records: ReadonlyArray<KeyedRecord>,
    options: AppendOptions,
    timeoutMs: number,
  ): Promise<AppendOutcome>;
  /**
   * Reads records from an offset on; waits up to `waitMs` for the first. The
   * read is given up `marginMs` after that wait.
   */
  read(from: number, waitMs: number, marginMs?: number): Promise<ReadOutcome>;
  /**
   * Reads the newest record of each key. With `onPart`, which is called with
   * the size of each part that arrives, the read is given up only once nothing
   * has arrived for `marginMs`.
   */
  readNewest(marginMs?: number, onPart?: PartListener): Promise<ReadOutcome>;
}
