import * as undici from 'undici';
import * as jsonBody from './json_body.js';
import type * as effect from '../contracts/effect.js';

/** A call of an operator or a client to an entry process. */
export interface EntryCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time for the whole reply; a silent connection ends here. */
  readonly timeoutMs: number;
}

/** What came of a call. */
export type EntryCallOutcome =
  | {readonly kind: 'reply'; readonly reply: effect.Reply}
  /** No connection was made, so nothing was sent. */
  | {readonly kind: 'notSent'}
  /** The call was sent and may have taken effect. */
  | {readonly kind: 'lost'};

/** Faults that occur before anything is sent. */
const CONNECT_FAULTS: ReadonlyArray<unknown> = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Calls the caller interface of one of several entry processes. It stays with
 * a process until `useNext`, and never repeats a call by itself.
 */
export class EntryClient {
  private readonly agent = new undici.Agent({connect: {timeout: 2_000}});
  private position = 0;

  constructor(
    private readonly addresses: ReadonlyArray<string>,
    private readonly client: string,
  ) {}

  /** Address of the entry process that gets the next call. */
  get address(): string {
    return this.addresses[this.position % this.addresses.length];
  }

  /** Sends the following calls to the next entry process. */
  failOver(): void {
    this.position += 1;
  }

  /** Returns the reply, or whether the call may have been received. */
  async call(call: EntryCall): Promise<EntryCallOutcome> {
    try {
      const answer = await undici.request(
        `http://${this.address}${call.path}`,
        {
          method: call.method,
          dispatcher: this.agent,
          signal: AbortSignal.timeout(call.timeoutMs),
          headers: {'x-client': this.client, ...call.headers},
          body: call.body ?? null,
        },
      );
      return readReply(await answer.body.text());
    } catch (fault) {
      const {code} = fault as NodeJS.ErrnoException;
      return {kind: CONNECT_FAULTS.includes(code) ? 'notSent' : 'lost'};
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function readReply(text: string): EntryCallOutcome {
  const parsed = jsonBody.parseJsonObject(text);
  if (typeof parsed?.['code'] !== 'number') return {kind: 'lost'};
  return {kind: 'reply', reply: parsed as unknown as effect.Reply};
}
