import * as storedWorkerList from './stored_worker_list.js';
import * as workerSession from '../machines/worker_session.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as runRecovery from './run_recovery.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runTracker from './run_tracker.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as workerTable from './worker_table.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** What the lives of workers touch. */
export interface WorkerLifecycleDependencies {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly workers: workerTable.WorkerTable;
  readonly index: assignmentIndex.AssignmentIndex;
  readonly journal: jobJournal.JobJournal;
  readonly tracker: runTracker.RunTracker;
  readonly trust: workerReliability.WorkerReliability;
  readonly leaseMs: number;
  /** After this time no run of an earlier term that was not found is left. */
  readonly earlierLeasesExpireAt: clock.Milliseconds;
  readonly requestPass: () => void;
  /** A worker reported; what runs there is known. */
  readonly onReport: (worker: remoteWorker.RemoteWorker) => void;
  /** A life is over. */
  readonly onEnded: (worker: remoteWorker.RemoteWorker) => void;
}

/** Why a life of a worker counts as over. */
type EndReason = 'replaced' | 'otherLife' | 'gone';

/** Follows each worker from its first listing to its end. */
export class WorkerLifecycle implements workerSession.SessionListener {
  private readonly sessions = new Map<
    remoteWorker.RemoteWorker,
    workerSession.WorkerSession
  >();
  private readonly storedList: storedWorkerList.StoredWorkerList;
  private started = false;

  constructor(private readonly dependencies: WorkerLifecycleDependencies) {
    const {workers, index, journal, requestPass} = dependencies;
    this.storedList = new storedWorkerList.StoredWorkerList(
      workers,
      index,
      journal,
      requestPass,
    );
  }

  /**
   * Takes over the workers of earlier terms and begins to call all workers,
   * which makes sense only once the jobs are known.
   */
  start(
    stored: ReadonlyArray<jobJournal.StoredWorker>,
  ): ReadonlyArray<runRecovery.InheritedWorker> {
    const {workers, options} = this.dependencies;
    const now = options.clock.now();
    const earlier = stored
      .filter(({entry}) => !workers.isReplaced(entry))
      .map(({entry, closedJobs}) => ({
        worker: workers.addInherited(entry, now),
        closedJobs,
      }));
    this.started = true;
    this.storedList.inherit(earlier);
    for (const worker of workers.all()) this.openSession(worker);
    this.storedList.store();
    return earlier;
  }

  /** Calls no worker any more. */
  stop(): void {
    this.started = false;
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  /** Takes the registry's present list. */
  update(entries: ReadonlyArray<remoteWorker.RegistryEntry>): void {
    const {workers, options, requestPass} = this.dependencies;
    const {joined, replaced} = workers.applyRegistryList(
      entries,
      options.clock.now(),
    );
    for (const worker of replaced) this.endIncarnation(worker, 'replaced');
    for (const worker of joined) this.openSession(worker);
    if (this.started && joined.length > 0) this.storedList.store();
    requestPass();
  }

  /** Ends leases and lives that are over by now, and keeps the roll true. */
  review(now: clock.Milliseconds): void {
    for (const worker of this.dependencies.workers.all()) {
      if (worker.unreachable) this.reviewUnreachable(worker, now);
    }
    // Any change shows whether the store is back; this one does no harm.
    if (this.dependencies.journal.needsProbe) this.storedList.store();
    this.storedList.update();
  }

  mayExtendLeases(): boolean {
    return this.started && this.dependencies.options.mayGrantLeases();
  }

  reportReceived(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void {
    if (!this.started) return;
    const now = this.dependencies.options.clock.now();
    this.dependencies.tracker.applyReport(worker, report, sentAt, now);
    this.dependencies.onReport(worker);
  }

  answerMissing(worker: remoteWorker.RemoteWorker): void {
    this.dependencies.options.counters.count(
      'worker_silent',
      worker.entry.zone,
    );
  }

  replaced(worker: remoteWorker.RemoteWorker): void {
    if (this.started) this.endIncarnation(worker, 'otherLife');
  }

  termSuperseded(): void {
    if (this.started) this.dependencies.options.onSuperseded('worker');
  }

  private openSession(worker: remoteWorker.RemoteWorker): void {
    if (!this.started || this.sessions.has(worker)) return;
    const {options, leaseMs} = this.dependencies;
    const session = new workerSession.WorkerSession(
      worker,
      options.workerCalls,
      this,
      options.clock,
      options.term,
      leaseMs,
      milliseconds => options.pauses.pause(milliseconds),
    );
    this.sessions.set(worker, session);
    void session.run();
  }

  private reviewUnreachable(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const {options, tracker, earlierLeasesExpireAt} = this.dependencies;
    const emptied =
      worker.fenceAccepted && !worker.listed && worker.runCount === 0;
    if (emptied) {
      this.endIncarnation(worker, 'gone');
      return;
    }
    if (worker.lastLeaseExpiry() > now) return;
    if (worker.runCount > 0) {
      options.log.event('warn', 'leaseLapsed', {
        worker: worker.id,
        runs: worker.runCount,
      });
      tracker.endAll(worker, 'lapsed');
    }
    const neverReached = !worker.fenceAccepted && now < earlierLeasesExpireAt;
    if (!worker.listed && !neverReached) this.endIncarnation(worker, 'gone');
  }

  private endIncarnation(
    worker: remoteWorker.RemoteWorker,
    reason: EndReason,
  ): void {
    const {options, workers, trust, tracker, onEnded} = this.dependencies;
    this.sessions.get(worker)?.close();
    this.sessions.delete(worker);
    workers.remove(worker);
    trust.forget(worker);
    options.log.event('info', 'workerEnded', {
      worker: worker.id,
      reason,
      runs: worker.runCount,
    });
    tracker.endAll(worker, 'lost');
    onEnded(worker);
    // A successor would wait for the leases of a worker that it can't find.
    if (this.started) this.storedList.store();
  }
}
