import * as adviceCache from './advice_cache.js';
import * as assignmentIndex from './assignment_index.js';
import * as dispatcher from './dispatcher.js';
import * as runRecovery from './run_recovery.js';
import * as earlierLeases from './earlier_leases.js';
import * as earlierServiceRuns from './earlier_service_runs.js';
import * as evacuator from './evacuator.js';
import * as jobTable from './job_table.js';
import * as jobJournal from './job_journal.js';
import * as jobLifecycle from './job_lifecycle.js';
import * as openSteps from './open_steps.js';
import * as idleCapacityThrottle from './idle_capacity_throttle.js';
import * as placementPassRunner from './placement_pass_runner.js';
import * as queueTable from './queue_table.js';
import * as rejectedRecords from './rejected_records.js';
import * as recoveryReporter from './recovery_reporter.js';
import * as quotaLedger from './quota_ledger.js';
import * as roomForecast from './room_forecast.js';
import * as runTracker from './run_tracker.js';
import * as turnSlicer from './turn_slicer.js';
import * as startForecast from './start_forecast.js';
import * as startReporter from './start_reporter.js';
import * as startShares from './start_shares.js';
import * as runMonitor from './run_monitor.js';
import * as runReplacer from './run_replacer.js';
import * as runtimeModel from './runtime_model.js';
import * as jobAdmission from './job_admission.js';
import * as takeoverTimeline from './takeover_timeline.js';
import * as unansweredStartRecords from './unanswered_start_records.js';
import * as workerTable from './worker_table.js';
import * as workerLifecycle from './worker_lifecycle.js';
import * as workerReliability from '../machines/worker_reliability.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';
import type * as witness from '../machines/witness.js';
import type * as workerClient from '../machines/worker_client.js';

/** Cost of restoring a job, in units of a slice's budget. */
const RESTORE_UNITS = 25;

/** Cost of opening a job's steps, in units of a slice's budget. */
const BEGIN_UNITS = 10;

/** Pause between attempts to open and read the journal. */
const JOURNAL_RETRY_DELAY_MS = 100;

/** Outcome of a cancellation. */
export type CancelOutcome = 'cancelled' | 'unknown';

/**
 * Schedules all jobs of the cell for one term: accepts jobs, places their tasks
 * on workers, tracks the runs and stores progress in the journal. A term ends
 * when a later one begins; the object must not be used after that.
 */
export class JobScheduler implements dispatcher.DispatchListener {
  private readonly journal: jobJournal.JobJournal;
  private readonly jobTable: jobTable.JobTable;
  private readonly workers = new workerTable.WorkerTable();
  private readonly queues: queueTable.QueueTable;
  private readonly openSteps = new openSteps.OpenSteps();
  private readonly quotaLedger = new quotaLedger.QuotaLedger(
    name => this.runRecovery?.unknownRunsOf(name) ?? resources.NONE,
  );
  private readonly assignmentIndex = new assignmentIndex.AssignmentIndex(
    this.quotaLedger,
  );
  private readonly runReplacer: runReplacer.RunReplacer;
  private readonly reliability = new workerReliability.WorkerReliability();
  private readonly adviceCache: adviceCache.AdviceCache;
  private readonly startShares = new startShares.StartShares();
  private readonly startForecast: startForecast.StartForecast;
  private readonly dispatcher: dispatcher.Dispatcher;
  private readonly tracker: runTracker.RunTracker;
  private readonly jobLifecycle: jobLifecycle.JobLifecycle;
  private readonly admission: jobAdmission.JobAdmission;
  private readonly workerLifecycle: workerLifecycle.WorkerLifecycle;
  private readonly placementPassRunner: placementPassRunner.PlacementPassRunner;
  private readonly evacuator: evacuator.Evacuator;
  private readonly idleCapacityThrottle: idleCapacityThrottle.IdleCapacityThrottle;
  private readonly slicer: turnSlicer.TurnSlicer;
  private readonly takeoverTimeline: takeoverTimeline.TakeoverTimeline;
  private readonly recordsWithUnansweredStarts: unansweredStartRecords.UnansweredStartRecords;
  private runRecovery: runRecovery.RunRecovery | undefined;
  private earlierServiceRuns: earlierServiceRuns.EarlierServiceRuns | undefined;
  private readonly startReporter: startReporter.StartReporter;
  private readonly recoveryReporter: recoveryReporter.RecoveryReporter;
  private readonly earlierLeases: earlierLeases.EarlierLeases;
  private active = true;
  private serving = false;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    const {clock, term, timer} = options;
    const {assignmentIndex, reliability, workers} = this;
    const requestPlacementPass = (): void => this.requestPlacementPass();
    const runtimes = new runtimeModel.RuntimeModel();
    this.earlierLeases = new earlierLeases.EarlierLeases(
      clock,
      clock.now(),
      options.earlierTerms,
      options.wallClock,
    );
    this.recoveryReporter = new recoveryReporter.RecoveryReporter(options);
    this.slicer = new turnSlicer.TurnSlicer(
      clock,
      options.defer,
      () => this.active,
    );
    this.takeoverTimeline = new takeoverTimeline.TakeoverTimeline(options);
    this.journal = new jobJournal.JobJournal(
      options.journalStore,
      term,
      clock,
      timer,
      () => options.onSuperseded('journal'),
      (...record) => rejectedRecords.reportRejected(options, ...record),
    );
    const queues = new queueTable.QueueTable(this.journal);
    this.queues = queues;
    this.jobTable = new jobTable.JobTable(
      this.journal,
      clock,
      options.wallClock,
      record => this.jobLifecycle.settle(record, 'failed'),
    );
    this.recordsWithUnansweredStarts =
      new unansweredStartRecords.UnansweredStartRecords(this.jobTable);
    this.adviceCache = new adviceCache.AdviceCache(
      options.adviceClient,
      clock,
      requestPlacementPass,
    );
    const predictMs = (step: stepInstance.StepInstance): number =>
      this.placementPassRunner.predictMs(step);
    this.startForecast = new startForecast.StartForecast({
      jobTable: this.jobTable,
      queues,
      unconsideredSteps: () => this.placementPassRunner.unconsideredSteps(),
      predict: predictMs,
      processorsOf: service => this.placementPassRunner.processorsOf(service),
      sliceCount: () => this.placementPassRunner.slices,
    });
    this.startReporter = new startReporter.StartReporter(
      options,
      queues,
      this.startShares,
      this.startForecast,
    );
    const monitor = new runMonitor.RunMonitor(options);
    this.dispatcher = new dispatcher.Dispatcher(
      options.workerClient,
      assignmentIndex,
      clock,
      term,
      earlierLeases.LEASE_DURATION_MS,
      () => this.active && options.mayGrantLeases(),
      options.loopMeter,
      monitor,
      this,
    );
    this.jobLifecycle = new jobLifecycle.JobLifecycle({
      options,
      jobTable: this.jobTable,
      queues,
      openSteps: this.openSteps,
      adviceCache: this.adviceCache,
      dispatcher: this.dispatcher,
      reliability,
      runtimeModel: runtimes,
      startShares: this.startShares,
      requestPlacementPass,
      directStarter: () => this.placementPassRunner,
    });
    this.tracker = new runTracker.RunTracker(
      this.jobTable,
      assignmentIndex,
      this.dispatcher,
      monitor,
      this.jobLifecycle,
    );
    this.admission = new jobAdmission.JobAdmission(
      options,
      this.journal,
      this.jobTable,
      queues,
      new roomForecast.RoomForecast({
        jobTable: this.jobTable,
        queues,
        workers,
        predict: predictMs,
        remainingQuota: step => this.quotaLedger.remainingTasks(step),
      }),
      this.startForecast,
      this.startShares,
      record => this.jobLifecycle.begin(record),
    );
    this.workerLifecycle = new workerLifecycle.WorkerLifecycle({
      options,
      workers,
      assignmentIndex,
      journal: this.journal,
      tracker: this.tracker,
      reliability,
      leaseMs: earlierLeases.LEASE_DURATION_MS,
      earlierLeases: this.earlierLeases,
      requestPlacementPass,
      isKnownService: service => queues.usesService(service),
      onReport: worker => this.workerReported(worker),
      onEnded: (worker, nextIncarnation) =>
        this.runRecovery?.workerEnded(worker, nextIncarnation),
    });
    this.placementPassRunner = new placementPassRunner.PlacementPassRunner({
      options,
      workers,
      assignmentIndex,
      quotaLedger: this.quotaLedger,
      adviceCache: this.adviceCache,
      reliability,
      dispatcher: this.dispatcher,
      queues,
      openSteps: this.openSteps,
      runtimeModel: runtimes,
      startShares: this.startShares,
      startForecast: this.startForecast,
      isBlocked: step => this.runRecovery?.blocks(step) === true,
      mayStart: () =>
        this.isServing &&
        options.mayGrantLeases() &&
        options.isConfigurationUsable(),
    });
    this.evacuator = new evacuator.Evacuator(
      workers,
      assignmentIndex,
      this.placementPassRunner,
    );
    this.runReplacer = new runReplacer.RunReplacer(
      options,
      assignmentIndex,
      reliability,
      this.dispatcher,
    );
    this.idleCapacityThrottle = new idleCapacityThrottle.IdleCapacityThrottle(
      assignmentIndex,
      this.dispatcher,
    );
  }

  /** Whether the journal is loaded, so that jobs can be served. */
  get isServing(): boolean {
    return this.serving && this.active;
  }

  /** Whether no leader of an earlier term may act any more. */
  get earlierLeadersEnded(): boolean {
    return this.earlierLeases.permissionsHaveEnded;
  }

  /** The workers, as witnesses of this term. */
  get witnessSource(): witness.WitnessSource {
    return this.workers;
  }

  /** Position of this term's claim in the cell's log. */
  get term(): number {
    return this.options.term;
  }

  /** Rises while the takeover makes progress. */
  get takeoverStep(): number {
    return this.takeoverTimeline.progressCount;
  }

  /** Returns how long the store has not answered; 0 if no call is pending. */
  storeUnansweredMs(now: clock.Milliseconds): number {
    return this.journal.unansweredMs(now);
  }

  /** Takes over from earlier terms; resolves to true once jobs are served. */
  async begin(): Promise<boolean> {
    const {options} = this;
    while (this.active) {
      const opened = await options.journalStore.open(options.term);
      if (opened === 'superseded') {
        options.onSuperseded('journal');
        return false;
      }
      if (opened === 'stored') this.takeoverTimeline.complete('journalOpened');
      const content =
        opened === 'stored' ? await this.loadJournal() : undefined;
      if (content !== undefined && this.active) {
        this.takeoverTimeline.complete('journalRead', {...content.size});
        await this.takeOver(content);
        return this.active;
      }
      await options.timer.delay(JOURNAL_RETRY_DELAY_MS);
    }
    return false;
  }

  private loadJournal(): Promise<jobJournal.JournalContent | undefined> {
    this.takeoverTimeline.beginRead();
    return this.options.journalStore.load(byteCount =>
      this.takeoverTimeline.recordPart(byteCount),
    );
  }

  /** Ends the term: sends no more commands and stores no more changes. */
  retire(): void {
    this.active = false;
    this.journal.close();
    this.workerLifecycle.stop();
  }

  /** Applies a configuration if it is newer. */
  configure(configuration: job.OperatorConfiguration): void {
    if (!this.queues.update(configuration)) return;
    this.quotaLedger.configure(configuration);
    this.workerLifecycle.reviewServices();
    this.requestPlacementPass();
  }

  /** Applies the registry's current list of workers. */
  updateWorkers(entries: ReadonlyArray<remoteWorker.RegistryEntry>): void {
    this.workerLifecycle.update(entries);
  }

  /** Returns whether a job was submitted before, accepted yet or not. */
  knows(id: string): boolean {
    return this.jobTable.get(id) !== undefined;
  }

  /** Records that the registry stops answering, or answers again. */
  setRegistryAvailable(isAvailable: boolean): void {
    this.workerLifecycle.setRegistryAvailable(isAvailable);
  }

  /** Submits a job; see `JobAdmission.submit`. */
  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    answer: jobAdmission.SubmitListener,
  ): boolean {
    return this.options.loopMeter.measure('admission', () =>
      this.admission.submit(definition, configurationVersion, answer),
    );
  }

  /** Whether jobs are refused because this process is overloaded. */
  get overloaded(): boolean {
    return this.admission.overloaded;
  }

  /** Refuses those of the jobs that are new and not admitted at present. */
  screen(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): ReadonlyArray<jobAdmission.ScreeningOutcome> {
    return this.admission.screen(jobs);
  }

  /** Cancels a job; `answer` is called once the cancellation is stored. */
  cancel(
    queue: string,
    id: string,
    answer: (outcome: CancelOutcome) => void,
  ): void {
    const record = this.findRecord(queue, id);
    if (record === undefined) {
      answer('unknown');
      return;
    }
    if (record.storedOutcome !== 'open') {
      answer('cancelled');
      return;
    }
    if (record.outcome === 'open') {
      this.jobLifecycle.settle(record, 'cancelled');
    }
    this.jobTable.store(record, () => answer('cancelled'));
  }

  /** Returns a job's state as reported to callers; undefined if unknown. */
  stateOf(queue: string, id: string): job.JobState | undefined {
    return this.findRecord(queue, id)?.state;
  }

  /** Counts accepted jobs of a queue of which no task has started. */
  countPending(queue: string): number {
    return this.jobTable.countPending(this.queues.nameOf(queue));
  }

  /** Runs the periodic work; called several times a second. */
  tick(): void {
    if (!this.isServing) return;
    const now = this.options.clock.now();
    const {loopMeter, retentionTimes} = this.options;
    this.dispatcher.retryCommands();
    loopMeter.measure('workerReview', () => this.workerLifecycle.review(now));
    this.jobLifecycle.openDueOccurrences();
    this.jobLifecycle.reviewRestarts(now);
    this.jobTable.dropSettled(now, retentionTimes.stateKeptMs);
    loopMeter.measure('forecast', () => this.admission.review(now));
    loopMeter.measure('runReview', () => this.runReplacer.review(now));
    loopMeter.measure('advice', () =>
      this.placementPassRunner.prefetchAdvice(now),
    );
    loopMeter.measure('evacuation', () => this.evacuator.review(now));
    this.recordsWithUnansweredStarts.expire(now);
    this.unblockRecoveredJobs();
    this.recoveryReporter.review(now, this.runRecovery);
    this.startReporter.review(now);
    this.placementPassRunner.reportWaiting(now);
    this.requestPlacementPass();
  }

  // Implementation of `DispatchListener`.

  workerReplaced(worker: remoteWorker.RemoteWorker): void {
    this.workerLifecycle.workerReplaced(worker);
  }

  termSuperseded(worker: remoteWorker.RemoteWorker): void {
    this.workerLifecycle.termSuperseded(worker);
  }

  startRejected(
    assignment: jobTask.Assignment,
    reason: workerClient.RejectionReason,
  ): void {
    if (!this.active) return;
    const {worker, jobTask: task} = assignment;
    this.options.counters.count('starts_rejected', reason);
    this.options.log.event('warn', 'startRejected', {
      task: assignment.task,
      run: assignment.run,
      worker: worker.id,
      why: reason,
    });
    this.tracker.release(assignment, this.options.clock.now());
    if (reason === 'ticket') this.adviceCache.dropTicket(task.step, worker);
    else this.reliability.recordRejection(worker, this.options.clock.now());
    this.requestPlacementPass();
  }

  startUnanswered({jobTask: task, worker}: jobTask.Assignment): void {
    if (!this.active) return;
    const {jobRecord: record} = task.step;
    const isNew = record.unansweredStarts.add(task, worker.id);
    const reason = isNew ? 'recorded' : 'alreadyRecorded';
    this.options.counters.count('starts_unanswered', reason);
    // The next term must know it, because it may acknowledge the task's end.
    if (!isNew) return;
    this.recordsWithUnansweredStarts.add(record);
    this.jobTable.store(record);
  }

  storePlacement(
    {jobTask: task}: jobTask.Assignment,
    onStored: () => void,
  ): void {
    this.jobTable.store(task.step.jobRecord, onStored);
  }

  startConfirmed(assignment: jobTask.Assignment): void {
    assignment.jobTask.step.jobRecord.started = true;
    this.options.counters.count('starts', 'confirmed');
  }

  private workerReported(worker: remoteWorker.RemoteWorker): void {
    this.takeoverTimeline.complete('firstReport');
    this.idleCapacityThrottle.review(worker, this.options.clock.now());
    this.unblockRecoveredJobs();
  }

  private findRecord(
    queue: string,
    id: string,
  ): jobRecord.JobRecord | undefined {
    const record = this.jobTable.get(id);
    if (record === undefined) return undefined;
    const isOfQueue = this.queues.areSame(record.definition.queue, queue);
    return isOfQueue ? record : undefined;
  }

  private requestPlacementPass(): void {
    if (this.isServing) this.placementPassRunner.request();
  }

  /**
   * Takes over the jobs and workers of earlier terms, in slices, so that peers
   * and callers are answered meanwhile. Jobs are served once all are restored.
   */
  private async takeOver(content: jobJournal.JournalContent): Promise<void> {
    const openRecords: jobRecord.JobRecord[] = [];
    await this.slicer.forEach(content.jobs, RESTORE_UNITS, stored => {
      const record = this.jobTable.restore(stored);
      if (record.outcome === 'open') openRecords.push(record);
      if (!record.unansweredStarts.isEmpty) {
        this.recordsWithUnansweredStarts.add(record);
      }
    });
    if (!this.active) return;
    this.queues.restore(content.queues, jobJournal.queueNamesOf(content));
    this.runRecovery = new runRecovery.RunRecovery(
      new Set(openRecords),
      this.workerLifecycle.start(content.workers, lateWorkersOf(content)),
      this.earlierLeases,
    );
    const serviceRuns = new earlierServiceRuns.EarlierServiceRuns(
      this.runRecovery,
    );
    this.earlierServiceRuns = serviceRuns;
    const now = this.options.clock.now();
    // Before the first report, which may release other tasks of these jobs.
    for (const record of this.recordsWithUnansweredStarts) {
      const {unansweredStarts} = record;
      unansweredStarts.resolveInherited(id => this.workers.get(id), now);
      this.tracker.holdRestarts(record, now);
    }
    this.serving = true;
    this.options.log.event('info', 'termBegun', {
      term: this.options.term,
      jobs: content.jobs.length,
      open: openRecords.length,
      workers: content.workers.length,
    });
    await this.workerLifecycle.openSessions(this.slicer);
    await this.slicer.forEach(openRecords, BEGIN_UNITS, record => {
      serviceRuns.hold(record);
      this.jobLifecycle.begin(record);
    });
    this.unblockRecoveredJobs();
  }

  /** Unblocks jobs whose runs of earlier terms are all known. */
  private unblockRecoveredJobs(): void {
    const {runRecovery: recovery} = this;
    if (!this.active || recovery === undefined) return;
    const unblocked = recovery.unblockJobs(this.options.clock.now());
    if (this.earlierServiceRuns?.review()) this.requestPlacementPass();
    if (recovery.complete) this.takeoverTimeline.complete('earlierRunsKnown');
    if (!unblocked) return;
    this.options.log.event('info', 'earlierRunsKnown', {
      term: this.options.term,
      missingWorkers: recovery.unreportedWorkerCount,
      settled: recovery.complete,
    });
    this.requestPlacementPass();
  }
}

/** Returns the ids of the workers at which earlier terms left open starts. */
function lateWorkersOf({jobs}: jobJournal.JournalContent): ReadonlySet<string> {
  return new Set(
    jobs
      .flatMap(({progress}) => progress?.unansweredStarts ?? [])
      .flatMap(({workers}) => workers),
  );
}
