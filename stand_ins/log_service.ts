import * as http from 'node:http';
import * as jsonBody from '../src/links/json_body.js';

interface StoredRecord {
  readonly offset: number;
  readonly data: string;
}

interface Stream {
  next: number;
  records: StoredRecord[];
}

/** Failures that a test switches on. */
export interface LogFailures {
  /** Every call fails. */
  readonly down: boolean;
  /** Appends take effect but are not acknowledged. */
  readonly losesAcknowledgements: boolean;
  /** Delay of every answer in milliseconds. */
  readonly delayMs: number;
}

const HEALTHY: LogFailures = {
  down: false,
  losesAcknowledgements: false,
  delayMs: 0,
};

/** Stand-in for the platform's append-only log service. */
export class LogService {
  private readonly streams = new Map<string, Stream>();
  private readonly server: http.Server;
  private failures = HEALTHY;
  private appends = 0;

  /** Keeps at most `retention` records of each stream. */
  constructor(private readonly retention = Infinity) {
    this.server = http.createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
  }

  /** Listens on a port that the system chooses when `port` is 0. */
  listen(port = 0): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(port, '127.0.0.1', () => {
        const address = this.server.address();
        const chosen = typeof address === 'object' ? address?.port : port;
        resolve(`127.0.0.1:${chosen}`);
      });
    });
  }

  /** Switches failures on or off. */
  fail(failures: Partial<LogFailures>): void {
    this.failures = {...HEALTHY, ...failures};
  }

  /** Appends that took effect. */
  appendCount(): number {
    return this.appends;
  }

  /** Appends as an operator's own tool would. */
  append(name: string, records: ReadonlyArray<string>): number {
    const stream = this.stream(name);
    const first = stream.next;
    for (const data of records) {
      stream.records.push({offset: stream.next, data});
      stream.next += 1;
    }
    if (stream.records.length > this.retention) {
      stream.records = stream.records.slice(-this.retention);
    }
    this.appends += 1;
    return first;
  }

  /** Stops the service. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private stream(name: string): Stream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const created: Stream = {next: 0, records: []};
    this.streams.set(name, created);
    return created;
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {down, losesAcknowledgements, delayMs} = this.failures;
    const body = await jsonBody.readBody(incoming, 16_777_216, 10_000);
    const url = new URL(incoming.url ?? '/', 'http://log');
    const match = /^\/streams\/([^/]+)\/records$/.exec(url.pathname);
    if (down || match === null || body.kind !== 'body') {
      response.destroy();
      return;
    }
    const name = decodeURIComponent(match[1]);
    if (incoming.method === 'GET') {
      await delay(delayMs);
      jsonBody.sendJson(response, 200, this.read(name, url));
      return;
    }
    const parsed = jsonBody.parseObject(body.text);
    const records = (parsed?.['records'] ?? []) as ReadonlyArray<string>;
    const offset = this.append(name, records);
    await delay(delayMs);
    if (losesAcknowledgements) response.destroy();
    else jsonBody.sendJson(response, 200, {offset});
  }

  private read(name: string, url: URL): unknown {
    const stream = this.stream(name);
    const from = Number(url.searchParams.get('from') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const first = stream.records[0]?.offset ?? stream.next;
    const start = Math.max(0, from - first);
    return {
      first,
      next: stream.next,
      records: stream.records.slice(start, start + limit),
    };
  }
}

function delay(milliseconds: number): Promise<void> {
  if (milliseconds <= 0) return Promise.resolve();
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
