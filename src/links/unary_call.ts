import * as http2 from 'node:http2';
import type * as protobuf from '@bufbuild/protobuf';

/** Content type of messages in the binary format. */
export const MESSAGE_CONTENT_TYPE = 'application/proto';

/** Content type of errors. */
export const ERROR_CONTENT_TYPE = 'application/json';

/** Returns the path at which a method is called. */
export function pathOf(method: protobuf.DescMethod): string {
  return `/${method.parent.typeName}/${method.name}`;
}

/**
 * Collects the body of a request or a response. A stream also ends when its
 * connection is lost, and a truncated message may be a valid one.
 */
export class BodyReader {
  private readonly chunks: Buffer[] = [];
  private length = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Adds a part; returns false if the body is then too large. */
  add(chunk: Buffer): boolean {
    this.length += chunk.length;
    if (this.length > this.maximumBytes) return false;
    this.chunks.push(chunk);
    return true;
  }

  /** Returns the body; undefined if the stream ended before it was complete. */
  read(
    stream: http2.Http2Stream,
    headers: http2.IncomingHttpHeaders,
  ): Buffer | undefined {
    const declared = headers['content-length'];
    const isComplete =
      declared === undefined || Number(declared) === this.length;
    const isReset = stream.rstCode !== http2.constants.NGHTTP2_NO_ERROR;
    if (!isComplete || isReset || stream.aborted) return undefined;
    return this.chunks.length === 1
      ? this.chunks[0]
      : Buffer.concat(this.chunks);
  }
}
