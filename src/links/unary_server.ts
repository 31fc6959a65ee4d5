import * as http2 from 'node:http2';
import * as connect from '@connectrpc/connect';
import * as protobuf from '@bufbuild/protobuf';
import * as unaryCall from './unary_call.js';

/** Handles the calls of one method. */
type UnaryHandler<Method extends protobuf.DescMethod> = (
  request: protobuf.MessageShape<Method['input']>,
) =>
  | protobuf.MessageInitShape<Method['output']>
  | Promise<protobuf.MessageInitShape<Method['output']>>;

/** Handlers of all methods of a service, by their names. */
export type UnaryHandlers<Service extends protobuf.DescService> = {
  readonly [Name in keyof Service['method']]: UnaryHandler<
    Service['method'][Name]
  >;
};

/** A method and the handler of its calls. */
interface Route {
  readonly method: protobuf.DescMethod;
  readonly handler: UnaryHandler<protobuf.DescMethod>;
}

/** Error response of the protocol. */
interface ErrorAnswer {
  readonly status: number;
  readonly code: string;
  readonly message: string;
}

const HTTP_OK = 200;

const UNKNOWN_METHOD: ErrorAnswer = {
  status: 404,
  code: 'unimplemented',
  message: 'no such method in the binary format',
};

const TOO_LARGE: ErrorAnswer = {
  status: 429,
  code: 'resource_exhausted',
  message: 'message is too large',
};

const INTERNAL_ERROR: ErrorAnswer = {
  status: 500,
  code: 'internal',
  message: 'internal error',
};

/**
 * Answers unary calls of the Connect protocol in its binary format on an HTTP/2
 * server. The streams, headers and signals of the library's own adapter cost
 * several times the processor time of the call itself.
 */
export class UnaryServer<Service extends protobuf.DescService> {
  private readonly routes = new Map<string, Route>();

  constructor(
    service: Service,
    handlers: UnaryHandlers<Service>,
    private readonly maximumBytes: number,
  ) {
    const byName = handlers as Readonly<
      Record<string, UnaryHandler<protobuf.DescMethod>>
    >;
    for (const method of service.methods) {
      const handler = byName[method.localName];
      this.routes.set(unaryCall.pathOf(method), {method, handler});
    }
  }

  /** Serves the calls that arrive at a server. */
  serve(server: http2.Http2Server): void {
    server.on('stream', (stream, headers) => this.receive(stream, headers));
  }

  private receive(
    stream: http2.ServerHttp2Stream,
    headers: http2.IncomingHttpHeaders,
  ): void {
    // A caller that gives up resets its stream, which needs no handling.
    stream.on('error', () => {});
    const route = this.routes.get(headers[':path'] ?? '');
    const isBinary =
      headers['content-type'] === unaryCall.MESSAGE_CONTENT_TYPE &&
      headers[':method'] === 'POST';
    if (route === undefined || !isBinary) {
      stream.resume();
      sendError(stream, UNKNOWN_METHOD);
      return;
    }
    const body = new unaryCall.BodyReader(this.maximumBytes);
    stream.on('data', (chunk: Buffer) => {
      if (!body.add(chunk)) sendError(stream, TOO_LARGE);
    });
    stream.on('end', () => {
      const request = body.read(stream, headers);
      if (request === undefined || stream.headersSent) return;
      void answer(stream, route, request);
    });
  }
}

async function answer(
  stream: http2.ServerHttp2Stream,
  {method, handler}: Route,
  body: Uint8Array,
): Promise<void> {
  try {
    const request = decodeRequest(method, body);
    const response = await handler(request);
    const message = protobuf.create(method.output, response);
    const bytes = protobuf.toBinary(method.output, message);
    send(stream, HTTP_OK, unaryCall.MESSAGE_CONTENT_TYPE, bytes);
  } catch (error) {
    sendError(stream, errorAnswerFor(error));
  }
}

function decodeRequest(
  method: protobuf.DescMethod,
  body: Uint8Array,
): protobuf.Message {
  try {
    return protobuf.fromBinary(method.input, body);
  } catch (error) {
    throw new connect.ConnectError(String(error), connect.Code.InvalidArgument);
  }
}

/** Returns what a caller is told of an error; only its own are described. */
function errorAnswerFor(error: unknown): ErrorAnswer {
  const isOfCaller =
    error instanceof connect.ConnectError &&
    error.code === connect.Code.InvalidArgument;
  if (!isOfCaller) return INTERNAL_ERROR;
  return {status: 400, code: 'invalid_argument', message: error.rawMessage};
}

function sendError(
  stream: http2.ServerHttp2Stream,
  {status, code, message}: ErrorAnswer,
): void {
  const body = Buffer.from(JSON.stringify({code, message}));
  send(stream, status, unaryCall.ERROR_CONTENT_TYPE, body);
}

/** Sends a response, unless one was sent or the caller has given up. */
function send(
  stream: http2.ServerHttp2Stream,
  status: number,
  contentType: string,
  body: Uint8Array,
): void {
  if (stream.headersSent || stream.closed || stream.destroyed) return;
  stream.respond({
    ':status': status,
    'content-type': contentType,
    'content-length': body.length,
  });
  stream.end(body);
}
