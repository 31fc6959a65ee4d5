import * as workerRoll from './worker_roll.js';
import * as workerSession from '../machines/worker_session.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as earlierRuns from './earlier_runs.js';
import type * as jobJournal from './job_journal.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runTracker from './run_tracker.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as workerBook from './worker_book.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** What the lives of workers touch. */
export interface LivesParts {
  readonly options: schedulerOptions.SchedulerOptions;
  readonly workers: workerBook.WorkerBook;
  readonly index: assignmentIndex.AssignmentIndex;
  readonly journal: jobJournal.JournalWriter;
  readonly tracker: runTracker.RunTracker;
  readonly trust: workerReliability.WorkerReliability;
  readonly leaseMs: number;
  /** After this time no run of an earlier term that was not found is left. */
  readonly earlierRunsOverAt: clock.Milliseconds;
  readonly requestPass: () => void;
  /** A worker reported; what runs there is known. */
  readonly onReport: (worker: remoteWorker.RemoteWorker) => void;
  /** A life is over. */
  readonly onEnded: (worker: remoteWorker.RemoteWorker) => void;
}

/** Why a life of a worker counts as over. */
type EndReason = 'replaced' | 'otherLife' | 'gone';

/** Follows each worker from its first listing to its end. */
export class WorkerLives implements workerSession.SessionListener {
  private readonly sessions = new Map<
    remoteWorker.RemoteWorker,
    workerSession.WorkerSession
  >();
  private readonly roll: workerRoll.WorkerRoll;
  private started = false;

  constructor(private readonly parts: LivesParts) {
    const {workers, index, journal, requestPass} = parts;
    this.roll = new workerRoll.WorkerRoll(workers, index, journal, requestPass);
  }

  /**
   * Takes over the workers of earlier terms and begins to call all workers,
   * which makes sense only once the jobs are known.
   */
  start(
    stored: ReadonlyArray<jobJournal.KnownWorker>,
  ): ReadonlyArray<earlierRuns.EarlierWorker> {
    const {workers, options} = this.parts;
    const now = options.clock.now();
    const earlier = stored
      .filter(({entry}) => !workers.isReplaced(entry))
      .map(({entry, closedJobs}) => ({
        worker: workers.addKnown(entry, now),
        closedJobs,
      }));
    this.started = true;
    this.roll.inherit(earlier);
    for (const worker of workers.all()) this.follow(worker);
    this.roll.store();
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
    const {workers, options, requestPass} = this.parts;
    const {joined, replaced} = workers.apply(entries, options.clock.now());
    for (const worker of replaced) this.endLife(worker, 'replaced');
    for (const worker of joined) this.follow(worker);
    if (this.started && joined.length > 0) this.roll.store();
    requestPass();
  }

  /** Ends leases and lives that are over by now, and keeps the roll true. */
  review(now: clock.Milliseconds): void {
    for (const worker of this.parts.workers.all()) {
      if (worker.unreachable) this.reviewSilent(worker, now);
    }
    // Any change shows whether the store is back; this one does no harm.
    if (this.parts.journal.needsProbe) this.roll.store();
    this.roll.update();
  }

  mayExtendLeases(): boolean {
    return this.started && this.parts.options.mayExtend();
  }

  reportReceived(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void {
    if (!this.started) return;
    const now = this.parts.options.clock.now();
    this.parts.tracker.take(worker, report, sentAt, now);
    this.parts.onReport(worker);
  }

  answerMissing(worker: remoteWorker.RemoteWorker): void {
    this.parts.options.counters.count('worker_silent', worker.entry.zone);
  }

  replaced(worker: remoteWorker.RemoteWorker): void {
    if (this.started) this.endLife(worker, 'otherLife');
  }

  termSuperseded(): void {
    if (this.started) this.parts.options.onSuperseded('worker');
  }

  private follow(worker: remoteWorker.RemoteWorker): void {
    if (!this.started || this.sessions.has(worker)) return;
    const {options, leaseMs} = this.parts;
    const session = new workerSession.WorkerSession(
      worker,
      options.workers,
      this,
      options.clock,
      options.term,
      leaseMs,
      milliseconds => options.pauses.pause(milliseconds),
    );
    this.sessions.set(worker, session);
    void session.run();
  }

  private reviewSilent(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    const {options, tracker, earlierRunsOverAt} = this.parts;
    const emptied =
      worker.fenceAccepted && !worker.listed && worker.runCount === 0;
    if (emptied) {
      this.endLife(worker, 'gone');
      return;
    }
    if (worker.lastLeaseExpiry() > now) return;
    if (worker.runCount > 0) {
      options.log.event('warn', 'leaseLapsed', {
        worker: worker.id,
        runs: worker.runCount,
      });
      tracker.loseAll(worker, 'lapsed');
    }
    const neverReached = !worker.fenceAccepted && now < earlierRunsOverAt;
    if (!worker.listed && !neverReached) this.endLife(worker, 'gone');
  }

  private endLife(worker: remoteWorker.RemoteWorker, reason: EndReason): void {
    const {options, workers, trust, tracker, onEnded} = this.parts;
    this.sessions.get(worker)?.close();
    this.sessions.delete(worker);
    workers.remove(worker);
    trust.forget(worker);
    options.log.event('info', 'workerEnded', {
      worker: worker.id,
      reason,
      runs: worker.runCount,
    });
    tracker.loseAll(worker, 'lost');
    onEnded(worker);
    // A successor would wait for the leases of a worker that it can't find.
    if (this.started) this.roll.store();
  }
}
