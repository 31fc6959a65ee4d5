import type * as jobTable from './job_table.js';
import type * as jobJournal from './job_journal.js';
import type * as jobRecord from './job_record.js';
import type * as job from './job.js';
import type * as queueTable from './queue_table.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Why a job was not accepted. */
export type SubmitRefusal =
  /** The store does not answer at the moment. */
  | 'storeSilent'
  /** The store has not answered for so long that waiting is useless. */
  | 'storeLost'
  | 'overloaded'
  | 'notReady'
  | 'unknownQueue';

/** Outcome of a job submission. */
export type SubmitOutcome =
  | {readonly kind: 'accepted'}
  /** Unknown: the store has not answered, so the job may be accepted. */
  | {readonly kind: 'undecided'}
  /** Definitely not accepted. */
  | {
      readonly kind: 'refused';
      readonly reason: SubmitRefusal;
      readonly retryAfterSeconds: number;
    };

/** Receives the outcome of a submission; called once. */
export type SubmitListener = (outcome: SubmitOutcome) => void;

/** Time without an answer of the store from which new jobs are refused. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/** Time without an answer of the store from which waiting is useless. */
const STORE_LOSS_LIMIT_MS = 5_000;

/** Delay after which refused callers are asked to retry. */
const RETRY_AFTER_SECONDS = 1;

/**
 * Admits submitted jobs and answers their callers. A job is accepted once its
 * definition is stored.
 */
export class JobAdmission {
  private readonly waitingListeners = new Map<string, SubmitListener[]>();

  constructor(
    private readonly options: schedulerOptions.SchedulerOptions,
    private readonly journal: jobJournal.JobJournal,
    private readonly jobTable: jobTable.JobTable,
    private readonly queues: queueTable.QueueTable,
    private readonly onAccepted: (record: jobRecord.JobRecord) => void,
  ) {}

  /** Submits a job; `answer` is called with the outcome. */
  submit(
    definition: job.JobDefinition,
    configurationVersion: number,
    answer: SubmitListener,
  ): void {
    const {id} = definition;
    const known = this.jobTable.get(id);
    if (known?.accepted) {
      answer({kind: 'accepted'});
      return;
    }
    const storeIsSilent = this.isStoreSilent();
    if (known !== undefined) {
      if (storeIsSilent) answer({kind: 'undecided'});
      else this.waitingListeners.get(id)?.push(answer);
      return;
    }
    if (this.queues.isRemoved(definition.queue, configurationVersion)) {
      answer({kind: 'refused', reason: 'unknownQueue', retryAfterSeconds: 0});
      return;
    }
    if (storeIsSilent) {
      this.refuse(this.silenceReason(), answer);
      return;
    }
    this.waitingListeners.set(id, [answer]);
    this.jobTable.accept(definition, record => this.handleStored(record));
  }

  /**
   * Answers callers that wait for a store which does not answer: `refused` if
   * their job is definitely not stored, else `undecided`.
   */
  answerWaiting(): void {
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

  private handleStored(record: jobRecord.JobRecord): void {
    const {id, queue} = record.definition;
    const listeners = this.waitingListeners.get(id) ?? [];
    this.waitingListeners.delete(id);
    for (const answer of listeners) answer({kind: 'accepted'});
    this.options.counters.count('jobs_accepted', 'stored');
    this.options.log.event('info', 'jobAccepted', {job: id, queue});
    this.onAccepted(record);
  }
}
