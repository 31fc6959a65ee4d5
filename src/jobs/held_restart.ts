import * as sentStarts from './sent_starts.js';
import * as workerSelection from './worker_selection.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as resources from '../machines/resources.js';

/** Time without a run after which callers take a task for lost. */
const STANDING_LIMIT_MS = 9_000;

/** Time that a start takes at most, with the record of its worker before it. */
const START_ALLOWANCE_MS = 1_500;

/**
 * A task whose next run is held back because copies of earlier starts may still
 * be carried out. It keeps room on the worker of the copies, on which alone it
 * may run meanwhile.
 */
export class HeldRestart {
  /** Worker on which room is kept. */
  private roomWorker: remoteWorker.RemoteWorker | undefined;

  constructor(
    readonly task: jobTask.JobTask,
    readonly heldSince: clock.Milliseconds,
    /** When the last run of the task was last known to run. */
    private readonly lastRunAt: clock.Milliseconds,
  ) {}

  /**
   * Returns whether the task still has to wait. For incarnations that may never
   * come, a task that lasts and one whose workers are gone don't wait until
   * callers take them for lost.
   */
  mustWait(
    copies: ReadonlyArray<sentStarts.SentStart>,
    now: clock.Milliseconds,
  ): boolean {
    if (this.task.done || copies.length === 0) return false;
    const hasLimit =
      this.task.step.definition.longRunning ||
      copies.every(({worker}) => worker?.isGone === true);
    if (!hasLimit) return true;
    const limitMs = STANDING_LIMIT_MS - START_ALLOWANCE_MS;
    if (now < this.lastRunAt + limitMs) return true;
    return copies.some(copy => sentStarts.stateOf(copy, now) === 'open');
  }

  /** Keeps room for the task on a worker, or none if that is undefined. */
  keepRoomOn(worker: remoteWorker.RemoteWorker | undefined): void {
    if (this.roomWorker === worker) return;
    this.roomWorker?.releaseCapacity(this.size);
    worker?.takeCapacity(this.size);
    this.roomWorker = worker;
  }

  /** Calls `start` with the kept room free, and keeps it if no run has begun. */
  useRoom(start: () => void): void {
    this.roomWorker?.returnCapacity(this.size);
    start();
    const hasStarted = this.task.assignments.length > 0;
    if (hasStarted) this.roomWorker = undefined;
    else this.roomWorker?.takeCapacity(this.size);
  }

  private get size(): resources.Resources {
    return workerSelection.reservedSize(this.task.step.definition);
  }
}
