import type * as http from 'node:http';
import type * as effect from '../contracts/effect.js';
import * as result from '../result.js';

/** Interval of comments, so that proxies do not close an idle stream. */
const KEEP_ALIVE_INTERVAL_MS = 15_000;

/** Change of a request since the previous update. */
export type StateChange = 'ended' | 'changed' | 'same';

/** Streams the states of one request as server-sent events until it ends. */
export class EventStream {
  private lastState = '';
  private headersSent = false;
  private keepAliveTimer: NodeJS.Timeout | undefined;

  constructor(private readonly response: http.ServerResponse) {
    response.once('close', () => this.close());
  }

  /** Whether the response headers of the stream were sent. */
  get hasStarted(): boolean {
    return this.headersSent;
  }

  /** Sends the state if it changed; ends the stream when the request ended. */
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
