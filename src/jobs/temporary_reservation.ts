import type * as remoteWorker from '../machines/remote_worker.js';
import type * as resources from '../machines/resources.js';

/** Resources reserved on workers while a placement is planned. */
export class TemporaryReservation {
  private readonly workers: remoteWorker.RemoteWorker[] = [];

  /** `name` distinguishes reservations that exist at the same time. */
  constructor(private readonly name: string) {}

  /** Reserves `size` on a worker, in addition to earlier reservations. */
  reserve(worker: remoteWorker.RemoteWorker, size: resources.Resources): void {
    worker.reserve({task: this.name, run: this.workers.length}, size);
    this.workers.push(worker);
  }

  /** Releases everything that was reserved. */
  release(): void {
    for (const [run, worker] of this.workers.entries()) {
      worker.release({task: this.name, run});
    }
    this.workers.length = 0;
  }
}
