import * as http from 'node:http';
import * as callParser from './call_parser.js';
import * as eventStream from './event_stream.js';
import * as jsonBody from './json_body.js';
import * as result from '../result.js';
import * as typeGuards from './type_guards.js';
import * as listen from './listen.js';
import type * as net from 'node:net';
import type * as byteCounter from './byte_counter.js';
import type * as callNumberAllocator from './call_number_allocator.js';
import type * as effect from '../contracts/effect.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';

/** Time within which the headers of a call must arrive. */
const HEADERS_TIMEOUT_MS = 10_000;

/**
 * Shortest wait of a poll while the events of a request are streamed. A poll
 * returns early only when the request ends, so other changes of state are
 * reported with up to this delay.
 */
const MINIMUM_POLL_MS = 250;

/** Longest wait of a poll while the state of the request does not change. */
const MAXIMUM_POLL_MS = 5_000;

/** Time within which the loop must answer a readiness check. */
const READY_TIMEOUT_MS = 1_000;

/** Interval of checks for idle connections while the server closes. */
const CLOSE_CHECK_INTERVAL_MS = 20;

/** Time after which a closing server closes connections without a call. */
const IDLE_CONNECTION_GRACE_MS = 500;

interface OpenCall {
  readonly event: event.CallEvent;
  /** Sends the reply to the caller. */
  readonly answer: (reply: effect.Reply) => void;
}

/** Dependencies and limits of a caller server. */
export interface CallerServerOptions {
  readonly callNumbers: callNumberAllocator.CallNumberAllocator;
  readonly post: (event: event.Event) => void;
  readonly metrics: sinks.MetricsSink;
  readonly limits?: Partial<CallerLimits>;
  readonly byteCounter?: byteCounter.ByteCounter;
}

/** Limits on the resources that callers may occupy. */
export interface CallerLimits {
  /** Time within which a body must arrive. */
  readonly bodyTimeoutMs: number;
  /** Largest size of a body. */
  readonly maximumBodyBytes: number;
  /** Largest number of calls that are open at once. */
  readonly maximumOpenCalls: number;
}

const DEFAULT_LIMITS: CallerLimits = {
  bodyTimeoutMs: 10_000,
  maximumBodyBytes: jsonBody.MAXIMUM_BODY_BYTES,
  maximumOpenCalls: 10_000,
};

/** HTTP server for callers and operators; posts their calls as events. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly calls = new Map<event.CallNumber, OpenCall>();
  private draining = false;
  /** Number of responses that are not yet sent completely. */
  private openCount = 0;
  private readonly limits: CallerLimits;

  constructor(private readonly options: CallerServerOptions) {
    this.limits = {...DEFAULT_LIMITS, ...options.limits};
    this.server = http.createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        // readBody has its own timeout, which is answered with a result code.
        requestTimeout: 0,
      },
      (incoming, response) => void this.serve(incoming, response),
    );
    this.server.on('connection', socket =>
      options.byteCounter?.track(socket, 'caller', 'outside'),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.refuseMalformed(error, socket as net.Socket),
    );
  }

  /** Starts listening; returns the port, chosen by the system for port 0. */
  listen(host: string, port: number): Promise<number> {
    return listen.listen(this.server, host, port);
  }

  /** Answers an open call; has no effect when the caller has disconnected. */
  answer(call: event.CallNumber, reply: effect.Reply): void {
    const openCall = this.calls.get(call);
    if (openCall === undefined) return;
    this.calls.delete(call);
    openCall.answer(reply);
  }

  /** Returns the event of an open call. */
  findOpenCall(call: event.CallNumber): event.CallEvent | undefined {
    return this.calls.get(call)?.event;
  }

  /**
   * Posts a call on behalf of this process. Resolves with the reply, or with
   * undefined when there is none within the timeout.
   */
  postAndWait(
    build: (call: event.CallNumber) => event.CallEvent,
    timeoutMs: number,
  ): Promise<effect.Reply | undefined> {
    const call = this.options.callNumbers.allocate();
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.endCall(call);
        resolve(undefined);
      }, timeoutMs);
      this.postCall(build(call), reply => {
        clearTimeout(timer);
        resolve(reply);
      });
    });
  }

  /** Ends readiness and closes each connection after its next response. */
  beginDrain(): void {
    this.draining = true;
  }

  /** Accepts no new connections; resolves when the open ones are closed. */
  close(): Promise<void> {
    const startedMs = performance.now();
    return new Promise(resolve => {
      const timer = setInterval(() => {
        this.server.closeIdleConnections();
        // Node does not count a connection without any call as idle.
        const expired =
          performance.now() - startedMs >= IDLE_CONNECTION_GRACE_MS;
        if (expired && this.openCount === 0) this.server.closeAllConnections();
      }, CLOSE_CHECK_INTERVAL_MS);
      this.server.close(() => {
        clearInterval(timer);
        resolve();
      });
    });
  }

  /** Closes the server; calls still open after `graceMs` get the reply. */
  async closeWithReply(reply: effect.Reply, graceMs = 0): Promise<void> {
    this.beginDrain();
    const graceEndMs = performance.now() + graceMs;
    const timer = setInterval(() => {
      if (performance.now() < graceEndMs) return;
      for (const call of [...this.calls.keys()]) this.answer(call, reply);
    }, CLOSE_CHECK_INTERVAL_MS);
    await this.close();
    clearInterval(timer);
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.openCount += 1;
    response.once('close', () => (this.openCount -= 1));
    if (this.draining) response.setHeader('connection', 'close');
    const body = await jsonBody.readBody(
      incoming,
      this.limits.maximumBodyBytes,
      this.limits.bodyTimeoutMs,
    );
    if (body.kind !== 'body') {
      this.refuseBody(body.kind, response);
      return;
    }
    if (incoming.url === '/live') {
      jsonBody.sendJson(response, 200, {live: true});
    } else if (incoming.url === '/ready') {
      await this.answerReady(response);
    } else if (this.openCount > this.limits.maximumOpenCalls) {
      const detail = `calls: ${this.openCount}: at most ${this.limits.maximumOpenCalls} at once`;
      // A call that names an identity may repeat a request that already ran.
      const name = targetsRequest(incoming) ? 'unknownOutcome' : 'tooManyCalls';
      this.refuse(response, result.failure(name, detail));
    } else {
      this.handleCall(incoming, response, body.text);
    }
  }

  private handleCall(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): void {
    const call = this.options.callNumbers.allocate();
    const {headers} = incoming;
    callParser
      .parseCall(
        {
          method: incoming.method ?? '',
          target: incoming.url ?? '',
          client: headerText(headers['x-client']),
          ifMatch: headers['if-match'],
          publication: headerText(headers['x-publication']),
          body,
        },
        call,
      )
      .caseOf({
        Left: failure => this.refuse(response, failure),
        Right: parsed => this.dispatch(parsed, response),
      });
  }

  private dispatch(
    parsed: callParser.ParsedCall,
    response: http.ServerResponse,
  ): void {
    if (parsed.responseFormat === 'events') {
      const stream = new eventStream.EventStream(response);
      this.streamEvents(stream, parsed.event, response);
      return;
    }
    response.once('close', () => this.endCall(parsed.event.call));
    this.postCall(parsed.event, reply => {
      this.beginDrainIfAccepted(parsed.event, reply);
      if (parsed.responseFormat === 'rawAnswer') sendRawAnswer(response, reply);
      else sendReply(response, reply);
    });
  }

  /** Polls a request and streams its state changes until it ends. */
  private streamEvents(
    stream: eventStream.EventStream,
    first: event.CallEvent,
    response: http.ServerResponse,
  ): void {
    if (first.kind !== 'fetchArrived') return;
    let currentCall = first.call;
    response.once('close', () => this.endCall(currentCall));
    const poll = (waitMs: number): void => {
      this.postCall({...first, call: currentCall, waitMs}, reply => {
        if (response.destroyed) return;
        if (!stream.hasStarted && reply.state === undefined) {
          sendReply(response, reply);
          return;
        }
        const change = stream.update(reply);
        if (change === 'ended') return;
        currentCall = this.options.callNumbers.allocate();
        // Each poll may cross regions, so the wait doubles while the state
        // does not change.
        const doubledWaitMs = Math.max(2 * waitMs, MINIMUM_POLL_MS);
        poll(
          change === 'changed'
            ? MINIMUM_POLL_MS
            : Math.min(doubledWaitMs, MAXIMUM_POLL_MS),
        );
      });
    };
    poll(0);
  }

  private postCall(
    callEvent: event.CallEvent,
    answer: (reply: effect.Reply) => void,
  ): void {
    this.calls.set(callEvent.call, {event: callEvent, answer});
    this.options.post(callEvent);
  }

  /** Removes a call whose caller has disconnected, and posts its end. */
  private endCall(call: event.CallNumber): void {
    if (this.calls.delete(call)) this.options.post({kind: 'callEnded', call});
  }

  private beginDrainIfAccepted(
    event: event.CallEvent,
    reply: effect.Reply,
  ): void {
    if (event.kind !== 'drainArrived' || event.worker !== undefined) return;
    if (reply.code === result.RESULT_CODES.ok.code) this.beginDrain();
  }

  private async answerReady(response: http.ServerResponse): Promise<void> {
    const reply = this.draining
      ? undefined
      : await this.postAndWait(
          call => ({kind: 'statusArrived', call}),
          READY_TIMEOUT_MS,
        );
    const ready = reply !== undefined && isReady(reply);
    jsonBody.sendJson(response, ready ? 200 : 503, {ready});
  }

  private refuseBody(
    error: jsonBody.BodyError,
    response: http.ServerResponse,
  ): void {
    // The rest of the body cannot be distinguished from a following call.
    response.setHeader('connection', 'close');
    if (error === 'aborted') response.destroy();
    else if (error === 'tooLarge') {
      this.refuse(
        response,
        result.failure(
          'bodyTooLarge',
          `body: must have at most ${this.limits.maximumBodyBytes} bytes`,
        ),
      );
    } else {
      this.refuse(
        response,
        result.failure(
          'bodyTooSlow',
          `body: must arrive within ${this.limits.bodyTimeoutMs} ms`,
        ),
      );
    }
  }

  private refuse(response: http.ServerResponse, failure: result.Failure): void {
    this.options.metrics.count('refusal', {reason: failure.result}, 1);
    const resultCode = result.RESULT_CODES[failure.result];
    jsonBody.sendJson(response, resultCode.httpStatus, {
      code: resultCode.code,
      detail: failure.detail,
    });
  }

  /** Answers malformed HTTP, and headers that are too slow or too large. */
  private refuseMalformed(
    error: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const slow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    const name = slow ? 'bodyTooSlow' : 'malformedCall';
    this.options.metrics.count('refusal', {reason: name}, 1);
    const resultCode = result.RESULT_CODES[name];
    const text = JSON.stringify({
      code: resultCode.code,
      detail: `call: ${error.code}: must be a complete HTTP/1.1 request`,
    });
    socket.end(
      `HTTP/1.1 ${resultCode.httpStatus} ${http.STATUS_CODES[resultCode.httpStatus]}\r\n` +
        'content-type: application/json\r\nconnection: close\r\n' +
        `content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
    );
  }
}

function headerText(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function sendReply(response: http.ServerResponse, reply: effect.Reply): void {
  if (reply.version !== undefined) {
    response.setHeader('etag', `"${reply.version}"`);
  }
  jsonBody.sendJson(response, toHttpStatus(reply.code), reply);
}

function isReady(reply: effect.Reply): boolean {
  return typeGuards.isObject(reply.content) && reply.content['ready'] === true;
}

/** Sends the raw answer of a finished request, or else the JSON reply. */
function sendRawAnswer(
  response: http.ServerResponse,
  reply: effect.Reply,
): void {
  const hasAnswer =
    reply.code === result.RESULT_CODES.ok.code && reply.answer !== undefined;
  if (!hasAnswer) {
    sendReply(response, reply);
    return;
  }
  jsonBody.sendText(
    response,
    200,
    'application/octet-stream',
    reply.answer ?? '',
  );
}

const HTTP_STATUS_BY_CODE: ReadonlyMap<number, number> = new Map(
  Object.values(result.RESULT_CODES).map(row => [row.code, row.httpStatus]),
);

function toHttpStatus(code: number): number {
  return HTTP_STATUS_BY_CODE.get(code) ?? 500;
}

function targetsRequest(incoming: http.IncomingMessage): boolean {
  return incoming.url?.startsWith('/v1/requests/') === true;
}
