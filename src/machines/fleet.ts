import * as worker from './worker.js';

/** The workers that a process knows. */
export class Fleet {
  private readonly workers = new Map<string, worker.Worker>();

  /** Returns the worker, which is created when it is new. */
  ensure(description: worker.WorkerDescription): worker.Worker {
    const known = this.workers.get(description.name);
    if (known !== undefined) return known;
    const created = new worker.Worker(description);
    this.workers.set(description.name, created);
    return created;
  }

  /** Returns a known worker. */
  get(name: string): worker.Worker | undefined {
    return this.workers.get(name);
  }

  /** Forgets a worker that the VM list no longer names. */
  remove(name: string): void {
    this.workers.delete(name);
  }

  /** All known workers. */
  all(): ReadonlyArray<worker.Worker> {
    return [...this.workers.values()];
  }
}
