import * as http2 from 'node:http2';
import * as connect from '@connectrpc/connect';
import * as protobuf from '@bufbuild/protobuf';
import * as unaryCall from './unary_call.js';
import type * as connectNode from '@connectrpc/connect-node';

const HTTP_OK = 200;

/** Most bytes of an error's body that are quoted in a message. */
const MAXIMUM_QUOTED_BYTES = 200;

/** Calls of this protocol have no metadata. */
const NO_METADATA = new Headers();

/** Response to one call. */
interface UnaryAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** One call in progress; ends once, with an answer or an error. */
class UnaryExchange {
  private readonly body: unaryCall.BodyReader;
  private headers: http2.IncomingHttpHeaders & http2.IncomingHttpStatusHeader =
    {};
  private stream: http2.ClientHttp2Stream | undefined;
  private isSettled = false;

  constructor(
    maximumBytes: number,
    private readonly onAnswer: (answer: UnaryAnswer) => void,
    private readonly onError: (error: unknown) => void,
  ) {
    this.body = new unaryCall.BodyReader(maximumBytes);
  }

  /** Sends the request on a stream of the connection. */
  send(stream: http2.ClientHttp2Stream, request: Uint8Array): void {
    this.stream = stream;
    stream.on('error', error => this.fail(error));
    if (this.isSettled) {
      stream.close(http2.constants.NGHTTP2_CANCEL);
      return;
    }
    stream.on('response', headers => (this.headers = headers));
    stream.on('data', (chunk: Buffer) => {
      if (!this.body.add(chunk)) this.cancel('response is too large');
    });
    stream.on('end', () => this.end(stream));
    stream.on('close', () => this.fail(new Error('stream was closed')));
    stream.end(request);
  }

  /** Gives up the call. */
  cancel(detail: string): void {
    this.fail(new connect.ConnectError(detail, connect.Code.Canceled));
    this.stream?.close(http2.constants.NGHTTP2_CANCEL);
  }

  /** Ends the call with an error, unless it has ended. */
  fail(error: unknown): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.onError(error);
  }

  private end(stream: http2.ClientHttp2Stream): void {
    if (this.isSettled) return;
    const body = this.body.read(stream, this.headers);
    const {':status': status} = this.headers;
    if (body === undefined || status === undefined) {
      this.fail(new Error('response is incomplete'));
      return;
    }
    this.isSettled = true;
    this.onAnswer({status, contentType: this.headers['content-type'], body});
  }
}

/**
 * Sends unary calls of the Connect protocol in its binary format. The streams,
 * headers and signals of the library's own transport cost several times the
 * processor time of the call itself.
 */
export class UnaryTransport implements connect.Transport {
  constructor(
    private readonly session: connectNode.Http2SessionManager,
    private readonly maximumBytes: number,
  ) {}

  async unary<
    Input extends protobuf.DescMessage,
    Output extends protobuf.DescMessage,
  >(
    method: protobuf.DescMethodUnary<Input, Output>,
    signal: AbortSignal | undefined,
    _timeoutMs: number | undefined,
    _header: unknown,
    input: protobuf.MessageInitShape<Input>,
  ): Promise<connect.UnaryResponse<Input, Output>> {
    const message = protobuf.create(method.input, input);
    const request = protobuf.toBinary(method.input, message);
    const answer = await this.exchange(method, request, signal);
    return {
      stream: false,
      service: method.parent,
      method,
      header: NO_METADATA,
      trailer: NO_METADATA,
      message: decodeAnswer(method.output, answer),
    };
  }

  /** Throws an error: the members' services have unary methods only. */
  stream(): never {
    throw new connect.ConnectError(
      'streaming calls are not supported',
      connect.Code.Unimplemented,
    );
  }

  private exchange(
    method: protobuf.DescMethod,
    request: Uint8Array,
    signal: AbortSignal | undefined,
  ): Promise<UnaryAnswer> {
    return new Promise((resolve, reject) => {
      const exchange = new UnaryExchange(this.maximumBytes, resolve, reject);
      signal?.addEventListener('abort', () => exchange.cancel('aborted'));
      const headers = {
        'content-type': unaryCall.MESSAGE_CONTENT_TYPE,
        'content-length': String(request.length),
        'connect-protocol-version': '1',
      };
      this.session
        .request('POST', unaryCall.pathOf(method), headers, {})
        .then(stream => exchange.send(stream, request))
        .catch(error => exchange.fail(error));
    });
  }
}

function decodeAnswer<Output extends protobuf.DescMessage>(
  output: Output,
  {status, contentType, body}: UnaryAnswer,
): protobuf.MessageShape<Output> {
  if (status !== HTTP_OK) {
    const detail = body.toString('utf8', 0, MAXIMUM_QUOTED_BYTES);
    throw new connect.ConnectError(`status ${status} ${detail}`);
  }
  if (contentType !== unaryCall.MESSAGE_CONTENT_TYPE) {
    throw new connect.ConnectError(`content type ${contentType}`);
  }
  return protobuf.fromBinary(output, body);
}
