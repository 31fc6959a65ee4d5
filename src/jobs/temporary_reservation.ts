import type * as remoteWorker from '../machines/remote_worker.js';
import type * as resources from '../machines/resources.js';

/** Resources reserved on workers while a placement is planned. */
export class TemporaryReservation {
  private readonly taken: Array<{
    readonly worker: remoteWorker.RemoteWorker;
    readonly size: resources.Resources;
  }> = [];

  /** Reserves `size` on a worker, in addition to earlier reservations. */
  reserve(worker: remoteWorker.RemoteWorker, size: resources.Resources): void {
    worker.takeCapacity(size);
    this.taken.push({worker, size});
  }

  /** Releases the last `count` reservations. */
  releaseLast(count: number): void {
    const released = this.taken.splice(this.taken.length - count, count);
    for (const {worker, size} of released) worker.returnCapacity(size);
  }

  /** Releases everything that was reserved. */
  release(): void {
    this.releaseLast(this.taken.length);
  }
}
