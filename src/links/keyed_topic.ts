/** A record of a topic that keeps the newest value of each key. */
export interface KeyedRecord {
  readonly key: string;
  /** Empty when the key was dropped. */
  readonly value: Uint8Array;
}

/** A record and its position. */
export interface TopicRecord extends KeyedRecord {
  readonly offset: number;
}

/** Conditions of an append. */
export interface AppendOptions {
  /** The append takes effect only when the topic ends at this offset. */
  readonly ifEnd?: number;
  /** Fences off writers of lower epochs and makes repeats idempotent. */
  readonly producer?: {
    readonly name: string;
    readonly epoch: number;
    readonly sequence: number;
  };
}

/** What came of an append. */
export type AppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number}
  /** The topic ends elsewhere. */
  | {readonly kind: 'conditionFailed'; readonly end: number}
  /** A writer of a higher epoch has written. */
  | {readonly kind: 'fenced'}
  /** The sequence number does not follow the last one. */
  | {readonly kind: 'outOfSequence'; readonly expected: number | undefined}
  /** Surely not appended; may be tried again. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** May be appended now or later. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** What came of a read. */
export type ReadOutcome =
  | {
      readonly kind: 'read';
      readonly records: ReadonlyArray<TopicRecord>;
      readonly end: number;
    }
  /** The records from this offset on are no longer kept. */
  | {readonly kind: 'expired'}
  | {readonly kind: 'unavailable'; readonly detail: string};

/** One keyed topic in the platform's store; no call rejects. */
export interface KeyedTopic {
  append(
    records: ReadonlyArray<KeyedRecord>,
    options: AppendOptions,
    timeoutMs: number,
  ): Promise<AppendOutcome>;
  /** Reads records from an offset on, waiting for one up to `waitMs`. */
  read(from: number, waitMs: number): Promise<ReadOutcome>;
  /** Reads the newest record of each key. */
  readNewest(): Promise<ReadOutcome>;
}
