import * as jobScore from './job_score.js';
import * as overloadController from './overload_controller.js';
import * as recentRefusals from './recent_refusals.js';
import * as stepOrdering from './step_ordering.js';
import type * as clock from '../machines/clock.js';
import type * as jobTable from './job_table.js';
import type * as jobJournal from './job_journal.js';
import type * as jobRecord from './job_record.js';
import type * as job from './job.js';
import type * as queueTable from './queue_table.js';
import type * as roomForecast from './room_forecast.js';
import type * as startForecast from './start_forecast.js';
import type * as startShares from './start_shares.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Why a job was not accepted. */
export type SubmitRefusal =
  /** The store does not answer at the moment. */
  | 'storeSilent'
  /** The store has not answered for so long that waiting is useless. */
  | 'storeLost'
  /** The leader's event loop is overloaded. */
  | 'overloaded'
  /** The accepted work leaves no room to serve the job in time. */
  | 'noRoomInTime'
  /** The scheduler can't start the accepted work early enough to serve the job. */
  | 'noStartInTime'
  /** A newer configuration exists, which this process could not get yet. */
  | 'notReady'
  | 'unknownQueue'
  /** A job of another queue has the id. */
  | 'idInUse'
  /** The store can't hold a record of the job's size. */
  | 'recordTooLarge';

/** Outcome of the submission of a job that is definitely not accepted. */
export interface SubmitRefused {
  readonly kind: 'refused';
  readonly reason: SubmitRefusal;
  readonly retryAfterSeconds: number;
}

/** Outcome of a job submission. */
export type SubmitOutcome =
  | {readonly kind: 'accepted'}
  /** Unknown: the store has not answered, so the job may be accepted. */
  | {readonly kind: 'undecided'}
  | SubmitRefused;

/** What a front tells the leader of a job that it expects to be refused. */
export interface ScreenedJob {
  readonly id: string;
  readonly queue: string;
  /** Score among the jobs of its priority; see `job_score.ts`. */
  readonly score: number;
  /** Estimated time that the job takes if no task waits. */
  readonly pathMs: number;
}

/** Returns what the leader needs to know in order to refuse a job. */
export function toScreenedJob(definition: job.JobDefinition): ScreenedJob {
  return {
    id: definition.id,
    queue: definition.queue,
    score: jobScore.scoreOf(definition),
    pathMs: jobScore.estimatedPathMs(definition),
  };
}

/** Answer of the leader about a screened job. */
export interface ScreeningOutcome {
  /** Undefined if the front has to submit the job. */
  readonly refusal: SubmitRefused | undefined;
}

/** Receives the outcome of a submission; called once. */
export type SubmitListener = (outcome: SubmitOutcome) => void;

/** Time without an answer of the store from which new jobs are refused. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/** Time without an answer of the store from which waiting is useless. */
const STORE_LOSS_LIMIT_MS = 5_000;

/** Delay after which refused callers are asked to retry. */
const RETRY_AFTER_SECONDS = 1;

/** Longest wait asked of callers whose job can't be served in time. */
const MAXIMUM_DELAY_RETRY_SECONDS = 15;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Admits submitted jobs and answers their callers. A job is accepted once its
 * definition is stored.
 */
export class JobAdmission {
  private readonly waitingListeners = new Map<string, SubmitListener[]>();
  private readonly refusals =
    new recentRefusals.RecentRefusals<SubmitRefused>();
  private readonly controller: overloadController.OverloadController;

  constructor(
    private readonly options: schedulerOptions.SchedulerOptions,
    private readonly journal: jobJournal.JobJournal,
    private readonly jobTable: jobTable.JobTable,
    private readonly queues: queueTable.QueueTable,
    private readonly roomForecast: roomForecast.RoomForecast,
    private readonly startForecast: startForecast.StartForecast,
    private readonly startShares: startShares.StartShares,
    private readonly onAccepted: (record: jobRecord.JobRecord) => void,
  ) {
    const {loopLoad, log} = options;
    this.controller = new overloadController.OverloadController(loopLoad, log);
  }

  /** Whether jobs are refused because this process is overloaded. */
  get overloaded(): boolean {
    return this.controller.overloaded;
  }

  /** Adjusts the admission to the load; called several times a second. */
  review(now: clock.Milliseconds): void {
    this.controller.review(now);
    this.roomForecast.refresh(now);
    this.startForecast.refresh(now);
    this.startShares.review(now);
    this.refusals.review(now);
    this.answerWaiting();
  }

  /**
   * Refuses jobs that are new and not admitted at present. All others have to
   * be submitted, among them those that the leader may know already.
   */
  screen(jobs: ReadonlyArray<ScreenedJob>): ReadonlyArray<ScreeningOutcome> {
    return jobs.map(screened => {
      const queue = this.queues.find(this.queues.nameOf(screened.queue));
      const isKnown = this.jobTable.get(screened.id) !== undefined;
      if (queue === undefined || isKnown) return {refusal: undefined};
      const refusal =
        this.overloadRefusal(screened, queue) ??
        this.refusalInForce(screened.id);
      if (refusal !== undefined) {
        // The arrival of other jobs is recorded when they are submitted.
        this.recordArrival(screened, queue);
        this.recordRefusal(screened.id, refusal, queue.name);
      }
      return {refusal};
    });
  }

  /**
   * Submits a job; `answer` is called with the outcome. Returns false instead,
   * without an answer, if the job is to be refused because of the load but this
   * process has no proof that it leads: a successor may have accepted the job,
   * and unlike an acceptance a refusal needs no write that would fail then.
   */
  submit(
    submitted: job.JobDefinition,
    configurationVersion: number,
    answer: SubmitListener,
  ): boolean {
    const queue = this.queues.nameOf(submitted.queue);
    const definition =
      queue === submitted.queue ? submitted : {...submitted, queue};
    const known = this.jobTable.get(definition.id);
    if (known !== undefined) {
      this.answerRepeat(known, queue, answer);
      return true;
    }
    if (this.queues.isRemoved(definition.queue, configurationVersion)) {
      answer({kind: 'refused', reason: 'unknownQueue', retryAfterSeconds: 0});
      return true;
    }
    if (this.isStoreSilent()) {
      this.refuse(this.silenceReason(), answer);
      return true;
    }
    return this.submitNew(definition, answer);
  }

  /** Refuses or stores a job that is not known; see `submit`. */
  private submitNew(
    definition: job.JobDefinition,
    answer: SubmitListener,
  ): boolean {
    const {id} = definition;
    const now = this.options.clock.now();
    const arrivedAt = this.refusals.firstRefusedAt(id) ?? now;
    const queue = this.queues.find(definition.queue);
    const screened = toScreenedJob(definition);
    const refusal =
      this.configurationRefusal() ??
      (queue &&
        (this.overloadRefusal(screened, queue) ??
          this.delayRefusal(definition, queue, arrivedAt))) ??
      this.refusalInForce(id);
    if (refusal !== undefined && !this.options.isProvedLeader()) return false;
    if (queue) this.recordArrival(screened, queue);
    const taskCount = taskCountOf(definition);
    this.startShares.recordJob(definition.queue, taskCount);
    if (refusal !== undefined) {
      this.recordRefusal(id, refusal, definition.queue, taskCount);
      answer(refusal);
      return true;
    }
    this.waitingListeners.set(id, [answer]);
    this.queues.keep(definition.queue);
    const record = this.jobTable.accept(
      definition,
      arrivedAt,
      stored => this.handleStored(stored),
      rejected => this.handleRejected(rejected),
    );
    if (queue === undefined) return true;
    this.roomForecast.add(record, queue, now);
    this.startForecast.add(record, queue, now);
    return true;
  }

  /** Answers the caller of a job that was submitted before. */
  private answerRepeat(
    known: jobRecord.JobRecord,
    queue: string,
    answer: SubmitListener,
  ): void {
    if (!this.queues.areSame(known.definition.queue, queue)) {
      answer({kind: 'refused', reason: 'idInUse', retryAfterSeconds: 0});
    } else if (known.accepted) answer({kind: 'accepted'});
    else if (this.isStoreSilent()) answer({kind: 'undecided'});
    else this.waitingListeners.get(known.definition.id)?.push(answer);
  }

  /**
   * Answers callers that wait for a store which does not answer: `refused` if
   * their job is definitely not stored, else `undecided`.
   */
  private answerWaiting(): void {
    if (!this.isStoreSilent()) return;
    for (const [id, listeners] of [...this.waitingListeners]) {
      if (this.jobTable.withdraw(id)) {
        this.waitingListeners.delete(id);
        const reason = this.silenceReason();
        for (const answer of listeners) this.refuse(reason, answer);
        continue;
      }
      this.waitingListeners.set(id, []);
      for (const answer of listeners) answer({kind: 'undecided'});
    }
  }

  /** Returns the refusal of a new job that can't be served in time. */
  private delayRefusal(
    definition: job.JobDefinition,
    queue: job.Queue,
    arrivedAt: clock.Milliseconds,
  ): SubmitRefused | undefined {
    const {id} = definition;
    const now = this.options.clock.now();
    const job = [definition, arrivedAt, queue, now] as const;
    const roomExcessMs = this.roomForecast.excessMs(...job);
    const startExcessMs = this.startForecast.excessMs(...job);
    const excessMs = Math.max(roomExcessMs, startExcessMs);
    if (excessMs === 0) return undefined;
    const excessSeconds = excessMs / MILLISECONDS_PER_SECOND;
    const retrySeconds = Math.ceil(
      RETRY_AFTER_SECONDS +
        excessSeconds * (1 + jobScore.spreadOf(`retry ${id}`)),
    );
    return {
      kind: 'refused',
      reason: roomExcessMs > 0 ? 'noRoomInTime' : 'noStartInTime',
      retryAfterSeconds: Math.min(retrySeconds, MAXIMUM_DELAY_RETRY_SECONDS),
    };
  }

  /** Returns the refusal of a new job by an outdated process. */
  private configurationRefusal(): SubmitRefused | undefined {
    if (this.options.isConfigurationUsable()) return undefined;
    const retryAfterSeconds = RETRY_AFTER_SECONDS;
    return {kind: 'refused', reason: 'notReady', retryAfterSeconds};
  }

  /** Returns the refusal of a new job by an overloaded process. */
  private overloadRefusal(
    screened: ScreenedJob,
    queue: job.Queue,
  ): SubmitRefused | undefined {
    const {id} = screened;
    const {priority} = queue;
    const rank = this.rankOf(screened, queue);
    if (this.controller.admits(rank, screened.score)) return undefined;
    const retryAfterSeconds = this.controller.retryAfterSeconds(id, priority);
    return {kind: 'refused', reason: 'overloaded', retryAfterSeconds};
  }

  /** Returns the rank that a job has if it is accepted and started now. */
  private rankOf({id, pathMs}: ScreenedJob, queue: job.Queue): number {
    const now = this.options.clock.now();
    const ageMs = now - (this.refusals.firstRefusedAt(id) ?? now);
    const objectiveMs = queue.stretch * pathMs + queue.objectiveMs;
    return stepOrdering.rankOf(queue.priority, objectiveMs, ageMs + pathMs);
  }

  /** Returns the earlier refusal that still rules out an acceptance. */
  private refusalInForce(id: string): SubmitRefused | undefined {
    return this.refusals.inForce(id, this.options.clock.now());
  }

  private recordArrival(screened: ScreenedJob, queue: job.Queue): void {
    // A job whose refusal is in force was recorded with that refusal.
    if (this.refusalInForce(screened.id) !== undefined) return;
    this.controller.recordArrival(this.rankOf(screened, queue), screened.score);
  }

  private recordRefusal(
    id: string,
    refusal: SubmitRefused,
    queue: string,
    taskCount?: number,
  ): void {
    // The job's later calls ask for the same starts.
    if (this.refusals.firstRefusedAt(id) === undefined) {
      this.startShares.recordRefusal(queue, taskCount);
    }
    this.refusals.add(id, refusal, this.options.clock.now());
    this.options.counters.count('jobs_refused', refusal.reason);
  }

  private refuse(reason: SubmitRefusal, answer: SubmitListener): void {
    this.options.counters.count('jobs_refused', reason);
    const retryAfterSeconds = RETRY_AFTER_SECONDS;
    answer({kind: 'refused', reason, retryAfterSeconds});
  }

  private isStoreSilent(): boolean {
    return this.storeSilentMs() > STORE_SILENCE_LIMIT_MS;
  }

  private silenceReason(): SubmitRefusal {
    return this.storeSilentMs() > STORE_LOSS_LIMIT_MS
      ? 'storeLost'
      : 'storeSilent';
  }

  private storeSilentMs(): number {
    return this.journal.unansweredMs(this.options.clock.now());
  }

  private handleRejected({definition}: jobRecord.JobRecord): void {
    const listeners = this.waitingListeners.get(definition.id) ?? [];
    this.waitingListeners.delete(definition.id);
    for (const answer of listeners) this.refuse('recordTooLarge', answer);
  }

  private handleStored(record: jobRecord.JobRecord): void {
    const {id, queue} = record.definition;
    const listeners = this.waitingListeners.get(id) ?? [];
    this.waitingListeners.delete(id);
    for (const answer of listeners) answer({kind: 'accepted'});
    this.options.counters.count('jobs_accepted', 'stored');
    this.options.log.event('info', 'jobAccepted', {
      job: id,
      queue: this.queues.labelOf(queue),
      version: this.queues.version,
    });
    this.onAccepted(record);
  }
}

function taskCountOf({steps}: job.JobDefinition): number {
  return steps.reduce((sum, {count}) => sum + count, 0);
}
