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

/** Time for the headers of a call to arrive. */
const HEADERS_DEADLINE_MS = 10_000;

/**
 * Time for which one look at a request waits for its end while its events are
 * streamed; other changes of state are seen this much later at most.
 */
const FIRST_LOOK_MS = 250;

/** Longest time of a look at a request whose state does not change. */
const LAST_LOOK_MS = 5_000;

/** Time for the loop to answer a readiness check. */
const READY_DEADLINE_MS = 1_000;

/** Time between looks for connections that have become idle at the end. */
const CLOSE_INTERVAL_MS = 20;

/** Time after which connections without a call are closed at the end. */
const IDLE_CLOSE_MS = 500;

interface OpenCall {
  readonly event: event.CallEvent;
  /** Gets the reply. */
  readonly answer: (reply: effect.Reply) => void;
}

/** What a caller server is made with. */
export interface CallerServerOptions {
  readonly callNumbers: callNumberAllocator.CallNumberAllocator;
  readonly post: (event: event.Event) => void;
  readonly metrics: sinks.MetricsSink;
  readonly limits?: Partial<CallerLimits>;
  readonly byteCounter?: byteCounter.ByteCounter;
}

/** Bounds of what callers may occupy. */
export interface CallerLimits {
  /** Time for a body to arrive. */
  readonly bodyTimeoutMs: number;
  /** Largest body. */
  readonly maxBodyBytes: number;
  /** Most calls that are open at once. */
  readonly maxOpenCalls: number;
}

const DEFAULT_LIMITS: CallerLimits = {
  bodyTimeoutMs: 10_000,
  maxBodyBytes: jsonBody.MAX_BODY_BYTES,
  maxOpenCalls: 10_000,
};

/** HTTP front end for callers and operators. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly open = new Map<event.CallNumber, OpenCall>();
  private draining = false;
  /** Responses that are not sent completely. */
  private unsent = 0;
  private readonly limits: CallerLimits;

  constructor(private readonly parts: CallerServerOptions) {
    this.limits = {...DEFAULT_LIMITS, ...parts.limits};
    this.server = http.createServer(
      {
        headersTimeout: HEADERS_DEADLINE_MS,
        // The body has a deadline of its own that answers with a code.
        requestTimeout: 0,
      },
      (incoming, response) => void this.serve(incoming, response),
    );
    this.server.on('connection', socket =>
      parts.byteCounter?.track(socket, 'caller', 'outside'),
    );
    this.server.on('clientError', (fault: NodeJS.ErrnoException, socket) =>
      this.refuseMalformed(fault, socket as net.Socket),
    );
  }

  /** Listens and returns the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    return listen.listen(this.server, host, port);
  }

  /** Answers an open call; does nothing when its caller has gone. */
  answer(call: event.CallNumber, reply: effect.Reply): void {
    const known = this.open.get(call);
    if (known === undefined) return;
    this.open.delete(call);
    known.answer(reply);
  }

  /** Returns an open call as it was posted. */
  findOpenCall(call: event.CallNumber): event.CallEvent | undefined {
    return this.open.get(call)?.event;
  }

  /** Posts a call of this process itself and resolves with the reply. */
  postAndWait(
    build: (call: event.CallNumber) => event.CallEvent,
    deadlineMs: number,
  ): Promise<effect.Reply | undefined> {
    const call = this.parts.callNumbers.allocate();
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.end(call);
        resolve(undefined);
      }, deadlineMs);
      this.postCall(build(call), reply => {
        clearTimeout(timer);
        resolve(reply);
      });
    });
  }

  /** Turns readiness off and asks callers to use other connections. */
  beginDrain(): void {
    this.draining = true;
  }

  /** Takes no new connections and resolves when the open ones have ended. */
  close(): Promise<void> {
    const started = performance.now();
    return new Promise(resolve => {
      const timer = setInterval(() => {
        this.server.closeIdleConnections();
        // A connection on which no call has begun does not count as idle.
        const late = performance.now() - started >= IDLE_CLOSE_MS;
        if (late && this.unsent === 0) this.server.closeAllConnections();
      }, CLOSE_INTERVAL_MS);
      this.server.close(() => {
        clearInterval(timer);
        resolve();
      });
    });
  }

  /** Closes; calls that are open after the grace get the reply. */
  async closeWithReply(reply: effect.Reply, graceMs = 0): Promise<void> {
    this.beginDrain();
    const graceEnd = performance.now() + graceMs;
    const timer = setInterval(() => {
      if (performance.now() < graceEnd) return;
      for (const call of [...this.open.keys()]) this.answer(call, reply);
    }, CLOSE_INTERVAL_MS);
    await this.close();
    clearInterval(timer);
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.unsent += 1;
    response.once('close', () => (this.unsent -= 1));
    if (this.draining) response.setHeader('connection', 'close');
    const body = await jsonBody.readBody(
      incoming,
      this.limits.maxBodyBytes,
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
    } else if (this.unsent > this.limits.maxOpenCalls) {
      const detail = `calls: ${this.unsent}: at most ${this.limits.maxOpenCalls} at once`;
      // A call about an identity may repeat one that ran.
      const name = namesRequest(incoming) ? 'unknownOutcome' : 'tooManyCalls';
      this.refuse(response, result.failure(name, detail));
    } else {
      this.takeCall(incoming, response, body.text);
    }
  }

  private takeCall(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): void {
    const call = this.parts.callNumbers.allocate();
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
        Right: read => this.post(read, response),
      });
  }

  private post(
    read: callParser.ParsedCall,
    response: http.ServerResponse,
  ): void {
    if (read.form === 'events') {
      const stream = new eventStream.EventStream(response);
      this.stream(stream, read.event, response);
      return;
    }
    response.once('close', () => this.end(read.event.call));
    this.postCall(read.event, reply => {
      this.noteDrain(read.event, reply);
      if (read.form === 'rawAnswer') sendAnswer(response, reply);
      else sendReply(response, reply);
    });
  }

  /** Looks at a request again and again until it has ended. */
  private stream(
    stream: eventStream.EventStream,
    first: event.CallEvent,
    response: http.ServerResponse,
  ): void {
    if (first.kind !== 'fetchArrived') return;
    let current = first.call;
    response.once('close', () => this.end(current));
    const look = (waitMs: number): void => {
      this.postCall({...first, call: current, waitMs}, reply => {
        if (response.destroyed) return;
        if (!stream.started && reply.state === undefined) {
          sendReply(response, reply);
          return;
        }
        const progress = stream.take(reply);
        if (progress === 'ended') return;
        current = this.parts.callNumbers.allocate();
        // Looks at a request that stays as it is become rare: each one may
        // cross regions.
        const longer = Math.max(2 * waitMs, FIRST_LOOK_MS);
        look(
          progress === 'changed'
            ? FIRST_LOOK_MS
            : Math.min(longer, LAST_LOOK_MS),
        );
      });
    };
    look(0);
  }

  private postCall(
    posted: event.CallEvent,
    answer: (reply: effect.Reply) => void,
  ): void {
    this.open.set(posted.call, {event: posted, answer});
    this.parts.post(posted);
  }

  /** Ends a call whose caller has gone. */
  private end(call: event.CallNumber): void {
    if (this.open.delete(call)) this.parts.post({kind: 'callEnded', call});
  }

  private noteDrain(asked: event.CallEvent, reply: effect.Reply): void {
    if (asked.kind !== 'drainArrived' || asked.worker !== undefined) return;
    if (reply.code === result.RESULT_CODES.ok.code) this.beginDrain();
  }

  private async answerReady(response: http.ServerResponse): Promise<void> {
    const reply = this.draining
      ? undefined
      : await this.postAndWait(
          call => ({kind: 'statusArrived', call}),
          READY_DEADLINE_MS,
        );
    const ready = reply !== undefined && isReady(reply);
    jsonBody.sendJson(response, ready ? 200 : 503, {ready});
  }

  private refuseBody(
    fault: jsonBody.BodyError,
    response: http.ServerResponse,
  ): void {
    // What is left of the body cannot be told from a following call.
    response.setHeader('connection', 'close');
    if (fault === 'aborted') response.destroy();
    else if (fault === 'tooLarge') {
      this.refuse(
        response,
        result.failure(
          'bodyTooLarge',
          `body: must have at most ${this.limits.maxBodyBytes} bytes`,
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
    this.parts.metrics.count('refusal', {reason: failure.result}, 1);
    const row = result.RESULT_CODES[failure.result];
    jsonBody.sendJson(response, row.httpStatus, {
      code: row.code,
      detail: failure.detail,
    });
  }

  /** Answers what is not HTTP, or whose headers are too slow or too large. */
  private refuseMalformed(
    fault: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    if (fault.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const slow = fault.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    const name = slow ? 'bodyTooSlow' : 'malformedCall';
    this.parts.metrics.count('refusal', {reason: name}, 1);
    const row = result.RESULT_CODES[name];
    const text = JSON.stringify({
      code: row.code,
      detail: `call: ${fault.code}: must be a complete HTTP/1.1 request`,
    });
    socket.end(
      `HTTP/1.1 ${row.httpStatus} ${http.STATUS_CODES[row.httpStatus]}\r\n` +
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
  jsonBody.sendJson(response, httpStatus(reply.code), reply);
}

function isReady(reply: effect.Reply): boolean {
  return typeGuards.isObject(reply.content) && reply.content['ready'] === true;
}

/** Sends the whole answer as it came; anything else as a reply. */
function sendAnswer(response: http.ServerResponse, reply: effect.Reply): void {
  const whole =
    reply.code === result.RESULT_CODES.ok.code && reply.answer !== undefined;
  if (!whole) {
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

const HTTP_STATUS: ReadonlyMap<number, number> = new Map(
  Object.values(result.RESULT_CODES).map(row => [row.code, row.httpStatus]),
);

function httpStatus(code: number): number {
  return HTTP_STATUS.get(code) ?? 500;
}

function namesRequest(incoming: http.IncomingMessage): boolean {
  return incoming.url?.startsWith('/v1/requests/') === true;
}
