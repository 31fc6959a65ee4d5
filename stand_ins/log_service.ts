import * as timers from 'node:timers/promises';
import * as jsonBody from '../src/links/json_body.js';
import * as standInServer from './stand_in_server.js';

interface StoredRecord {
  readonly offset: number;
  readonly data: string;
}

interface Stream {
  nextOffset: number;
  records: StoredRecord[];
}

/** Failures that a test can inject. */
export interface LogFailures {
  /** Connections close without a response. */
  readonly down: boolean;
  /** No call is answered; connections stay open. */
  readonly hangs: boolean;
  /** Appends take effect but are not acknowledged. */
  readonly losesAcknowledgements: boolean;
  /** Delay of every answer. */
  readonly delayMs: number;
  /** Number of the newest records that reads leave out. */
  readonly staleRecords: number;
}

const NO_FAILURES: LogFailures = {
  down: false,
  hangs: false,
  losesAcknowledgements: false,
  delayMs: 0,
  staleRecords: 0,
};

/** Stand-in for the append-only log service of the platform. */
export class LogService implements standInServer.StandInHandler {
  private readonly streams = new Map<string, Stream>();
  private readonly server = new standInServer.StandInServer(this);
  private failures = NO_FAILURES;
  private appliedAppends = 0;
  private answeredReads = 0;

  /** Creates a log that keeps at most `retention` records of each stream. */
  constructor(private readonly retention = Infinity) {}

  /** Starts listening and returns the address; port 0 selects a free port. */
  listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Replaces the injected failures; those not given are switched off. */
  setFailures(failures: Partial<LogFailures>): void {
    this.failures = {...NO_FAILURES, ...failures};
  }

  /** Stops answering on the open connections; later connections work. */
  silenceConnections(): void {
    this.server.silenceConnections();
  }

  /** Returns the number of appends that took effect. */
  appendCount(): number {
    return this.appliedAppends;
  }

  /** Returns the number of reads that were answered. */
  readCount(): number {
    return this.answeredReads;
  }

  /** Returns the retained records of a stream. */
  records(name: string): ReadonlyArray<string> {
    return this.stream(name).records.map(record => record.data);
  }

  /** Appends records without HTTP and returns the offset of the first one. */
  append(name: string, records: ReadonlyArray<string>): number {
    const stream = this.stream(name);
    const first = stream.nextOffset;
    for (const data of records) {
      stream.records.push({offset: stream.nextOffset, data});
      stream.nextOffset += 1;
    }
    if (stream.records.length > this.retention) {
      stream.records = stream.records.slice(-this.retention);
    }
    this.appliedAppends += 1;
    return first;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
  }

  /** Serves reads and appends. */
  async serve(call: standInServer.StandInCall): Promise<void> {
    const {down, hangs, losesAcknowledgements, delayMs} = this.failures;
    if (hangs) return;
    if (down) {
      call.drop();
      return;
    }
    const match = /^\/streams\/([^/]+)\/records$/.exec(call.url.pathname);
    if (match === null) {
      call.send(404, {detail: 'no such path'});
      return;
    }
    const name = decodeURIComponent(match[1]);
    if (call.method === 'GET') {
      const content = this.read(name, call.url);
      if (delayMs > 0) await timers.setTimeout(delayMs);
      call.send(200, content);
      return;
    }
    const parsed = jsonBody.parseJsonObject(call.body);
    const records = (parsed?.['records'] ?? []) as ReadonlyArray<string>;
    const offset = this.append(name, records);
    if (delayMs > 0) await timers.setTimeout(delayMs);
    if (losesAcknowledgements) call.drop();
    else call.send(200, {offset});
  }

  /**
   * Applies a change that a test posted. Its keys are names of failures,
   * `append` with `stream` and `records`, and `silenceConnections`.
   */
  control(change: Readonly<Record<string, unknown>>): void {
    const {append, silenceConnections, ...failures} = change;
    if (append !== undefined) {
      const {stream, records} = append as {
        readonly stream: string;
        readonly records: ReadonlyArray<string>;
      };
      this.append(stream, records);
    }
    if (silenceConnections === true) this.silenceConnections();
    if (Object.keys(failures).length > 0) this.setFailures(failures);
  }

  /** Returns counters, injected failures and the next offset of each stream. */
  observe(): unknown {
    return {
      appends: this.appliedAppends,
      reads: this.answeredReads,
      failures: this.failures,
      streams: Object.fromEntries(
        [...this.streams].map(([name, stream]) => [name, stream.nextOffset]),
      ),
    };
  }

  private stream(name: string): Stream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const created: Stream = {nextOffset: 0, records: []};
    this.streams.set(name, created);
    return created;
  }

  private read(name: string, url: URL): unknown {
    this.answeredReads += 1;
    const stream = this.stream(name);
    const from = Number(url.searchParams.get('from') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const first = stream.records[0]?.offset ?? stream.nextOffset;
    const next = Math.max(
      first,
      stream.nextOffset - this.failures.staleRecords,
    );
    const start = Math.max(0, from - first);
    const end = Math.min(start + limit, next - first);
    return {first, next, records: stream.records.slice(start, end)};
  }
}
