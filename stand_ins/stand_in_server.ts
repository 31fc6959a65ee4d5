import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as jsonBody from '../src/links/json_body.js';
import * as listen from '../src/links/listen.js';
import type * as net from 'node:net';

/** Largest request body that a stand-in accepts: 64 MiB. */
const MAXIMUM_BODY_BYTES = 67_108_864;

/** Time within which a whole request body has to arrive. */
const BODY_TIMEOUT_MS = 10_000;

/** An HTTP call with its whole body and the ways to end it. */
export interface StandInCall {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
  /** Sends a JSON response, unless the connection is silenced. */
  readonly send: (status: number, body: unknown) => void;
  /** Sends a response with an ETag, or 304 if the caller sent the same one. */
  readonly sendTagged: (body: unknown) => void;
  /** Closes the connection without a response. */
  readonly drop: () => void;
}

/** Implements the calls of one kind of stand-in. */
export interface StandInHandler {
  /** Serves a call that is not under /control. */
  serve(call: StandInCall): void | Promise<void>;
  /** Applies a change that a test posts to /control. */
  control(change: Readonly<Record<string, unknown>>): void;
  /** Returns the state that a test reads from /control. */
  observe(): unknown;
}

/** HTTP server of a stand-in whose open connections can be silenced. */
export class StandInServer {
  private readonly server: http.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly silencedSockets = new WeakSet<net.Socket>();

  constructor(private readonly handler: StandInHandler) {
    this.server = http.createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts listening and returns the address; port 0 selects a free port. */
  async listen(port: number): Promise<string> {
    const chosen = await listen.listen(this.server, '127.0.0.1', port);
    return `127.0.0.1:${chosen}`;
  }

  /** Sets the number of connections above which new ones are refused. */
  limitConnections(maximumConnections: number): void {
    this.server.maxConnections = maximumConnections;
  }

  /** Returns the number of open connections, silenced ones included. */
  connectionCount(): number {
    return this.sockets.size;
  }

  /** Stops answering on the open connections; later connections work. */
  silenceConnections(): void {
    for (const socket of this.sockets) {
      this.silencedSockets.add(socket);
      socket.setTimeout(0);
    }
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {socket} = incoming;
    const body = await jsonBody.readBody(
      incoming,
      MAXIMUM_BODY_BYTES,
      BODY_TIMEOUT_MS,
    );
    if (body.kind !== 'body') {
      response.destroy();
      return;
    }
    const url = new URL(incoming.url ?? '/', 'http://stand-in');
    if (url.pathname === '/control') {
      // /control answers on silenced connections too.
      this.serveControl(incoming.method, body.text, response);
      return;
    }
    if (this.silencedSockets.has(socket)) return;
    const send = (status: number, content: unknown): void => {
      if (this.silencedSockets.has(socket) || response.destroyed) return;
      jsonBody.sendJson(response, status, content);
    };
    const sendTagged = (content: unknown): void => {
      const text = JSON.stringify(content);
      const etag = `"${crypto.createHash('sha1').update(text).digest('hex')}"`;
      response.setHeader('etag', etag);
      if (incoming.headers['if-none-match'] !== etag) send(200, content);
      else if (!this.silencedSockets.has(socket)) response.writeHead(304).end();
    };
    const drop = (): void => void response.destroy();
    const method = incoming.method ?? '';
    const call = {method, url, body: body.text, send, sendTagged, drop};
    await this.handler.serve(call);
  }

  private serveControl(
    method: string | undefined,
    body: string,
    response: http.ServerResponse,
  ): void {
    if (method === 'POST') {
      const change = jsonBody.parseJsonObject(body);
      if (change === undefined) {
        const detail = 'body: must be a JSON object';
        jsonBody.sendJson(response, 400, {detail});
        return;
      }
      this.handler.control(change);
    }
    jsonBody.sendJson(response, 200, this.handler.observe());
  }
}
