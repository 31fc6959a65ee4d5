/** HTTP response with its parsed body; `body` is empty if the text is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends an HTTP call as client `workshop-1` and reads the JSON response. */
export async function callJson(
  address: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    headers: {'x-client': 'workshop-1', ...headers},
    body: body === undefined ? undefined : toText(body),
  });
  const text = await response.text();
  return {
    status: response.status,
    headers: response.headers,
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
