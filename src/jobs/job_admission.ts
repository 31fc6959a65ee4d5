import type * as jobTable from './job_table.js';
import type * as jobJournal from './job_journal.js';
import type * as jobRecord from './job_record.js';
import type * as job from './job.js';
import type * as queueTable from './queue_table.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Why a job was not accepted. */
export type SubmitRefusal =
  /** The store does not answer at present. */
  | 'storeSilent'
  /** It has not answered for so long that waiting is of no use. */
  | 'storeLost'
  | 'overloaded'
  | 'notReady'
  | 'unknownQueue';

/** What became of a job that was handed in. */
export type SubmitOutcome =
  | {readonly kind: 'accepted'}
  /** May be accepted: the store has not answered. */
  | {readonly kind: 'undecided'}
  /** Surely not accepted. */
  | {
      readonly kind: 'refused';
      readonly reason: SubmitRefusal;
      readonly retryAfterSeconds: number;
    };

/** Hears what became of a job; called once. */
export type SubmitListener = (outcome: SubmitOutcome) => void;

/** Silence of the store after which new jobs are refused at once. */
const STORE_SILENCE_LIMIT_MS = 1_000;

/** Silence of the store for which callers need not wait any more. */
const STORE_LOSS_LIMIT_MS = 5_000;

/** When callers are asked to come back after a refusal. */
const RETRY_AFTER_SECONDS = 1;

/** Accepts jobs, which takes the store, and answers those who hand them in. */
export class JobAdmission {
  private readonly waitingListeners = new Map<string, SubmitListener[]>();

  constructor(
    private readonly options: schedulerOptions.SchedulerOptions,
    private readonly journal: jobJournal.JobJournal,
    private readonly jobTable: jobTable.JobTable,
    private readonly queues: queueTable.QueueTable,
    private readonly onAccepted: (record: jobRecord.JobRecord) => void,
  ) {}

  /** Accepts a job; `answer` is called once its fate is known or open. */
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
    const silent = this.isStoreSilent();
    if (known !== undefined) {
      if (silent) answer({kind: 'undecided'});
      else this.waitingListeners.get(id)?.push(answer);
      return;
    }
    if (this.queues.isRemoved(definition.queue, configurationVersion)) {
      answer({kind: 'refused', reason: 'unknownQueue', retryAfterSeconds: 0});
      return;
    }
    if (silent) {
      this.refuse(this.silenceReason(), answer);
      return;
    }
    this.waitingListeners.set(id, [answer]);
    this.jobTable.accept(definition, record => this.accepted(record));
  }

  /**
   * Answers the callers whose jobs the silent store has not taken: refused
   * where that is sure, and otherwise open.
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

  private accepted(record: jobRecord.JobRecord): void {
    const {id, queue} = record.definition;
    const listeners = this.waitingListeners.get(id) ?? [];
    this.waitingListeners.delete(id);
    for (const answer of listeners) answer({kind: 'accepted'});
    this.options.counters.count('jobs_accepted', 'stored');
    this.options.log.event('info', 'jobAccepted', {job: id, queue});
    this.onAccepted(record);
  }
}
