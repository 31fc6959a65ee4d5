/** An answer with its parsed body. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends one call as a client and reads the JSON answer. */
export async function callJson(
  address: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const answer = await fetch(`http://${address}${path}`, {
    method,
    headers: {'x-client': 'workshop-1', ...headers},
    body: body === undefined ? undefined : toText(body),
  });
  const text = await answer.text();
  return {
    status: answer.status,
    headers: answer.headers,
    text,
    body: parseObject(text),
  };
}

function toText(body: unknown): string {
  return typeof body === 'string' ? body : JSON.stringify(body);
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return {};
  }
}
