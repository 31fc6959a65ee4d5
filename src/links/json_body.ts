import type * as http from 'node:http';

/** Why a body could not be read. */
export type BodyFault = 'tooLarge' | 'tooSlow' | 'aborted';

/** A body or the reason why there is none. */
export type Body =
  {readonly kind: 'body'; readonly text: string} | {readonly kind: BodyFault};

/** Reads a body of at most `limit` bytes within `deadlineMs`. */
export async function readBody(
  incoming: http.IncomingMessage,
  limit: number,
  deadlineMs: number,
): Promise<Body> {
  const chunks: Buffer[] = [];
  let length = 0;
  let late = false;
  const timer = setTimeout(() => {
    late = true;
    incoming.destroy();
  }, deadlineMs);
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > limit) return {kind: 'tooLarge'};
      chunks.push(chunk);
    }
    return {kind: 'body', text: Buffer.concat(chunks).toString('utf8')};
  } catch {
    return {kind: late ? 'tooSlow' : 'aborted'};
  } finally {
    clearTimeout(timer);
  }
}

/** Parses JSON; undefined when the text is not a JSON object. */
export function parseObject(
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
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
