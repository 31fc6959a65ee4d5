import type * as keyedTopic from '../../src/links/keyed_topic.js';

/** Keyed topic in memory that conditional appends and long polls work on. */
export class SimulatedStore {
  readonly records: keyedTopic.TopicRecord[] = [];
  /** Returns the number of records that reads show; all by default. */
  visibleCount: () => number = () => this.records.length;
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
    const topicEnd = this.visibleCount();
    const records = this.records.slice(from, topicEnd);
    return {kind: 'read', records, end: from + records.length, topicEnd};
  }

  /** Returns the newest record of each key. */
  readNewest(): keyedTopic.ReadOutcome {
    const newest = new Map<string, keyedTopic.TopicRecord>();
    const end = this.visibleCount();
    for (const record of this.records.slice(0, end)) {
      newest.delete(record.key);
      newest.set(record.key, record);
    }
    return {kind: 'read', records: [...newest.values()], end, topicEnd: end};
  }

  /** Reads the records from an offset on once there is one. */
  readWhenAppended(
    from: number,
    answer: (outcome: keyedTopic.ReadOutcome) => void,
  ): void {
    if (this.visibleCount() > from) answer(this.read(from));
    else this.waitingReads.push(() => answer(this.read(from)));
  }
}
