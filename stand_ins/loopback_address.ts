import * as crypto from 'node:crypto';

/**
 * Returns a random loopback address. Processes of other tests go on calling
 * the ports of their ended servers, which the system assigns again; at another
 * address these calls don't arrive.
 */
export function randomLoopbackAddress(): string {
  const part = (): number => crypto.randomInt(1, 255);
  return `127.${part()}.${part()}.${part()}`;
}
