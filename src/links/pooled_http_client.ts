import * as undici from 'undici';
import * as connectionLimiter from './connection_limiter.js';
import type * as net from 'node:net';
import type * as responseTimer from '../machines/response_timer.js';

/** One HTTP request with its timeouts and size limit. */
export interface PooledHttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Host and port. */
  readonly address: string;
  readonly path: string;
  readonly body?: unknown;
  /** Entity tag of the known version; the status is 304 when it is current. */
  readonly knownEntityTag?: string;
  /** Timeout of the response headers, including the wait for a slot. */
  readonly headersTimeoutMs: number;
  /** Timeout from the headers to the end of the response. */
  readonly bodyTimeoutMs: number;
  /** Largest response body. */
  readonly maximumResponseBytes: number;
  /** Aborts the request early. */
  readonly signal?: AbortSignal;
}

/** Outcome of an HTTP request. */
export type PooledHttpOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly text: string;
      /** Entity tag of the response, if any. */
      readonly entityTag?: string;
    }
  /** Definitely not received by the server; safe to retry. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** May have taken effect on the server. */
  | {readonly kind: 'lost'; readonly detail: string};

/** Options of a pooled HTTP client. */
export interface PooledHttpClientOptions {
  readonly timer: responseTimer.ResponseTimer;
  readonly connections: connectionLimiter.ConnectionBounds;
  /** Path without side effects, for probes after a timeout. */
  readonly probePath: string;
  /** Called with each address whose connections were silent and replaced. */
  readonly onSilent: (address: string) => void;
  /** Called with the socket of each new connection. */
  readonly onConnected?: (socket: net.Socket) => void;
}

/** Timeout of connecting; shorter than any timeout of response headers. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of a probe over a new connection. */
const PROBE_TIMEOUT_MS = 1_000;

/** Time after which the connections of an unused address are closed. */
const IDLE_TIMEOUT_MS = 60_000;

/** Codes of errors that occur only before anything is sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Codes of errors that indicate an overloaded origin. */
const OVERLOAD_ERROR_CODES: ReadonlySet<string> = new Set([
  ...NOT_SENT_ERROR_CODES,
  'ECONNRESET',
  'UND_ERR_SOCKET',
]);

interface Origin {
  pool: undici.Pool;
  readonly limiter: connectionLimiter.ConnectionLimiter;
  isProbing: boolean;
  lastUsedMs: number;
}

/** Error of a request that exceeded a timeout or a limit. */
class CallError extends Error {
  constructor(
    readonly code: 'QUEUED' | 'HEADERS' | 'BODY' | 'TOO_LARGE',
    message: string,
  ) {
    super(message);
  }
}

/**
 * HTTP client with one connection pool and one adaptive connection limit per
 * address. Never retries a request. A request whose response headers time out
 * causes a probe over a new connection; when the probe is answered, the old
 * connections of that address get no more requests.
 */
export class PooledHttpClient {
  private readonly origins = new Map<string, Origin>();
  private lastCleanupMs = 0;

  private readonly connector: undici.buildConnector.connector;

  constructor(private readonly options: PooledHttpClientOptions) {
    const openSocket = undici.buildConnector({timeout: CONNECT_TIMEOUT_MS});
    this.connector = (target, callback) =>
      openSocket(target, (...opened) => {
        // After an error the socket is missing altogether, not null.
        const [error, socket] = opened;
        if (error === null && socket) options.onConnected?.(socket);
        callback(...opened);
      });
  }

  /** Sends one request; never rejects its promise. */
  async call(request: PooledHttpRequest): Promise<PooledHttpOutcome> {
    const origin = this.originOf(request.address);
    const abortController = new AbortController();
    const forwardAbort = (): void =>
      abortController.abort(request.signal?.reason);
    request.signal?.addEventListener('abort', forwardAbort, {once: true});
    const timeout = this.options.timer.start(request.headersTimeoutMs, () => {
      abortController.abort(
        new CallError(
          'HEADERS',
          `no response headers within ${request.headersTimeoutMs} ms`,
        ),
      );
    });
    try {
      if (!(await acquireSlot(origin.limiter, abortController.signal))) {
        return {
          kind: 'notSent',
          detail: `no connection became free within ${request.headersTimeoutMs} ms`,
        };
      }
      return await this.sendWithSlot(origin, request, abortController, timeout);
    } finally {
      timeout.cancel();
      request.signal?.removeEventListener('abort', forwardAbort);
    }
  }

  /** Returns how many connections may currently be open to an address. */
  connectionLimit(address: string): number {
    return this.origins.get(address)?.limiter.currentLimit ?? 0;
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    const pools = [...this.origins.values()].map(({pool}) => pool.destroy());
    this.origins.clear();
    await Promise.all(pools);
  }

  private async sendWithSlot(
    origin: Origin,
    request: PooledHttpRequest,
    abortController: AbortController,
    headersTimeout: responseTimer.ResponseTimeout,
  ): Promise<PooledHttpOutcome> {
    const {pool} = origin;
    let outcome: PooledHttpOutcome;
    let overloaded = false;
    try {
      outcome = await this.send(pool, request, abortController, headersTimeout);
    } catch (error) {
      outcome = toOutcome(error);
      overloaded = OVERLOAD_ERROR_CODES.has(errorCodeOf(error));
      if (error instanceof CallError && error.code === 'HEADERS') {
        void this.probe(request.address, origin, pool);
      }
    }
    origin.limiter.release(overloaded);
    return outcome;
  }

  private originOf(address: string): Origin {
    const nowMs = performance.now();
    this.removeIdleOrigins(nowMs);
    const known = this.origins.get(address);
    if (known !== undefined) {
      known.lastUsedMs = nowMs;
      return known;
    }
    const opened: Origin = {
      pool: this.openPool(address),
      limiter: new connectionLimiter.ConnectionLimiter(
        this.options.connections,
      ),
      isProbing: false,
      lastUsedMs: nowMs,
    };
    this.origins.set(address, opened);
    return opened;
  }

  /** Removes addresses that are no longer called, and their connections. */
  private removeIdleOrigins(nowMs: number): void {
    if (nowMs - this.lastCleanupMs < IDLE_TIMEOUT_MS) return;
    this.lastCleanupMs = nowMs;
    for (const [address, origin] of this.origins) {
      const idle = nowMs - origin.lastUsedMs >= IDLE_TIMEOUT_MS;
      if (!idle || origin.limiter.openCallCount > 0) continue;
      this.origins.delete(address);
      void origin.pool.destroy();
    }
  }

  private openPool(address: string): undici.Pool {
    return new undici.Pool(`http://${address}`, {
      connections: this.options.connections.maximum,
      pipelining: 1,
      connect: this.connector,
      // Each request has its own timeouts, which replace those of the pool.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async probe(
    address: string,
    origin: Origin,
    oldPool: undici.Pool,
  ): Promise<void> {
    if (origin.isProbing || origin.pool !== oldPool) return;
    origin.isProbing = true;
    const newPool = this.openPool(address);
    const answered = await this.respondsToProbe(newPool);
    origin.isProbing = false;
    if (!answered || this.origins.get(address) !== origin) {
      void newPool.destroy();
      return;
    }
    origin.pool = newPool;
    // A graceful close lets the old pool finish its open requests.
    void oldPool.close();
    this.options.onSilent(address);
  }

  private async send(
    pool: undici.Pool,
    request: PooledHttpRequest,
    abortController: AbortController,
    headersTimeout: responseTimer.ResponseTimeout,
  ): Promise<PooledHttpOutcome> {
    const response = await pool.request({
      method: request.method,
      path: request.path,
      signal: abortController.signal,
      headers: {
        ...(request.body === undefined
          ? {}
          : {'content-type': 'application/json'}),
        ...(request.knownEntityTag === undefined
          ? {}
          : {'if-none-match': request.knownEntityTag}),
      },
      body: request.body === undefined ? null : JSON.stringify(request.body),
    });
    headersTimeout.cancel();
    const bodyTimeout = this.options.timer.start(request.bodyTimeoutMs, () => {
      abortController.abort(
        new CallError(
          'BODY',
          `the response body did not end within ${request.bodyTimeoutMs} ms`,
        ),
      );
    });
    try {
      const text = await readBodyText(
        response.body,
        request.maximumResponseBytes,
      );
      const {etag} = response.headers;
      const entityTag = typeof etag === 'string' ? etag : undefined;
      return {
        kind: 'answered',
        status: response.statusCode,
        text,
        entityTag,
      };
    } finally {
      bodyTimeout.cancel();
    }
  }

  private async respondsToProbe(pool: undici.Pool): Promise<boolean> {
    const {timer, probePath} = this.options;
    const abortController = new AbortController();
    const timeout = timer.start(PROBE_TIMEOUT_MS, () =>
      abortController.abort(),
    );
    try {
      const response = await pool.request({
        method: 'GET',
        path: probePath,
        signal: abortController.signal,
      });
      await response.body.dump();
      return true;
    } catch {
      return false;
    } finally {
      timeout.cancel();
    }
  }
}

/** Waits for a slot; resolves with false when the request is aborted first. */
function acquireSlot(
  limiter: connectionLimiter.ConnectionLimiter,
  signal: AbortSignal,
): Promise<boolean> {
  return new Promise(resolve => {
    if (signal.aborted) {
      resolve(false);
      return;
    }
    const withdraw = limiter.acquire(() => {
      signal.removeEventListener('abort', onAbort);
      resolve(true);
    });
    function onAbort(): void {
      withdraw();
      resolve(false);
    }
    signal.addEventListener('abort', onAbort, {once: true});
  });
}

async function readBodyText(
  body: AsyncIterable<Buffer>,
  maximumBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  for await (const chunk of body) {
    receivedBytes += chunk.length;
    if (receivedBytes > maximumBytes) {
      throw new CallError(
        'TOO_LARGE',
        `the response body exceeds ${maximumBytes} bytes`,
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function toOutcome(error: unknown): PooledHttpOutcome {
  const code = errorCodeOf(error);
  const detail = `${code}: ${error instanceof Error ? error.message : ''}`;
  return {kind: NOT_SENT_ERROR_CODES.has(code) ? 'notSent' : 'lost', detail};
}

function errorCodeOf(error: unknown): string {
  return String((error as {readonly code?: unknown} | undefined)?.code);
}
