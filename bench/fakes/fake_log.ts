import type * as event from '../../src/contracts/event.js';

/** In-memory log: append, read from an offset, limited retention. */
export class FakeLog {
  private readonly streams = new Map<string, event.StreamRecord[]>();
  private readonly trimmed = new Map<string, number>();
  down = false;

  constructor(private readonly retention: number) {}

  /** Appends records in order. */
  append(stream: string, records: ReadonlyArray<string>): void {
    const kept = this.streams.get(stream) ?? [];
    for (const data of records) {
      kept.push({offset: this.next(stream), data});
      this.streams.set(stream, kept);
    }
    const excess = kept.length - this.retention;
    if (excess <= 0) return;
    kept.splice(0, excess);
    this.trimmed.set(stream, (this.trimmed.get(stream) ?? 0) + excess);
  }

  /** Returns the records from an offset on. */
  read(
    stream: string,
    from: number,
    sentAt: number,
  ): Extract<event.PlatformEvent, {kind: 'recordsRead'}> {
    const kept = this.streams.get(stream) ?? [];
    const first = this.trimmed.get(stream) ?? 0;
    return {
      kind: 'recordsRead',
      stream,
      sentAt,
      first,
      next: this.next(stream),
      records: kept.filter(record => record.offset >= from).slice(0, 500),
    };
  }

  private next(stream: string): number {
    const kept = this.streams.get(stream) ?? [];
    return (this.trimmed.get(stream) ?? 0) + kept.length;
  }
}
