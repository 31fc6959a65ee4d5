import type * as http from 'node:http';

/** Default limit of the size of a caller's body. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/**
 * Multiple of the size limit up to which an oversized body is read and
 * discarded, so that the sender can finish and read the error instead of a
 * connection reset.
 */
const DISCARD_FACTOR = 16;

/** Reason why a body could not be read. */
export type BodyError = 'tooLarge' | 'tooSlow' | 'aborted';

/** Outcome of reading a body. */
export type BodyOutcome =
  {readonly kind: 'body'; readonly text: string} | {readonly kind: BodyError};

/** Reads a body of at most `maximumBytes` bytes within `timeoutMs`. */
export function readBody(
  incoming: http.IncomingMessage,
  maximumBytes: number,
  timeoutMs: number,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const finish = (body: BodyOutcome): void => {
      clearTimeout(timer);
      incoming.removeAllListeners('data');
      resolve(body);
    };
    const timer = setTimeout(() => finish({kind: 'tooSlow'}), timeoutMs);
    incoming.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= maximumBytes) chunks.push(chunk);
      else chunks.length = 0;
      if (receivedBytes > maximumBytes * DISCARD_FACTOR) {
        finish({kind: 'tooLarge'});
      }
    });
    incoming.once('end', () => {
      if (receivedBytes > maximumBytes) finish({kind: 'tooLarge'});
      else finish({kind: 'body', text: Buffer.concat(chunks).toString('utf8')});
    });
    incoming.once('close', () => finish({kind: 'aborted'}));
    incoming.once('error', () => finish({kind: 'aborted'}));
  });
}

/** Parses a JSON object; returns undefined for any other text. */
export function parseJsonObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const parsed: unknown = JSON.parse(text);
    if (typeof parsed !== 'object' || parsed === null) return undefined;
    if (Array.isArray(parsed)) return undefined;
    return parsed as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  sendText(response, status, 'application/json', JSON.stringify(body));
}

/** Sends a response with a text body. */
export function sendText(
  response: http.ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
