import type * as http from 'node:http';
import type * as effect from '../contracts/effect.js';
import * as result from '../result.js';

/** Time between comments that keep an idle stream from being cut off. */
const COMMENT_INTERVAL_MS = 15_000;

/** What a look at a request showed. */
export type StateChange = 'ended' | 'changed' | 'same';

/** Sends the states of one request as server-sent events until its end. */
export class EventStream {
  private lastState = '';
  private open = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly response: http.ServerResponse) {
    response.once('close', () => this.close());
  }

  /** Whether the caller already has the beginning of the stream. */
  get started(): boolean {
    return this.open;
  }

  /** Takes what was read of the request and sends it when it is news. */
  take(reply: effect.Reply): StateChange {
    if (!this.open) this.begin();
    const ended = reply.code !== result.RESULT_CODES.accepted.code;
    const state = `${reply.state} ${reply.worker}`;
    const changed = ended || state !== this.lastState;
    if (changed) this.send(reply);
    this.lastState = state;
    if (ended) this.response.end();
    return ended ? 'ended' : changed ? 'changed' : 'same';
  }

  private begin(): void {
    this.open = true;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
    this.timer = setInterval(
      () => this.response.write(':\n\n'),
      COMMENT_INTERVAL_MS,
    );
    this.timer.unref();
  }

  private send(reply: effect.Reply): void {
    const name = reply.state ?? 'ended';
    this.response.write(`event: ${name}\ndata: ${JSON.stringify(reply)}\n\n`);
  }

  private close(): void {
    clearInterval(this.timer);
  }
}
