import * as undici from 'undici';

/** An HTTP answer with its whole body. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** One HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly body?: unknown;
  /** Time for the whole answer; a silent connection ends here. */
  readonly deadlineMs: number;
}

/** Sends HTTP calls over kept connections; never retries by itself. */
export class HttpCaller {
  private readonly agent: undici.Agent;

  constructor(connectionsPerOrigin: number) {
    this.agent = new undici.Agent({
      connections: connectionsPerOrigin,
      pipelining: 1,
      connect: {timeout: 2_000},
    });
  }

  /** Returns the whole answer, or undefined when none came in time. */
  async call(call: HttpCall): Promise<HttpAnswer | undefined> {
    try {
      const answer = await undici.request(call.url, {
        method: call.method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(call.deadlineMs),
        headers: {'content-type': 'application/json'},
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      return {status: answer.statusCode, text: await answer.body.text()};
    } catch {
      return undefined;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
