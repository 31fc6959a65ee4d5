import type * as assignmentIndex from './assignment_index.js';
import type * as runRecovery from './run_recovery.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerTable from './worker_table.js';

/**
 * Keeps the stored list of workers true: a worker is stored as open before
 * anything starts there, and with the jobs that it runs once nothing more
 * does. A successor that can't find it then knows which jobs have to wait.
 */
export class StoredWorkerList {
  /** Workers that the store holds as closed, or that are being closed. */
  private readonly closedWorkers = new Set<remoteWorker.RemoteWorker>();
  /** What earlier terms stored of workers that have not reported to this. */
  private inherited: ReadonlyMap<
    remoteWorker.RemoteWorker,
    ReadonlyArray<string> | undefined
  > = new Map();
  private writing = false;

  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly journal: jobJournal.JobJournal,
    private readonly onStored: () => void,
  ) {}

  /** Takes over what earlier terms stored. */
  inherit(earlier: ReadonlyArray<runRecovery.InheritedWorker>): void {
    this.inherited = new Map(
      earlier.map(({worker, closedJobs}) => [worker, closedJobs]),
    );
  }

  /** Stores the list if a worker opened or closed since it was stored. */
  update(): void {
    if (this.writing) return;
    const changed = this.workers
      .all()
      .some(
        worker =>
          worker.acceptsTasks !== worker.recorded && !this.isClosed(worker),
      );
    if (changed) this.store();
  }

  /** Stores the list now: a worker joined or left it. */
  store(): void {
    this.writing = true;
    let opened: ReadonlyArray<remoteWorker.RemoteWorker> = [];
    this.journal.put(
      'workers',
      () => {
        const all = this.workers.all();
        opened = all.filter(worker => worker.acceptsTasks);
        for (const worker of all) this.markAsSent(worker);
        return {
          kind: 'workers',
          workers: all.map(worker => this.storedWorker(worker)),
        };
      },
      () => {
        this.writing = false;
        for (const worker of opened) {
          worker.recorded = !this.closedWorkers.has(worker);
        }
        this.onStored();
      },
    );
  }

  private isClosed(worker: remoteWorker.RemoteWorker): boolean {
    return !worker.acceptsTasks && this.closedWorkers.has(worker);
  }

  /** From the moment a worker is sent as closed, nothing starts there. */
  private markAsSent(worker: remoteWorker.RemoteWorker): void {
    if (worker.acceptsTasks) {
      this.closedWorkers.delete(worker);
      return;
    }
    this.closedWorkers.add(worker);
    worker.recorded = false;
  }

  private storedWorker(
    worker: remoteWorker.RemoteWorker,
  ): jobJournal.StoredWorker {
    const {entry} = worker;
    if (worker.acceptsTasks) return {entry};
    // Only a report shows which runs of earlier terms are there.
    if (!worker.fenceAccepted && this.inherited.has(worker)) {
      return {entry, closedJobs: this.inherited.get(worker)};
    }
    const jobs = new Set<string>();
    for (const {jobTask: task} of this.index.runsOn(worker)) {
      jobs.add(task.step.owner.definition.id);
    }
    return {entry, closedJobs: [...jobs]};
  }
}
