import * as timers from 'node:timers/promises';

/** Time within which a condition has to be met. */
const TIMEOUT_MS = 30_000;

/** Polls `read` until it returns a value other than undefined. */
export async function until<Value>(
  condition: string,
  read: () => Promise<Value | undefined>,
): Promise<Value> {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < TIMEOUT_MS) {
    const value = await read();
    if (value !== undefined) return value;
    await timers.setTimeout(20);
  }
  throw new Error(`condition not met within ${TIMEOUT_MS} ms: ${condition}`);
}
