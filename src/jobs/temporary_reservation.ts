import type * as remoteWorker from '../machines/remote_worker.js';
import type * as resources from '../machines/resources.js';

/** Room that is set aside on workers while something is worked out. */
export class TemporaryReservation {
  private readonly workers: remoteWorker.RemoteWorker[] = [];

  /** `name` sets the room apart from what others hold at the same time. */
  constructor(private readonly name: string) {}

  /** Sets room aside. */
  reserve(worker: remoteWorker.RemoteWorker, size: resources.Resources): void {
    worker.reserve({task: this.name, run: this.workers.length}, size);
    this.workers.push(worker);
  }

  /** Frees all of it. */
  release(): void {
    for (const [run, worker] of this.workers.entries()) {
      worker.release({task: this.name, run});
    }
    this.workers.length = 0;
  }
}
