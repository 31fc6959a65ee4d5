import * as http from 'node:http';
import * as jsonBody from './json_body.js';
import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as request from '../contracts/request.js';

/** Largest body of a call in bytes. */
const BODY_LIMIT = 1_048_576;

/** Time for a body to arrive. */
const BODY_DEADLINE_MS = 10_000;

/** Longest wait that a caller may ask for, in seconds. */
const LONGEST_WAIT_SECONDS = 300;

/** HTTP front end for callers and operators. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly open = new Map<event.CallNumber, http.ServerResponse>();
  private nextCall = 1;

  constructor(private readonly post: (event: event.Event) => void) {
    this.server = http.createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
  }

  /** Listens and returns the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' ? (address?.port ?? 0) : 0);
      });
    });
  }

  /** Answers an open call; does nothing when its caller has gone. */
  answer(call: event.CallNumber, reply: effect.Reply): void {
    const response = this.open.get(call);
    if (response === undefined) return;
    this.open.delete(call);
    jsonBody.sendJson(response, httpStatus(reply.code), reply);
  }

  /** Takes no new calls and resolves when the open ones are answered. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://entry');
    const client = String(incoming.headers['x-client'] ?? '');
    const body = await jsonBody.readBody(
      incoming,
      BODY_LIMIT,
      BODY_DEADLINE_MS,
    );
    if (body.kind !== 'body') {
      const name = body.kind === 'tooLarge' ? 'bodyTooLarge' : 'bodyTooSlow';
      sendFailure(response, result.failure(name, 'body'));
      return;
    }
    const route = `${incoming.method} ${url.pathname}`;
    const waitMs = readWait(url);
    const call = this.register(response);
    const arrived = this.translate(route, call, client, waitMs, body.text);
    if ('result' in arrived) {
      this.open.delete(call);
      sendFailure(response, arrived);
      return;
    }
    this.post(arrived);
  }

  private register(response: http.ServerResponse): event.CallNumber {
    const call = this.nextCall;
    this.nextCall += 1;
    this.open.set(call, response);
    response.on('close', () => {
      if (this.open.delete(call)) this.post({kind: 'callEnded', call});
    });
    return call;
  }

  private translate(
    route: string,
    call: event.CallNumber,
    client: string,
    waitMs: number,
    body: string,
  ): event.CallEvent | result.Failure {
    if (route === 'POST /v1/identities') {
      return {kind: 'identitiesArrived', call, client, count: 1};
    }
    if (route === 'GET /v1/status') return {kind: 'statusArrived', call};
    if (route === 'POST /v1/requests') {
      return readSubmission(body, submission => ({
        kind: 'requestArrived',
        call,
        client,
        submission,
        waitMs,
      }));
    }
    const match = /^(PUT|GET|DELETE) \/v1\/requests\/([^/]+)$/.exec(route);
    if (match === null) return result.failure('unknownPath', route);
    const identity = decodeURIComponent(match[2]);
    if (match[1] === 'GET') {
      return {kind: 'fetchArrived', call, client, identity, waitMs};
    }
    if (match[1] === 'DELETE') {
      return {kind: 'cancelArrived', call, client, identity};
    }
    return readSubmission(body, submission => ({
      kind: 'requestArrived',
      call,
      client,
      identity,
      submission,
      waitMs,
    }));
  }
}

function readSubmission(
  body: string,
  build: (submission: request.Submission) => event.CallEvent,
): event.CallEvent | result.Failure {
  const parsed = jsonBody.parseObject(body);
  if (parsed === undefined) {
    return result.failure('invalidBody', 'body: must be a JSON object');
  }
  for (const field of ['team', 'workload', 'payload']) {
    if (typeof parsed[field] !== 'string') {
      return result.failure('invalidField', `${field}: must be a string`);
    }
  }
  return build(parsed as unknown as request.Submission);
}

function readWait(url: URL): number {
  const seconds = Number(url.searchParams.get('wait') ?? 0);
  if (!(seconds > 0)) return 0;
  return Math.min(seconds, LONGEST_WAIT_SECONDS) * 1_000;
}

function httpStatus(code: number): number {
  const row = Object.values(result.RESULT_CODES).find(
    known => known.code === code,
  );
  return row?.httpStatus ?? 500;
}

function sendFailure(
  response: http.ServerResponse,
  failed: result.Failure,
): void {
  const row = result.RESULT_CODES[failed.result];
  jsonBody.sendJson(response, row.httpStatus, {
    code: row.code,
    detail: failed.detail,
  });
}
