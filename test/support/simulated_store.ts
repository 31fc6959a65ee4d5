import type * as keyedTopic from '../../src/links/keyed_topic.js';

/** Keyed topic in memory that conditional appends and long polls work on. */
export class SimulatedStore {
  readonly records: keyedTopic.TopicRecord[] = [];
  private waitingReads: Array<() => void> = [];

  /** Appends all records or, if the condition does not hold, none. */
  append(
    records: ReadonlyArray<keyedTopic.KeyedRecord>,
    options: keyedTopic.AppendOptions,
  ): keyedTopic.AppendOutcome {
    const offset = this.records.length;
    if (options.ifEnd !== undefined && options.ifEnd !== offset) {
      return {kind: 'conditionFailed', end: offset};
    }
    for (const [index, record] of records.entries()) {
      this.records.push({...record, offset: offset + index});
    }
    const {waitingReads} = this;
    this.waitingReads = [];
    for (const wake of waitingReads) wake();
    return {kind: 'appended', offset};
  }

  /** Returns the records from an offset on. */
  read(from: number): keyedTopic.ReadOutcome {
    const {length: end} = this.records;
    return {
      kind: 'read',
      records: this.records.slice(from),
      end,
      topicEnd: end,
    };
  }

  /** Returns the newest record of each key. */
  readNewest(): keyedTopic.ReadOutcome {
    const newest = new Map<string, keyedTopic.TopicRecord>();
    for (const record of this.records) {
      newest.delete(record.key);
      newest.set(record.key, record);
    }
    const {length: end} = this.records;
    return {kind: 'read', records: [...newest.values()], end, topicEnd: end};
  }

  /** Reads the records from an offset on once there is one. */
  readWhenAppended(
    from: number,
    answer: (outcome: keyedTopic.ReadOutcome) => void,
  ): void {
    if (this.records.length > from) answer(this.read(from));
    else this.waitingReads.push(() => answer(this.read(from)));
  }
}
