import type * as http from 'node:http';
import type * as effect from '../contracts/effect.js';
import * as result from '../result.js';

/** Time between comments that keep an idle stream from being cut off. */
const KEEP_ALIVE_INTERVAL_MS = 15_000;

/** What a look at a request showed. */
export type StateChange = 'ended' | 'changed' | 'same';

/** Sends the states of one request as server-sent events until its end. */
export class EventStream {
  private lastState = '';
  private headersSent = false;
  private keepAliveTimer: NodeJS.Timeout | undefined;

  constructor(private readonly response: http.ServerResponse) {
    response.once('close', () => this.close());
  }

  /** Whether the caller already has the beginning of the stream. */
  get hasStarted(): boolean {
    return this.headersSent;
  }

  /** Takes what was read of the request and sends it when it is news. */
  update(reply: effect.Reply): StateChange {
    if (!this.headersSent) this.begin();
    const ended = reply.code !== result.RESULT_CODES.accepted.code;
    const state = `${reply.state} ${reply.worker}`;
    const changed = ended || state !== this.lastState;
    if (changed) this.writeEvent(reply);
    this.lastState = state;
    if (ended) this.response.end();
    return ended ? 'ended' : changed ? 'changed' : 'same';
  }

  private begin(): void {
    this.headersSent = true;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
    this.keepAliveTimer = setInterval(
      () => this.response.write(':\n\n'),
      KEEP_ALIVE_INTERVAL_MS,
    );
    this.keepAliveTimer.unref();
  }

  private writeEvent(reply: effect.Reply): void {
    const name = reply.state ?? 'ended';
    this.response.write(`event: ${name}\ndata: ${JSON.stringify(reply)}\n\n`);
  }

  private close(): void {
    clearInterval(this.keepAliveTimer);
  }
}
