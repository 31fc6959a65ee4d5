import * as sentStarts from './sent_starts.js';
import * as lineLimiter from './line_limiter.js';
import * as storedWorkerList from './stored_worker_list.js';
import * as workerSession from '../machines/worker_session.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as runRecovery from './run_recovery.js';
import type * as earlierLeases from './earlier_leases.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runTracker from './run_tracker.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as turnSlicer from './turn_slicer.js';
import type * as workerTable from './worker_table.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Cost of opening a session, in units of a slice's budget. */
const SESSION_UNITS = 200;

/** Most `workerUnlisted` lines in one second. */
const MAXIMUM_UNLISTED_LINES_PER_SECOND = 20;

/** Dependencies of a `WorkerLifecycle`. */
export interface WorkerLifecycleDependencies {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly workers: workerTable.WorkerTable;
  readonly assignmentIndex: assignmentIndex.AssignmentIndex;
  readonly journal: jobJournal.JobJournal;
  readonly tracker: runTracker.RunTracker;
  readonly reliability: workerReliability.WorkerReliability;
  readonly leaseMs: number;
  readonly earlierLeases: earlierLeases.EarlierLeases;
  readonly requestPlacementPass: () => void;
  /** Returns whether a queue uses a service; true while none is known. */
  readonly isKnownService: (service: string) => boolean;
  /** Called after a worker's report was applied. */
  readonly onReport: (worker: remoteWorker.RemoteWorker) => void;
  /** Called after a worker incarnation has ended. */
  readonly onEnded: (
    worker: remoteWorker.RemoteWorker,
    nextIncarnation: remoteWorker.RemoteWorker | undefined,
  ) => void;
}

/** Why a worker incarnation ended. */
type EndReason = 'replaced' | 'otherLife' | 'gone';

/** Tracks each worker incarnation from its first listing to its end. */
export class WorkerLifecycle implements workerSession.SessionListener {
  private readonly sessions = new Map<
    remoteWorker.RemoteWorker,
    workerSession.WorkerSession
  >();
  private readonly storedList: storedWorkerList.StoredWorkerList;
  private readonly unlistedLines: lineLimiter.LineLimiter;
  /** Workers whose kept runs were logged. */
  private readonly loggedKeptRuns = new WeakSet<remoteWorker.RemoteWorker>();
  /** The registry's last list. */
  private lastEntries: ReadonlyArray<remoteWorker.RegistryEntry> = [];
  /** Ids of entries that name no worker, as no queue uses their services. */
  private readonly ignoredIds = new Set<string>();
  /** Ids of the workers that earlier terms have stored. */
  private readonly inheritedIds = new Set<string>();
  private sessionsOpen = false;
  /** Whether the registry answers, so that its list is the present one. */
  private registryAvailable = false;

  constructor(private readonly dependencies: WorkerLifecycleDependencies) {
    const {options, workers, assignmentIndex, journal, requestPlacementPass} =
      dependencies;
    this.unlistedLines = new lineLimiter.LineLimiter(
      options.clock,
      MAXIMUM_UNLISTED_LINES_PER_SECOND,
    );
    this.storedList = new storedWorkerList.StoredWorkerList(
      workers,
      assignmentIndex,
      journal,
      options.clock,
      requestPlacementPass,
    );
  }

  /**
   * Takes over the workers of earlier terms. The jobs must be loaded, because
   * the reports of all sessions that open from now on are applied to them.
   * `lateWorkers` are those at which starts of earlier terms may arrive late.
   */
  start(
    stored: ReadonlyArray<jobJournal.StoredWorker>,
    lateWorkers: ReadonlySet<string>,
  ): ReadonlyArray<runRecovery.InheritedWorker> {
    const {workers, options} = this.dependencies;
    for (const {entry} of stored) this.inheritedIds.add(entry.id);
    this.reviewServices();
    const now = options.clock.now();
    const inherited = stored
      .filter(({entry}) => !workers.isReplaced(entry))
      .map(worker => ({
        worker: workers.addInherited(worker, now),
        closedJobs: worker.closedJobs,
        listsServices: worker.listsServices === true,
      }));
    for (const id of lateWorkers) {
      const worker = workers.get(id);
      if (worker !== undefined) sentStarts.inheritLateStart(worker, now);
    }
    this.sessionsOpen = true;
    this.storedList.inherit(
      inherited,
      stored.map(({entry}) => entry.id),
    );
    return inherited;
  }

  /** Opens sessions with all workers, over several turns. */
  openSessions(slicer: turnSlicer.TurnSlicer): Promise<void> {
    const {workers} = this.dependencies;
    return slicer.forEach(workers.all(), SESSION_UNITS, worker => {
      // The incarnation may have ended since the first turn.
      if (workers.get(worker.id) === worker) this.openSession(worker);
    });
  }

  /** Closes all sessions. */
  stop(): void {
    this.sessionsOpen = false;
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  /** Applies the registry's current list. */
  update(entries: ReadonlyArray<remoteWorker.RegistryEntry>): void {
    this.registryAvailable = true;
    this.lastEntries = entries;
    this.applyList(entries);
  }

  /** Applies the last list again if it names workers of services now known. */
  reviewServices(): void {
    const namesMore = this.lastEntries.some(
      entry => this.ignoredIds.has(entry.id) && this.isOfCell(entry),
    );
    if (namesMore) this.applyList(this.lastEntries);
  }

  private applyList(listed: ReadonlyArray<remoteWorker.RegistryEntry>): void {
    const {workers, options, requestPlacementPass} = this.dependencies;
    const entries = listed.filter(entry => this.namesWorker(entry));
    const now = options.clock.now();
    const changes = workers.applyRegistryList(entries, now);
    const {joined, replaced, claimed, unlisted} = changes;
    for (const worker of unlisted) this.logUnlisted(worker);
    for (const {worker, nextIncarnation} of replaced) {
      this.endIncarnation(worker, 'replaced', nextIncarnation);
    }
    for (const worker of claimed) {
      worker.machineClaimedAt = now;
      this.reviewClaim(worker);
    }
    for (const worker of joined) {
      this.openSession(worker);
      if (this.sessionsOpen) this.storedList.store(worker.id);
    }
    requestPlacementPass();
  }

  /**
   * Records that the registry stops answering, or answers again. Entries that
   * it dropped meanwhile may only be on their way back.
   */
  setRegistryAvailable(isAvailable: boolean): void {
    const {workers, options} = this.dependencies;
    this.registryAvailable = isAvailable;
    if (!isAvailable) return;
    for (const worker of workers.all()) {
      if (!worker.listed) worker.recordMissing(options.clock.now());
    }
  }

  /** Handles expired leases, and updates the stored list of workers. */
  review(now: clock.Milliseconds): void {
    const {earlierTerms} = this.dependencies.options;
    for (const worker of this.dependencies.workers.all()) {
      if (this.registryAvailable) {
        worker.confirmMissing(earlierTerms.provedLeaderAt());
      }
      if (worker.unreachable) this.reviewUnreachable(worker, now);
    }
    this.dependencies.tracker.reviewLateStarts(now);
    if (this.dependencies.journal.needsProbe) this.storedList.probe();
    this.storedList.update();
  }

  mayGrantLeases(): boolean {
    return this.sessionsOpen && this.dependencies.options.mayGrantLeases();
  }

  reportReceived(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void {
    if (!this.sessionsOpen) return;
    const {options, tracker, onReport} = this.dependencies;
    this.refuteClaim(worker, sentAt);
    if (!report.hasMoreEnds) worker.allEndsReported = true;
    options.loopMeter.measure('reports', () => {
      tracker.applyReport(worker, report, sentAt, options.clock.now());
      onReport(worker);
    });
  }

  answerMissing(worker: remoteWorker.RemoteWorker): void {
    this.dependencies.options.counters.count(
      'worker_silent',
      worker.entry.zone,
    );
    this.reviewClaim(worker);
  }

  renewalWithdrawn(): void {
    this.dependencies.options.counters.count('renewals_withdrawn', 'noProof');
  }

  workerReplaced(worker: remoteWorker.RemoteWorker, born?: number): void {
    if (!this.sessionsOpen) return;
    if (born === undefined) {
      this.endIncarnation(worker, 'otherLife');
      return;
    }
    const {workers, options} = this.dependencies;
    const nextIncarnation = workers.addNextIncarnation(
      worker,
      born,
      options.clock.now(),
    );
    this.endIncarnation(worker, 'otherLife', nextIncarnation);
    this.openSession(nextIncarnation);
  }

  /**
   * A worker has seen a higher fencing token: that of a later term, unless this
   * term knows a later incarnation, whose own token it may be.
   */
  termSuperseded(worker: remoteWorker.RemoteWorker): void {
    if (this.dependencies.workers.get(worker.id) !== worker) return;
    if (this.sessionsOpen) this.dependencies.options.onSuperseded('worker');
  }

  private openSession(worker: remoteWorker.RemoteWorker): void {
    if (!this.sessionsOpen || this.sessions.has(worker)) return;
    const {options, leaseMs} = this.dependencies;
    const session = new workerSession.WorkerSession(
      worker,
      options.workerClient,
      this,
      options.clock,
      options.term,
      leaseMs,
      milliseconds => options.timer.delay(milliseconds),
    );
    this.sessions.set(worker, session);
    void session.run();
  }

  private reviewUnreachable(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const {options, tracker, earlierLeases} = this.dependencies;
    // Until then a start may arrive late at a next incarnation, which is to be
    // called as soon as it answers.
    const awaitsReturn = worker.departed
      ? now < worker.lateStartsUntil
      : worker.hasLateStarts;
    const hasLeft = !worker.listed && !awaitsReturn;
    const isEmptied =
      worker.fencingTokenAccepted && hasLeft && worker.runCount === 0;
    if (isEmptied) {
      this.endIncarnation(worker, 'gone');
      return;
    }
    const expiry = worker.lastLeaseExpiry();
    if (expiry > now) return;
    // A later term that reaches the worker may have extended its leases.
    if (options.earlierTerms.provedLeaderAt() < expiry) return;
    const lapsedCount = tracker.endLapsed(worker, now);
    if (lapsedCount > 0) {
      options.log.event('warn', 'leaseLapsed', {
        worker: worker.id,
        runs: lapsedCount,
      });
    }
    if (worker.runCount > 0) {
      this.logKeptRuns(worker, now);
      return;
    }
    const neverReached =
      !worker.fencingTokenAccepted && !earlierLeases.haveExpiredOn(worker);
    if (hasLeft && !neverReached) this.endIncarnation(worker, 'gone');
  }

  /** Returns whether an entry names a worker; logs one that does not. */
  private namesWorker(entry: remoteWorker.RegistryEntry): boolean {
    const {id, service, machine} = entry;
    const {options} = this.dependencies;
    if (this.isOfCell(entry)) {
      this.ignoredIds.delete(id);
      return true;
    }
    if (this.ignoredIds.has(id)) return false;
    this.ignoredIds.add(id);
    options.counters.count('registry_entries_ignored', 'unknownService');
    options.log.event('info', 'workerEntryIgnored', {
      worker: id,
      service,
      machine,
    });
    return false;
  }

  /**
   * Returns whether an entry is that of a worker which is known, or of a service
   * that a queue uses. Others may be those of another system.
   */
  private isOfCell({id, service}: remoteWorker.RegistryEntry): boolean {
    const {workers, isKnownService} = this.dependencies;
    const isKnown = this.inheritedIds.has(id) || workers.get(id) !== undefined;
    return isKnown || isKnownService(service);
  }

  /**
   * Ends a worker on whose machine the registry names a later one, once it is not
   * listed any more or does not answer. Another writer may have left that entry,
   * so that the worker's own answers count for more.
   */
  private reviewClaim(worker: remoteWorker.RemoteWorker): void {
    const {machineClaimedAt, listed, unreachable} = worker;
    if (machineClaimedAt === undefined || (listed && !unreachable)) return;
    if (this.dependencies.workers.get(worker.id) !== worker) return;
    this.endIncarnation(worker, 'replaced');
  }

  /** Drops the claim on a worker's machine if it has answered a later call. */
  private refuteClaim(
    worker: remoteWorker.RemoteWorker,
    sentAt: clock.Milliseconds,
  ): void {
    const {machineClaimedAt = Infinity} = worker;
    if (sentAt <= machineClaimedAt) return;
    worker.machineClaimedAt = undefined;
    const {counters, log} = this.dependencies.options;
    counters.count('machine_claims', 'refuted');
    log.event('warn', 'machineClaimRefuted', {
      worker: worker.id,
      machine: worker.entry.machine,
    });
  }

  private logUnlisted(worker: remoteWorker.RemoteWorker): void {
    const {options} = this.dependencies;
    const now = options.clock.now();
    this.unlistedLines.tryWrite(omitted =>
      options.log.event('info', 'workerUnlisted', {
        worker: worker.id,
        runs: worker.runCount,
        sinceAnswerMs: Math.round(now - worker.lastAnswerAt),
        omitted,
      }),
    );
  }

  /** Logs once that runs outlast their lease, because starts may arrive late. */
  private logKeptRuns(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    if (this.loggedKeptRuns.has(worker)) return;
    this.loggedKeptRuns.add(worker);
    this.dependencies.options.log.event('warn', 'runsKept', {
      worker: worker.id,
      runs: worker.runCount,
      listed: worker.listed,
      sinceAnswerMs: Math.round(now - worker.lastAnswerAt),
    });
  }

  private endIncarnation(
    worker: remoteWorker.RemoteWorker,
    reason: EndReason,
    nextIncarnation?: remoteWorker.RemoteWorker,
  ): void {
    const {options, workers, reliability, tracker, onEnded} = this.dependencies;
    this.sessions.get(worker)?.close();
    this.sessions.delete(worker);
    workers.remove(worker);
    worker.idHasEnded = nextIncarnation === undefined && reason !== 'gone';
    reliability.forget(worker);
    options.log.event('info', 'workerEnded', {
      worker: worker.id,
      reason,
      runs: worker.runCount,
    });
    if (nextIncarnation !== undefined) {
      tracker.moveToNextIncarnation(
        worker,
        nextIncarnation,
        options.clock.now(),
      );
    }
    tracker.endLost(worker, options.clock.now());
    onEnded(worker, nextIncarnation);
    // Otherwise the next scheduler would wait for this worker's leases.
    if (this.sessionsOpen) this.storedList.removeEnded(worker);
  }
}
