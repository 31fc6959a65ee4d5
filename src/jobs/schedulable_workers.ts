import * as workerSelection from './worker_selection.js';
import type * as clock from '../machines/clock.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerTable from './worker_table.js';

/** Number of changes that are kept; steps examined earlier start afresh. */
const MAXIMUM_LOGGED_CHANGES = 2_048;

/** Free share of a service's processors above which it has room. */
const ROOM_SHARE = 0.25;

/** Time after which room counts; until then more urgent work may take it. */
const STANDING_ROOM_MS = 1_000;

/** Workers of a service that were logged up to a version. */
interface ChangedWorkers {
  readonly version: number;
  readonly workers: ReadonlyArray<remoteWorker.RemoteWorker>;
}

/** The schedulable workers of one service. */
class ServiceWorkers {
  readonly workers: remoteWorker.RemoteWorker[] = [];
  /** Results of `changedSince` since the last refresh, by its argument. */
  readonly changedCache = new Map<number, ChangedWorkers>();
  processors = 0;
  freeProcessors = 0;

  add(worker: remoteWorker.RemoteWorker): void {
    this.workers.push(worker);
    this.processors += worker.entry.capacity.processors;
    this.freeProcessors += Math.max(0, worker.free.processors);
  }
}

const NO_WORKERS: ReadonlyArray<remoteWorker.RemoteWorker> = [];

/**
 * The workers on which tasks may be placed, by service, with a log of those
 * that may have become able to take more tasks. A step that found no worker
 * needs to look only at the workers that were logged since.
 */
export class SchedulableWorkers {
  private byService = new Map<string, ServiceWorkers>();
  private known = new Map<remoteWorker.RemoteWorker, number>();
  private changes: remoteWorker.RemoteWorker[] = [];
  private droppedChangeCount = 0;
  /** Since when each service has room; only those that have it. */
  private roomSince: ReadonlyMap<string, clock.Milliseconds> = new Map();
  private refreshedAt: clock.Milliseconds = -Infinity;

  constructor(private readonly workers: workerTable.WorkerTable) {}

  /** Position in the log of changes; rises with each change. */
  get version(): number {
    return this.droppedChangeCount + this.changes.length;
  }

  /** Reads the workers' state, and logs those that can take more tasks. */
  refresh(now: clock.Milliseconds): void {
    const known = new Map<remoteWorker.RemoteWorker, number>();
    const byService = new Map<string, ServiceWorkers>();
    for (const worker of this.workers.all()) {
      if (!workerSelection.isSchedulable(worker, now)) continue;
      const {capacityVersion} = worker;
      if (this.known.get(worker) !== capacityVersion) this.logChange(worker);
      known.set(worker, capacityVersion);
      const {service} = worker.entry;
      let ofService = byService.get(service);
      if (ofService === undefined) {
        ofService = new ServiceWorkers();
        byService.set(service, ofService);
      }
      ofService.add(worker);
    }
    this.known = known;
    this.byService = byService;
    this.refreshRoom(now);
    this.dropOldChanges();
  }

  /** Returns whether a worker was schedulable at the last `refresh`. */
  has(worker: remoteWorker.RemoteWorker): boolean {
    return this.known.has(worker);
  }

  /** Returns the workers of a service as of the last `refresh`. */
  ofService(service: string): ReadonlyArray<remoteWorker.RemoteWorker> {
    return this.byService.get(service)?.workers ?? [];
  }

  /** Returns the capacity of a service's workers, in thousandths of a core. */
  processorsOf(service: string): number {
    return this.byService.get(service)?.processors ?? 0;
  }

  /** Returns whether a good part of a service's processors stays free. */
  hasRoom(service: string): boolean {
    const since = this.roomSince.get(service) ?? Infinity;
    return this.refreshedAt - since >= STANDING_ROOM_MS;
  }

  private refreshRoom(now: clock.Milliseconds): void {
    const roomSince = new Map<string, clock.Milliseconds>();
    for (const [service, {freeProcessors, processors}] of this.byService) {
      if (freeProcessors <= ROOM_SHARE * processors) continue;
      roomSince.set(service, this.roomSince.get(service) ?? now);
    }
    this.roomSince = roomSince;
    this.refreshedAt = now;
  }

  /** Logs a worker that may be able to take more tasks. */
  logChange(worker: remoteWorker.RemoteWorker): void {
    this.changes.push(worker);
  }

  /**
   * Returns the workers of a service that were logged since `version`;
   * undefined if the log doesn't go back that far.
   */
  changedSince(
    version: number,
    service: string,
  ): ReadonlyArray<remoteWorker.RemoteWorker> | undefined {
    if (version === this.version) return NO_WORKERS;
    if (version < this.droppedChangeCount) return undefined;
    const cache = this.byService.get(service)?.changedCache;
    const cached = cache?.get(version);
    if (cached?.version === this.version) return cached.workers;
    const workers = this.findChanged(version, service);
    cache?.set(version, {version: this.version, workers});
    return workers;
  }

  private findChanged(
    version: number,
    service: string,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const changed = new Set<remoteWorker.RemoteWorker>();
    const first = version - this.droppedChangeCount;
    for (let index = first; index < this.changes.length; index += 1) {
      const worker = this.changes[index];
      if (worker.entry.service !== service) continue;
      if (this.known.has(worker)) changed.add(worker);
    }
    return [...changed];
  }

  private dropOldChanges(): void {
    if (this.changes.length <= MAXIMUM_LOGGED_CHANGES) return;
    const droppedCount = this.changes.length - MAXIMUM_LOGGED_CHANGES / 2;
    this.changes = this.changes.slice(droppedCount);
    this.droppedChangeCount += droppedCount;
  }
}
