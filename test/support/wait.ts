import * as timers from 'node:timers/promises';

/** Time after which a condition counts as never met. */
const TIMEOUT_MS = 30_000;

/** Waits until `read` returns a value that is not undefined. */
export async function until<Value>(
  what: string,
  read: () => Promise<Value | undefined>,
): Promise<Value> {
  const started = performance.now();
  while (performance.now() - started < TIMEOUT_MS) {
    const value = await read();
    if (value !== undefined) return value;
    await timers.setTimeout(20);
  }
  throw new Error(`not met within ${TIMEOUT_MS} ms: ${what}`);
}
