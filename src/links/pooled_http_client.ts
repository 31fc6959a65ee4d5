import * as undici from 'undici';
import * as connectionLimiter from './connection_limiter.js';
import type * as net from 'node:net';

/** One HTTP call. */
export interface PooledHttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Host and port. */
  readonly address: string;
  readonly path: string;
  readonly body?: unknown;
  /** Entity tag of what is known already; an unchanged answer has status 304. */
  readonly knownEntityTag?: string;
  /** Time until the headers of the answer, the wait for a turn included. */
  readonly headersTimeoutMs: number;
  /** Time from the headers to the end of the answer. */
  readonly bodyTimeoutMs: number;
  /** Largest answer in bytes. */
  readonly maxResponseBytes: number;
  /** Ends the call early. */
  readonly signal?: AbortSignal;
}

/** What came of a call. */
export type PooledHttpOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly text: string;
      /** Entity tag of the answer, when it has one. */
      readonly tag?: string;
    }
  /** Proved not to have reached the other side. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** May have taken effect. */
  | {readonly kind: 'lost'; readonly detail: string};

/** Options of a caller. */
export interface PooledHttpClientOptions {
  readonly connections: connectionLimiter.ConnectionBounds;
  /** Path without side effects for probes of silent connections. */
  readonly probePath: string;
  /** Hears of each address whose connections went silent. */
  readonly onSilent: (address: string) => void;
  /** Hears of each connection that is made. */
  readonly onConnected?: (socket: net.Socket) => void;
}

/** Time for a connection to be made; shorter than any deadline for headers. */
const CONNECT_DEADLINE_MS = 1_000;

/** Deadline of a probe over a new connection. */
const PROBE_DEADLINE_MS = 1_000;

/** Time without calls after which the connections of an address are closed. */
const IDLE_LIMIT_MS = 60_000;

/** Codes of faults that arise only before anything was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Codes of faults by which an origin shows that it is crowded. */
const CROWDED_CODES: ReadonlySet<string> = new Set([
  ...NOT_SENT_CODES,
  'ECONNRESET',
  'UND_ERR_SOCKET',
]);

interface Origin {
  pool: undici.Pool;
  readonly limit: connectionLimiter.ConnectionLimiter;
  probing: boolean;
  lastUsed: number;
}

/** A deadline that passed or a bound that was exceeded. */
class CallFault extends Error {
  constructor(
    readonly code: 'QUEUED' | 'HEADERS' | 'BODY' | 'TOO_LARGE',
    message: string,
  ) {
    super(message);
  }
}

/**
 * Sends HTTP calls over kept connections and never repeats one. A call whose
 * headers miss their deadline causes a probe over a new connection; when the
 * probe is answered, the old connections of that address take no more calls.
 */
export class PooledHttpClient {
  private readonly origins = new Map<string, Origin>();
  private lastSweep = 0;

  private readonly connect: undici.buildConnector.connector;

  constructor(private readonly options: PooledHttpClientOptions) {
    const build = undici.buildConnector({timeout: CONNECT_DEADLINE_MS});
    this.connect = (target, callback) =>
      build(target, (...made) => {
        // After a fault there is no socket, not even a null.
        const [fault, socket] = made;
        if (fault === null && socket) options.onConnected?.(socket);
        callback(...made);
      });
  }

  /** Sends one call; never rejects. */
  async call(call: PooledHttpRequest): Promise<PooledHttpOutcome> {
    const origin = this.origin(call.address);
    const abort = new AbortController();
    const forward = (): void => abort.abort(call.signal?.reason);
    call.signal?.addEventListener('abort', forward, {once: true});
    const timer = setTimeout(() => {
      abort.abort(new CallFault('HEADERS', 'no answer within the deadline'));
    }, call.headersTimeoutMs);
    try {
      if (!(await takeTurn(origin.limit, abort.signal))) {
        return {kind: 'notSent', detail: 'no connection was free in time'};
      }
      return await this.sendInTurn(origin, call, abort, timer);
    } finally {
      clearTimeout(timer);
      call.signal?.removeEventListener('abort', forward);
    }
  }

  /** Connections that may be open to an address at present. */
  connectionLimit(address: string): number {
    return this.origins.get(address)?.limit.current ?? 0;
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.origins.values()].map(({pool}) => pool.destroy());
    this.origins.clear();
    await Promise.all(pools);
  }

  private async sendInTurn(
    origin: Origin,
    call: PooledHttpRequest,
    abort: AbortController,
    timer: NodeJS.Timeout,
  ): Promise<PooledHttpOutcome> {
    const {pool} = origin;
    let outcome: PooledHttpOutcome;
    let refused = false;
    try {
      outcome = await send(pool, call, abort, timer);
    } catch (fault) {
      outcome = outcomeOf(fault);
      refused = CROWDED_CODES.has(codeOf(fault));
      if (fault instanceof CallFault && fault.code === 'HEADERS') {
        void this.probe(call.address, origin, pool);
      }
    }
    origin.limit.release(refused);
    return outcome;
  }

  private origin(address: string): Origin {
    const now = performance.now();
    this.sweep(now);
    const known = this.origins.get(address);
    if (known !== undefined) {
      known.lastUsed = now;
      return known;
    }
    const opened: Origin = {
      pool: this.openPool(address),
      limit: new connectionLimiter.ConnectionLimiter(this.options.connections),
      probing: false,
      lastUsed: now,
    };
    this.origins.set(address, opened);
    return opened;
  }

  /** Forgets addresses that are not called any more. */
  private sweep(now: number): void {
    if (now - this.lastSweep < IDLE_LIMIT_MS) return;
    this.lastSweep = now;
    for (const [address, origin] of this.origins) {
      const idle = now - origin.lastUsed >= IDLE_LIMIT_MS;
      if (!idle || origin.limit.open > 0) continue;
      this.origins.delete(address);
      void origin.pool.destroy();
    }
  }

  private openPool(address: string): undici.Pool {
    return new undici.Pool(`http://${address}`, {
      connections: this.options.connections.maximum,
      pipelining: 1,
      connect: this.connect,
      // The deadlines of each call replace the pool's own.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async probe(
    address: string,
    origin: Origin,
    silent: undici.Pool,
  ): Promise<void> {
    if (origin.probing || origin.pool !== silent) return;
    origin.probing = true;
    const fresh = this.openPool(address);
    const answered = await answersProbe(fresh, this.options.probePath);
    origin.probing = false;
    if (!answered || this.origins.get(address) !== origin) {
      void fresh.destroy();
      return;
    }
    origin.pool = fresh;
    // Calls that the old connections still answer are not cut off.
    void silent.close();
    this.options.onSilent(address);
  }
}

/** Waits for a turn below the limit; false when the call ends before it. */
function takeTurn(
  limit: connectionLimiter.ConnectionLimiter,
  signal: AbortSignal,
): Promise<boolean> {
  return new Promise(resolve => {
    if (signal.aborted) {
      resolve(false);
      return;
    }
    const withdraw = limit.acquire(() => {
      signal.removeEventListener('abort', leave);
      resolve(true);
    });
    function leave(): void {
      withdraw();
      resolve(false);
    }
    signal.addEventListener('abort', leave, {once: true});
  });
}

async function send(
  pool: undici.Pool,
  call: PooledHttpRequest,
  abort: AbortController,
  headersTimer: NodeJS.Timeout,
): Promise<PooledHttpOutcome> {
  const answer = await pool.request({
    method: call.method,
    path: call.path,
    signal: abort.signal,
    headers: {
      ...(call.body === undefined ? {} : {'content-type': 'application/json'}),
      ...(call.knownEntityTag === undefined
        ? {}
        : {'if-none-match': call.knownEntityTag}),
    },
    body: call.body === undefined ? null : JSON.stringify(call.body),
  });
  clearTimeout(headersTimer);
  const timer = setTimeout(() => {
    abort.abort(new CallFault('BODY', 'the answer did not end in time'));
  }, call.bodyTimeoutMs);
  try {
    const text = await readText(answer.body, call.maxResponseBytes);
    const {etag} = answer.headers;
    const tag = typeof etag === 'string' ? etag : undefined;
    return {kind: 'answered', status: answer.statusCode, text, tag};
  } finally {
    clearTimeout(timer);
  }
}

async function readText(
  body: AsyncIterable<Buffer>,
  largest: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > largest) {
      throw new CallFault('TOO_LARGE', `the answer exceeds ${largest} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

async function answersProbe(pool: undici.Pool, path: string): Promise<boolean> {
  try {
    const answer = await pool.request({
      method: 'GET',
      path,
      signal: AbortSignal.timeout(PROBE_DEADLINE_MS),
    });
    await answer.body.dump();
    return true;
  } catch {
    return false;
  }
}

function outcomeOf(fault: unknown): PooledHttpOutcome {
  const code = codeOf(fault);
  const detail = `${code}: ${fault instanceof Error ? fault.message : ''}`;
  return {kind: NOT_SENT_CODES.has(code) ? 'notSent' : 'lost', detail};
}

function codeOf(fault: unknown): string {
  return String((fault as {readonly code?: unknown} | undefined)?.code);
}
