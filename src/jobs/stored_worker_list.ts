import type * as assignmentIndex from './assignment_index.js';
import type * as runRecovery from './run_recovery.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerTable from './worker_table.js';

/**
 * Keeps the stored list of workers up to date. A worker is stored as open
 * before tasks start there. Once no more tasks start, it is stored as closed,
 * with the jobs that have runs there. If the next scheduler can't reach a
 * worker, the list shows which jobs have to wait.
 */
export class StoredWorkerList {
  /** Workers that are stored, or being stored, as closed. */
  private readonly closedWorkers = new Set<remoteWorker.RemoteWorker>();
  /** Workers that earlier terms stored, with their `closedJobs`. */
  private inherited: ReadonlyMap<
    remoteWorker.RemoteWorker,
    ReadonlyArray<string> | undefined
  > = new Map();
  private writeInFlight = false;

  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly journal: jobJournal.JobJournal,
    private readonly onStored: () => void,
  ) {}

  /** Takes over the list that earlier terms stored. */
  inherit(workers: ReadonlyArray<runRecovery.InheritedWorker>): void {
    this.inherited = new Map(
      workers.map(({worker, closedJobs}) => [worker, closedJobs]),
    );
  }

  /** Stores the list if a worker has opened or closed since the last write. */
  update(): void {
    if (this.writeInFlight) return;
    const changed = this.workers
      .all()
      .some(
        worker =>
          worker.acceptsTasks !== worker.stored && !this.isClosed(worker),
      );
    if (changed) this.store();
  }

  /** Stores the list now, for example after a worker joined or left. */
  store(): void {
    this.writeInFlight = true;
    let openWorkers: ReadonlyArray<remoteWorker.RemoteWorker> = [];
    this.journal.put(
      'workers',
      () => {
        const all = this.workers.all();
        openWorkers = all.filter(worker => worker.acceptsTasks);
        for (const worker of all) this.markAsSent(worker);
        return {
          kind: 'workers',
          workers: all.map(worker => this.storedWorker(worker)),
        };
      },
      () => {
        this.writeInFlight = false;
        for (const worker of openWorkers) {
          worker.stored = !this.closedWorkers.has(worker);
        }
        this.onStored();
      },
    );
  }

  private isClosed(worker: remoteWorker.RemoteWorker): boolean {
    return !worker.acceptsTasks && this.closedWorkers.has(worker);
  }

  /** Marks a worker as sent; from then on, a closed one gets no more tasks. */
  private markAsSent(worker: remoteWorker.RemoteWorker): void {
    if (worker.acceptsTasks) {
      this.closedWorkers.delete(worker);
      return;
    }
    this.closedWorkers.add(worker);
    worker.stored = false;
  }

  private storedWorker(
    worker: remoteWorker.RemoteWorker,
  ): jobJournal.StoredWorker {
    const {entry} = worker;
    if (worker.acceptsTasks) return {entry};
    // Runs of earlier terms are known only after the worker's first report.
    if (!worker.fencingTokenAccepted && this.inherited.has(worker)) {
      return {entry, closedJobs: this.inherited.get(worker)};
    }
    const jobs = new Set<string>();
    for (const {jobTask: task} of this.assignmentIndex.runsOn(worker)) {
      jobs.add(task.step.jobRecord.definition.id);
    }
    return {entry, closedJobs: [...jobs]};
  }
}
