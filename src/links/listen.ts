import type * as net from 'node:net';

/**
 * Makes a server listen. Resolves with its port, which the system chooses for
 * port 0; rejects when the address is not available.
 */
export function listen(
  server: net.Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const address = server.address();
      resolve(typeof address === 'object' ? (address?.port ?? 0) : 0);
    });
  });
}
