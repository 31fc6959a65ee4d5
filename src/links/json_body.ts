import type * as http from 'node:http';

/** Largest body of a caller's call in bytes. */
export const MAX_BODY_BYTES = 1_048_576;

/**
 * How much of a too large body is read and dropped, in multiples of the limit,
 * so that the sender can finish and read the error instead of a reset.
 */
const DISCARD_FACTOR = 16;

/** Why a body could not be read. */
export type BodyError = 'tooLarge' | 'tooSlow' | 'aborted';

/** A body or the reason why there is none. */
export type BodyOutcome =
  {readonly kind: 'body'; readonly text: string} | {readonly kind: BodyError};

/** Reads a body of at most `limit` bytes within `deadlineMs`. */
export function readBody(
  incoming: http.IncomingMessage,
  limit: number,
  deadlineMs: number,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (body: BodyOutcome): void => {
      clearTimeout(timer);
      incoming.removeAllListeners('data');
      resolve(body);
    };
    const timer = setTimeout(() => finish({kind: 'tooSlow'}), deadlineMs);
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limit) chunks.push(chunk);
      else chunks.length = 0;
      if (length > limit * DISCARD_FACTOR) finish({kind: 'tooLarge'});
    });
    incoming.once('end', () => {
      if (length > limit) finish({kind: 'tooLarge'});
      else finish({kind: 'body', text: Buffer.concat(chunks).toString('utf8')});
    });
    incoming.once('close', () => finish({kind: 'aborted'}));
    incoming.once('error', () => finish({kind: 'aborted'}));
  });
}

/** Parses JSON; undefined when the text is not a JSON object. */
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

/** Answers with a JSON body. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  sendText(response, status, 'application/json', JSON.stringify(body));
}

/** Answers with text. */
export function sendText(
  response: http.ServerResponse,
  status: number,
  type: string,
  text: string,
): void {
  response.writeHead(status, {
    'content-type': type,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
