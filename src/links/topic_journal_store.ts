import * as jsonDocument from './json_document.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobRecord from '../jobs/job_record.js';
import type * as keyedTopic from './keyed_topic.js';

/** All terms write as the same producer, so that a later one fences earlier. */
const PRODUCER = 'scheduler';

/** Time for the answer to the call that fences earlier terms. */
const OPEN_TIMEOUT_MS = 900;

/** Keys in the topic. */
const WORKERS_KEY = 'workers';
const DEFINITION_PREFIX = 'd/';
const PROGRESS_PREFIX = 'p/';

const NOTHING = new Uint8Array(0);

/** Keeps the journal in a keyed topic: two keys a job and one for workers. */
export class TopicJournalStore implements jobJournal.JobJournalStore {
  constructor(private readonly topic: keyedTopic.KeyedTopic) {}

  async open(term: number): Promise<jobJournal.StoreOutcome> {
    // An append without records only raises the epoch.
    return this.send([], term, 0, OPEN_TIMEOUT_MS);
  }

  async load(): Promise<jobJournal.JournalContent | undefined> {
    const outcome = await this.topic.readNewest();
    if (outcome.kind !== 'read') return undefined;
    const definitions = new Map<string, job.JobDefinition>();
    const progress = new Map<string, jobRecord.JobProgress>();
    let workers: ReadonlyArray<jobJournal.StoredWorker> = [];
    for (const {key, value} of outcome.records) {
      if (value.length === 0) continue;
      if (key === WORKERS_KEY) {
        workers = jsonDocument
          .decode<ReadonlyArray<jobJournal.StoredWorker>>(value)
          .orDefault([]);
      } else if (key.startsWith(DEFINITION_PREFIX)) {
        const decoded = jsonDocument.decode<job.JobDefinition>(value);
        decoded.ifJust(read => definitions.set(read.id, read));
      } else if (key.startsWith(PROGRESS_PREFIX)) {
        const id = key.slice(PROGRESS_PREFIX.length);
        const decoded = jsonDocument.decode<jobRecord.JobProgress>(value);
        decoded.ifJust(read => progress.set(id, read));
      }
    }
    const jobs = [...definitions.values()].map(definition => ({
      definition,
      progress: progress.get(definition.id),
    }));
    return {jobs, workers};
  }

  append(
    term: number,
    sequence: number,
    changes: ReadonlyArray<jobJournal.JournalChange>,
    timeoutMs: number,
  ): Promise<jobJournal.StoreOutcome> {
    return this.send(changes.flatMap(toRecords), term, sequence, timeoutMs);
  }

  private async send(
    records: ReadonlyArray<keyedTopic.KeyedRecord>,
    term: number,
    sequence: number,
    timeoutMs: number,
  ): Promise<jobJournal.StoreOutcome> {
    const producer = {name: PRODUCER, epoch: term, sequence};
    const outcome = await this.topic.append(records, {producer}, timeoutMs);
    switch (outcome.kind) {
      case 'appended':
        return 'stored';
      case 'fenced':
        return 'superseded';
      case 'outOfSequence':
        // The set was stored by an earlier call whose answer was lost.
        return outcome.expected === sequence + 1 ? 'stored' : 'refused';
      case 'conditionFailed':
      case 'refused':
        return 'refused';
      case 'unanswered':
        return 'unanswered';
    }
  }
}

function toRecords(
  change: jobJournal.JournalChange,
): ReadonlyArray<keyedTopic.KeyedRecord> {
  switch (change.kind) {
    case 'definition':
      return [
        {
          key: DEFINITION_PREFIX + change.definition.id,
          value: jsonDocument.encode(change.definition),
        },
      ];
    case 'progress':
      return [
        {
          key: PROGRESS_PREFIX + change.id,
          value: jsonDocument.encode(change.progress),
        },
      ];
    case 'dropped':
      return [
        {key: DEFINITION_PREFIX + change.id, value: NOTHING},
        {key: PROGRESS_PREFIX + change.id, value: NOTHING},
      ];
    case 'workers':
      return [{key: WORKERS_KEY, value: jsonDocument.encode(change.workers)}];
  }
}
