import * as http2 from 'node:http2';
import * as connectNode from '@connectrpc/connect-node';
import * as listen from './listen.js';
import type * as connect from '@connectrpc/connect';

/** HTTP/2 server for calls of the Connect protocol between processes. */
export class RpcServer {
  private readonly server: http2.Http2Server;
  private readonly sessions = new Set<http2.ServerHttp2Session>();

  constructor(
    maximumMessageBytes: number,
    registerRoutes: (router: connect.ConnectRouter) => void,
    /** Called with the name of the method before a call is handled. */
    onCall: (method: string) => void = () => {},
  ) {
    const handle = connectNode.connectNodeAdapter({
      routes: registerRoutes,
      acceptCompression: [],
      readMaxBytes: maximumMessageBytes,
      grpc: false,
      grpcWeb: false,
    });
    this.server = http2.createServer((request, response) => {
      onCall(request.url.slice(request.url.lastIndexOf('/') + 1));
      handle(request, response);
    });
    this.server.on('session', session => {
      this.sessions.add(session);
      session.once('close', () => this.sessions.delete(session));
    });
  }

  /** Starts listening; returns the port, chosen by the system for port 0. */
  listen(host: string, port: number): Promise<number> {
    return listen.listen(this.server, host, port);
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    for (const session of this.sessions) session.destroy();
  }
}
