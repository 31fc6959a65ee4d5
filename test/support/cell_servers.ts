import * as workerThreads from 'node:worker_threads';
import type * as cellServersThread from './cell_servers_thread.js';

/**
 * Members that answer the calls of other members. They run in a thread of their
 * own, so that they answer while the test's event loop is blocked.
 */
export class CellServers {
  private constructor(
    private readonly thread: workerThreads.Worker,
    readonly addresses: ReadonlyArray<string>,
  ) {}

  static async start(
    settings: cellServersThread.CellServersSettings,
  ): Promise<CellServers> {
    const thread = new workerThreads.Worker(
      new URL('./cell_servers_thread.js', import.meta.url),
      {workerData: settings},
    );
    const addresses = await new Promise<ReadonlyArray<string>>(resolve =>
      thread.once('message', resolve),
    );
    return new CellServers(thread, addresses);
  }

  /** Blocks the event loop of the members. */
  block(blockMs: number): void {
    const request: cellServersThread.BlockRequest = {blockMs};
    this.thread.postMessage(request);
  }

  /** Returns the counts over all members. */
  counts(): Promise<cellServersThread.ConnectionCounts> {
    const counts = new Promise<cellServersThread.ConnectionCounts>(resolve =>
      this.thread.once('message', resolve),
    );
    this.thread.postMessage(undefined);
    return counts;
  }

  /** Ends the thread with all its members. */
  async close(): Promise<void> {
    await this.thread.terminate();
  }
}
