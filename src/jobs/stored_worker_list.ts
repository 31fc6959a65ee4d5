import type * as clock from '../machines/clock.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as runRecovery from './run_recovery.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as workerTable from './worker_table.js';

/**
 * Keeps the stored workers up to date, each under a key of its own. A worker is
 * stored as open before tasks start there. Once no more tasks start, it is
 * stored as closed, with the jobs that have runs there. If the next scheduler
 * can't reach a worker, its entry shows which jobs have to wait.
 */
export class StoredWorkerList {
  /** Workers that are stored, or being stored, as closed. */
  private readonly closedWorkers = new Set<remoteWorker.RemoteWorker>();
  /** Closed workers that are stored with the jobs of an earlier term. */
  private readonly storedAsInherited = new Set<remoteWorker.RemoteWorker>();
  /** Workers that earlier terms stored, with their `closedJobs`. */
  private inherited: ReadonlyMap<
    remoteWorker.RemoteWorker,
    ReadonlyArray<string> | undefined
  > = new Map();
  /** What the newest record of each worker says of foreign leases. */
  private readonly storedForeignLeases = new Map<
    remoteWorker.RemoteWorker,
    remoteWorker.ForeignLeases
  >();
  /** Ids of workers whose runs of tasks that last the journal may not list. */
  private readonly unlistedServices = new Set<string>();
  /** Ids of the workers whose change is not stored yet. */
  private readonly pendingIds = new Set<string>();

  constructor(
    private readonly workers: workerTable.WorkerTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly journal: jobJournal.JobJournal,
    private readonly clock: clock.Clock,
    private readonly onStored: () => void,
  ) {}

  /**
   * Takes over the workers that earlier terms stored, and stores all workers.
   * `storedIds` also names those that have ended meanwhile.
   */
  inherit(
    workers: ReadonlyArray<runRecovery.InheritedWorker>,
    storedIds: ReadonlyArray<string>,
  ): void {
    for (const {worker, listsServices} of workers) {
      if (!listsServices) this.unlistedServices.add(worker.id);
    }
    this.inherited = new Map(
      workers.map(({worker, closedJobs}) => [worker, closedJobs]),
    );
    const ids = new Set(storedIds);
    for (const worker of this.workers.all()) ids.add(worker.id);
    let unstoredCount = ids.size;
    const countStored = (): void => {
      unstoredCount -= 1;
      if (unstoredCount === 0) this.dropCombinedList();
    };
    for (const id of ids) this.store(id, countStored);
  }

  /** Stores the workers that have opened or closed since they were stored. */
  update(): void {
    for (const worker of this.workers.all()) {
      if (this.pendingIds.has(worker.id)) continue;
      if (this.hasChanged(worker)) this.store(worker.id);
    }
  }

  /**
   * Stores a worker now, for example after it joined, or removes it if it has
   * ended.
   */
  store(id: string, onStored?: () => void): void {
    let openWorker: remoteWorker.RemoteWorker | undefined;
    this.pendingIds.add(id);
    this.journal.put(
      `worker/${id}`,
      () => {
        const worker = this.workers.get(id);
        openWorker = worker?.acceptsTasks === true ? worker : undefined;
        if (worker === undefined) return {kind: 'workerRemoved', id};
        this.markAsSent(worker);
        return {kind: 'worker', worker: this.storedWorker(worker)};
      },
      () => {
        this.pendingIds.delete(id);
        if (openWorker !== undefined) {
          openWorker.stored = !this.closedWorkers.has(openWorker);
        }
        onStored?.();
        this.onStored();
      },
    );
  }

  /** Writes to the journal, to see whether the store has recovered. */
  probe(): void {
    // All workers are stored by now, because no other change is pending.
    this.dropCombinedList();
  }

  /** Forgets a worker incarnation that has ended, and stores its id's state. */
  removeEnded(worker: remoteWorker.RemoteWorker): void {
    this.closedWorkers.delete(worker);
    this.storedAsInherited.delete(worker);
    this.storedForeignLeases.delete(worker);
    this.store(worker.id);
  }

  /** Drops the list under one key that earlier versions stored. */
  private dropCombinedList(): void {
    this.journal.put('workers', () => ({kind: 'combinedWorkersDropped'}));
  }

  private hasChanged(worker: remoteWorker.RemoteWorker): boolean {
    const foreignLeases = worker.foreignLeases(this.clock.now());
    if (foreignLeases !== this.storedForeignLeases.get(worker)) return true;
    if (this.listsServicesAnew(worker)) return true;
    if (worker.acceptsTasks) return !worker.stored;
    if (!this.closedWorkers.has(worker)) return true;
    return this.storedAsInherited.has(worker) && worker.fencingTokenAccepted;
  }

  /**
   * Returns whether a worker has reported the runs that no earlier term listed.
   * Their jobs are stored before it is.
   */
  private listsServicesAnew(worker: remoteWorker.RemoteWorker): boolean {
    const hasReported = worker.fencingTokenAccepted;
    return hasReported && this.unlistedServices.has(worker.id);
  }

  /** Marks a worker as sent; from then on, a closed one gets no more tasks. */
  private markAsSent(worker: remoteWorker.RemoteWorker): void {
    const foreignLeases = worker.foreignLeases(this.clock.now());
    this.storedForeignLeases.set(worker, foreignLeases);
    if (this.listsServicesAnew(worker)) this.unlistedServices.delete(worker.id);
    this.storedAsInherited.delete(worker);
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
    const stored = this.storedIncarnation(worker);
    if (worker.acceptsTasks) return stored;
    // Runs of earlier terms are known only after the worker's first report.
    if (!worker.fencingTokenAccepted && this.inherited.has(worker)) {
      this.storedAsInherited.add(worker);
      return {...stored, closedJobs: this.inherited.get(worker)};
    }
    const jobs = new Set<string>();
    for (const {jobTask: task} of this.assignmentIndex.runsOn(worker)) {
      jobs.add(task.step.jobRecord.definition.id);
    }
    return {...stored, closedJobs: [...jobs]};
  }

  private storedIncarnation(
    worker: remoteWorker.RemoteWorker,
  ): jobJournal.StoredWorker {
    const {entry} = worker;
    const listsServices = this.unlistedServices.has(worker.id)
      ? undefined
      : true;
    switch (this.storedForeignLeases.get(worker)) {
      case 'possible':
        return {entry, listsServices, restarted: true};
      case 'ending':
        return {entry, listsServices, restarted: true, reached: true};
      default:
        return {entry, listsServices};
    }
  }
}
