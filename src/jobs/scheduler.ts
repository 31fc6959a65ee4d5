import * as adviceBook from './advice_book.js';
import * as assignmentIndex from './assignment_index.js';
import * as dispatcher from './dispatcher.js';
import * as earlierRuns from './earlier_runs.js';
import * as evacuation from './evacuation.js';
import * as jobBook from './job_book.js';
import * as jobJournal from './job_journal.js';
import * as jobLifecycle from './job_lifecycle.js';
import * as openSteps from './open_steps.js';
import * as pacing from './pacing.js';
import * as placementPass from './placement_pass.js';
import * as queueTable from './queue_table.js';
import * as runTracker from './run_tracker.js';
import * as runWatch from './run_watch.js';
import * as runtimeModel from './runtime_model.js';
import * as submissions from './submissions.js';
import * as workerBook from './worker_book.js';
import * as workerLives from './worker_lives.js';
import * as workerReliability from '../machines/worker_reliability.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as jobRecord from './job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as task from './task.js';
import type * as workerClient from '../machines/worker_client.js';

/** Length of the leases that this scheduler grants. */
export const LEASE_MS = 5_000;

/**
 * How long an earlier scheduler may go on granting leases after it lost touch
 * with the cell; see `SchedulerOptions.mayExtend`.
 */
export const PROOF_LIFETIME_MS = 2_000;

/** After this time no run of an earlier term that was not found is left. */
const EARLIER_RUNS_OVER_MS = PROOF_LIFETIME_MS + LEASE_MS * 1.03 + 300;

/** Pause between attempts to open and read the journal. */
const JOURNAL_RETRY_MS = 100;

/** What became of a cancellation. */
export type CancelOutcome = 'cancelled' | 'unknown';

/**
 * Schedules all jobs of the cell for one term: accepts them, gives their tasks
 * workers, follows the runs to their ends and stores what must last. A term
 * ends when a later one begins; the object is then of no use any more.
 */
export class Scheduler implements dispatcher.DispatchListener {
  private readonly journal: jobJournal.JournalWriter;
  private readonly book: jobBook.JobBook;
  private readonly queues = new queueTable.QueueTable();
  private readonly openSteps = new openSteps.OpenSteps();
  private readonly index = new assignmentIndex.AssignmentIndex();
  private readonly trust = new workerReliability.WorkerReliability();
  private readonly advice: adviceBook.AdviceBook;
  private readonly orders: dispatcher.Dispatcher;
  private readonly tracker: runTracker.RunTracker;
  private readonly jobs: jobLifecycle.JobLifecycle;
  private readonly submissions: submissions.Submissions;
  private readonly lives: workerLives.WorkerLives;
  private readonly passes: placementPass.PlacementPass;
  private readonly evacuation: evacuation.Evacuation;
  private readonly pacing: pacing.Pacing;
  private earlier: earlierRuns.EarlierRuns | undefined;
  private readonly earlierRunsOverAt: clock.Milliseconds;
  private active = true;
  private serving = false;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    const {clock, term, pauses} = options;
    const {queues, index, trust} = this;
    const requestPass = (): void => this.requestPass();
    const workers = new workerBook.WorkerBook();
    const runtimes = new runtimeModel.RuntimeModel();
    this.earlierRunsOverAt = clock.now() + EARLIER_RUNS_OVER_MS;
    this.journal = new jobJournal.JournalWriter(
      options.journal,
      term,
      clock,
      pauses,
      () => options.onSuperseded('journal'),
    );
    this.book = new jobBook.JobBook(this.journal, clock);
    this.advice = new adviceBook.AdviceBook(options.advice, clock, requestPass);
    this.orders = new dispatcher.Dispatcher(
      options.workers,
      index,
      clock,
      term,
      LEASE_MS,
      () => this.active && options.mayExtend(),
      this,
    );
    this.jobs = new jobLifecycle.JobLifecycle({
      options,
      book: this.book,
      queues,
      openSteps: this.openSteps,
      advice: this.advice,
      orders: this.orders,
      trust,
      runtimes,
      requestPass,
    });
    this.tracker = new runTracker.RunTracker(
      this.book,
      index,
      this.orders,
      this.jobs,
    );
    this.submissions = new submissions.Submissions(
      options,
      this.journal,
      this.book,
      queues,
      record => this.jobs.begin(record),
    );
    this.lives = new workerLives.WorkerLives({
      options,
      workers,
      index,
      journal: this.journal,
      tracker: this.tracker,
      trust,
      leaseMs: LEASE_MS,
      earlierRunsOverAt: this.earlierRunsOverAt,
      requestPass,
      onReport: worker => this.workerReported(worker),
      onEnded: worker => this.earlier?.ended(worker),
    });
    this.passes = new placementPass.PlacementPass({
      options,
      workers,
      index,
      advice: this.advice,
      trust,
      orders: this.orders,
      queues,
      openSteps: this.openSteps,
      runtimes,
      isBlocked: record => this.earlier?.blocks(record) === true,
      mayStart: () => this.isServing && options.mayExtend(),
    });
    this.evacuation = new evacuation.Evacuation(workers, index, this.passes);
    this.pacing = new pacing.Pacing(index, this.orders);
  }

  /** Jobs are known, so that questions about them can be answered. */
  get isServing(): boolean {
    return this.serving && this.active;
  }

  /** How long the store has left a change unanswered; 0 when none is out. */
  storeSilentFor(now: clock.Milliseconds): number {
    return this.journal.silentFor(now);
  }

  /** Takes over from earlier terms; true once jobs are served. */
  async begin(): Promise<boolean> {
    const {options} = this;
    while (this.active) {
      const opened = await options.journal.open(options.term);
      if (opened === 'superseded') {
        options.onSuperseded('journal');
        return false;
      }
      const content =
        opened === 'stored' ? await options.journal.load() : undefined;
      if (content !== undefined && this.active) {
        this.takeOver(content);
        return true;
      }
      await options.pauses.pause(JOURNAL_RETRY_MS);
    }
    return false;
  }

  /** Ends the term: nothing is ordered or stored any more. */
  retire(): void {
    this.active = false;
    this.journal.close();
    this.lives.stop();
  }

  /** Takes a newer configuration. */
  configure(configuration: job.CellConfiguration): void {
    if (this.queues.update(configuration)) this.requestPass();
  }

  /** Takes the registry's present list of workers. */
  updateWorkers(entries: ReadonlyArray<remoteWorker.RegistryEntry>): void {
    this.lives.update(entries);
  }

  /** Accepts a job; `answer` is called once its fate is known or open. */
  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    answer: submissions.SubmitListener,
  ): void {
    this.submissions.submit(definition, configurationVersion, answer);
  }

  /** Cancels a job; `answer` is called once that is stored. */
  cancel(
    queue: string,
    id: string,
    answer: (outcome: CancelOutcome) => void,
  ): void {
    const record = this.find(queue, id);
    if (record === undefined) {
      answer('unknown');
      return;
    }
    if (record.storedOutcome !== 'open') {
      answer('cancelled');
      return;
    }
    if (record.outcome === 'open') this.jobs.settle(record, 'cancelled');
    this.book.store(record, () => answer('cancelled'));
  }

  /** What callers are told about a job; undefined when there is none. */
  stateOf(queue: string, id: string): job.JobState | undefined {
    return this.find(queue, id)?.state;
  }

  /** Accepted jobs of a queue of which no task has started. */
  pendingOf(queue: string): number {
    return this.book.pendingOf(queue);
  }

  /** Does what is due by now; called several times a second. */
  tick(): void {
    if (!this.isServing) return;
    const now = this.options.clock.now();
    this.orders.repeatOrders();
    this.lives.review(now);
    this.jobs.openDueOccurrences();
    this.book.dropSettled(now, this.options.bounds.stateKeptMs);
    this.submissions.releaseWaiting();
    this.replaceHinderedRuns(now);
    this.evacuation.review(now);
    this.reviewEarlierRuns();
    this.passes.reportWaiting(now);
    this.requestPass();
  }

  // What becomes of orders.

  lifeEnded(worker: remoteWorker.RemoteWorker): void {
    this.lives.replaced(worker);
  }

  superseded(): void {
    if (this.active) this.options.onSuperseded('worker');
  }

  startRejected(
    assignment: task.Assignment,
    why: workerClient.RejectionReason,
  ): void {
    if (!this.active) return;
    const {worker, target} = assignment;
    this.options.counters.count('starts_rejected', why);
    this.options.log.event('warn', 'startRejected', {
      task: assignment.task,
      run: assignment.run,
      worker: worker.id,
      why,
    });
    this.tracker.drop(assignment);
    if (why === 'ticket') this.advice.drop(target.step, worker);
    else this.trust.recordRefusal(worker, this.options.clock.now());
    this.requestPass();
  }

  started(assignment: task.Assignment): void {
    assignment.target.step.owner.started = true;
    this.options.counters.count('starts', 'confirmed');
  }

  private workerReported(worker: remoteWorker.RemoteWorker): void {
    this.pacing.review(worker, this.options.clock.now());
    this.reviewEarlierRuns();
  }

  private find(queue: string, id: string): jobRecord.JobRecord | undefined {
    const record = this.book.get(id);
    return record?.definition.queue === queue ? record : undefined;
  }

  private requestPass(): void {
    if (this.isServing) this.passes.request();
  }

  private takeOver(content: jobJournal.JournalContent): void {
    const restored = new Set<jobRecord.JobRecord>();
    for (const {definition, progress} of content.jobs) {
      const record = this.book.restore(definition, progress);
      if (record.outcome === 'open') restored.add(record);
    }
    this.serving = true;
    this.earlier = new earlierRuns.EarlierRuns(
      restored,
      this.lives.start(content.workers),
      this.earlierRunsOverAt,
    );
    for (const record of restored) this.jobs.begin(record);
    this.options.log.event('info', 'termBegun', {
      term: this.options.term,
      jobs: content.jobs.length,
      open: restored.size,
      workers: content.workers.length,
    });
    this.reviewEarlierRuns();
  }

  /** Lets tasks start whose runs of earlier terms are all known now. */
  private reviewEarlierRuns(): void {
    const {earlier} = this;
    if (earlier === undefined || earlier.settled) return;
    if (!earlier.review(this.options.clock.now())) return;
    this.options.log.event('info', 'earlierRunsKnown', {
      term: this.options.term,
      missingWorkers: earlier.missingWorkers,
      settled: earlier.settled,
    });
    this.requestPass();
  }

  /** Stops runs that a start on another worker would overtake. */
  private replaceHinderedRuns(now: clock.Milliseconds): void {
    for (const run of this.index.all()) {
      const fault = runWatch.judgeRun(run, now);
      if (fault === undefined) continue;
      this.options.counters.count('runs_replaced', fault);
      this.options.log.event('warn', 'runReplaced', {
        task: run.task,
        run: run.run,
        worker: run.worker.id,
        fault,
        percent: run.percent,
        ageMs: Math.round(now - run.startedAt),
      });
      run.target.replacements += 1;
      this.trust.recordSlowRun(run.worker, now);
      this.orders.stop(run);
    }
  }
}
