import * as workerThreads from 'node:worker_threads';
import type * as workerServersThread from './worker_servers_thread.js';

/**
 * Workers that answer every call at once, or never. They run in a thread of
 * their own, so that they answer while the test's event loop is blocked.
 */
export class WorkerServers {
  private constructor(
    private readonly thread: workerThreads.Worker,
    readonly addresses: ReadonlyArray<string>,
  ) {}

  static async start(
    serverCount: number,
    isSilent = false,
  ): Promise<WorkerServers> {
    const settings: workerServersThread.WorkerServersSettings = {
      serverCount,
      isSilent,
    };
    const thread = new workerThreads.Worker(
      new URL('./worker_servers_thread.js', import.meta.url),
      {workerData: settings},
    );
    const started = new Promise<workerServersThread.WorkerServersStarted>(
      resolve => thread.once('message', resolve),
    );
    return new WorkerServers(thread, (await started).addresses);
  }

  /** Returns the counts over all servers. */
  counts(): Promise<workerServersThread.WorkerServersCounts> {
    const counts = new Promise<workerServersThread.WorkerServersCounts>(
      resolve => this.thread.once('message', resolve),
    );
    this.thread.postMessage('counts');
    return counts;
  }

  /** Ends the thread with all its servers. */
  async close(): Promise<void> {
    await this.thread.terminate();
  }
}
