import type * as event from '../../src/contracts/event.js';

/** In-memory log service that retains a limited number of records. */
export class FakeLog {
  private readonly streams = new Map<string, event.StreamRecord[]>();
  private readonly trimmedCounts = new Map<string, number>();
  down = false;

  constructor(private readonly maximumRecords: number) {}

  /** Appends records in order. */
  append(stream: string, records: ReadonlyArray<string>): void {
    const retained = this.streams.get(stream) ?? [];
    for (const data of records) {
      retained.push({offset: this.nextOffset(stream), data});
      this.streams.set(stream, retained);
    }
    const excess = retained.length - this.maximumRecords;
    if (excess <= 0) return;
    retained.splice(0, excess);
    this.trimmedCounts.set(
      stream,
      (this.trimmedCounts.get(stream) ?? 0) + excess,
    );
  }

  /** Returns the answer to a read: at most 500 records from an offset on. */
  read(
    stream: string,
    from: number,
    sentAt: number,
  ): Extract<event.PlatformEvent, {kind: 'recordsRead'}> {
    const retained = this.streams.get(stream) ?? [];
    const first = this.trimmedCounts.get(stream) ?? 0;
    return {
      kind: 'recordsRead',
      stream,
      sentAt,
      first,
      next: this.nextOffset(stream),
      records: retained.filter(record => record.offset >= from).slice(0, 500),
    };
  }

  private nextOffset(stream: string): number {
    const retained = this.streams.get(stream) ?? [];
    return (this.trimmedCounts.get(stream) ?? 0) + retained.length;
  }
}
