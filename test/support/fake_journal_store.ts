import type * as job from '../../src/jobs/job.js';
import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as jobRecord from '../../src/jobs/job_record.js';
import type * as simulatedClock from './simulated_clock.js';

/** Time for an answer of the store. */
const ANSWER_MS = 4;

/** The platform's store as far as the journal uses it. */
export class FakeJournalStore implements jobJournal.JobJournalStore {
  readonly definitions = new Map<string, job.JobDefinition>();
  readonly progress = new Map<string, jobRecord.JobProgress>();
  workers: ReadonlyArray<jobJournal.StoredWorker> = [];
  /** The store gives no answer and does nothing. */
  down = false;
  /** The store turns every append away and does nothing. */
  refusing = false;
  /** The next appends take effect and their answers are lost. */
  lostAnswers = 0;
  appends = 0;
  private epoch = 0;
  private sequence = 0;

  constructor(private readonly time: simulatedClock.SimulatedClock) {}

  async open(term: number): Promise<jobJournal.StoreOutcome> {
    await this.time.pause(ANSWER_MS);
    if (this.down) return 'unanswered';
    if (term < this.epoch) return 'superseded';
    this.epoch = term;
    this.sequence = 0;
    return 'stored';
  }

  async load(): Promise<jobJournal.JournalContent | undefined> {
    await this.time.pause(ANSWER_MS);
    if (this.down) return undefined;
    const jobs = [...this.definitions.values()].map(definition => ({
      definition,
      progress: this.progress.get(definition.id),
    }));
    return {jobs, workers: this.workers};
  }

  async append(
    term: number,
    sequence: number,
    changes: ReadonlyArray<jobJournal.JournalChange>,
    timeoutMs: number,
  ): Promise<jobJournal.StoreOutcome> {
    await this.time.pause(ANSWER_MS);
    if (this.down) {
      await this.time.pause(timeoutMs - ANSWER_MS);
      return 'unanswered';
    }
    if (this.refusing) return 'refused';
    if (term < this.epoch) return 'superseded';
    this.appends += 1;
    if (sequence > this.sequence) {
      this.sequence = sequence;
      for (const change of changes) this.apply(change);
    }
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return 'unanswered';
    }
    return 'stored';
  }

  private apply(change: jobJournal.JournalChange): void {
    switch (change.kind) {
      case 'definition':
        this.definitions.set(change.definition.id, change.definition);
        return;
      case 'progress':
        this.progress.set(change.id, structuredClone(change.progress));
        return;
      case 'dropped':
        this.definitions.delete(change.id);
        this.progress.delete(change.id);
        return;
      case 'workers':
        this.workers = change.workers;
    }
  }
}
