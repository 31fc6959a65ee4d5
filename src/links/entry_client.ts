import * as undici from 'undici';
import * as clock from '../machines/clock.js';
import * as jsonBody from './json_body.js';
import * as responseTimer from '../machines/response_timer.js';
import type * as effect from '../contracts/effect.js';

/** A call from an operator or a client to an entry process. */
export interface EntryCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Timeout of the whole call; also bounds a silent connection. */
  readonly timeoutMs: number;
}

/** Outcome of a call to an entry process. */
export type EntryCallOutcome =
  | {readonly kind: 'reply'; readonly reply: effect.Reply}
  /** No connection was established, so the call was not sent. */
  | {readonly kind: 'notSent'}
  /** The call was sent and may have taken effect. */
  | {readonly kind: 'lost'};

/** Codes of errors that occur only before anything is sent. */
const CONNECT_ERROR_CODES: ReadonlyArray<unknown> = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * HTTP client for the caller interface of several entry processes. All calls
 * go to one process until `failOver`; the client itself never retries a call.
 */
export class EntryClient {
  private readonly agent = new undici.Agent({connect: {timeout: 2_000}});
  private readonly timer = new responseTimer.LoopTimer(new clock.SystemClock());
  private addressIndex = 0;

  constructor(
    private readonly addresses: ReadonlyArray<string>,
    private readonly client: string,
  ) {}

  /** Address of the entry process that receives the next call. */
  get address(): string {
    return this.addresses[this.addressIndex % this.addresses.length];
  }

  /** Directs the following calls to the next entry process. */
  failOver(): void {
    this.addressIndex += 1;
  }

  /** Sends one call; without a reply, the outcome tells whether it was sent. */
  async call(call: EntryCall): Promise<EntryCallOutcome> {
    const abortController = new AbortController();
    const timeout = this.timer.start(call.timeoutMs, () =>
      abortController.abort(),
    );
    try {
      const response = await undici.request(
        `http://${this.address}${call.path}`,
        {
          method: call.method,
          dispatcher: this.agent,
          signal: abortController.signal,
          headers: {'x-client': this.client, ...call.headers},
          body: call.body ?? null,
        },
      );
      return parseReply(await response.body.text());
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      return {kind: CONNECT_ERROR_CODES.includes(code) ? 'notSent' : 'lost'};
    } finally {
      timeout.cancel();
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function parseReply(text: string): EntryCallOutcome {
  const parsed = jsonBody.parseJsonObject(text);
  if (typeof parsed?.['code'] !== 'number') return {kind: 'lost'};
  return {kind: 'reply', reply: parsed as unknown as effect.Reply};
}
