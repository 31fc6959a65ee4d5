import * as timers from 'node:timers/promises';
import * as jsonDocument from './json_document.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobRecord from '../jobs/job_record.js';
import type * as keyedTopic from './keyed_topic.js';

/** Producer of all terms, so that a later term fences earlier ones. */
const PRODUCER_NAME = 'scheduler';

/** Timeout of the append that fences earlier terms. */
const FENCE_TIMEOUT_MS = 900;

/** Keys and key prefixes of the topic. */
const WORKER_PREFIX = 'w/';
/** Key under which earlier versions stored all workers. */
const COMBINED_WORKERS_KEY = 'workers';
const DEFINITION_PREFIX = 'd/';
const PROGRESS_PREFIX = 'p/';

/** Records that are decoded in one turn of the event loop. */
const RECORDS_PER_TURN = 200;

const TOMBSTONE = new Uint8Array(0);

/** Journal in a keyed topic: two keys per job and one per worker. */
export class TopicJournalStore implements jobJournal.JobJournalStore {
  constructor(private readonly topic: keyedTopic.KeyedTopic) {}

  async open(term: number): Promise<jobJournal.StoreOutcome> {
    // An append without records raises the epoch and writes nothing.
    return this.send([], term, 0, FENCE_TIMEOUT_MS);
  }

  async load(): Promise<jobJournal.JournalContent | undefined> {
    const outcome = await this.topic.readNewest();
    if (outcome.kind !== 'read') return undefined;
    const definitions = new Map<string, job.JobDefinition>();
    const progress = new Map<string, jobRecord.JobProgress>();
    let combinedWorkers: ReadonlyArray<jobJournal.StoredWorker> = [];
    const workers: jobJournal.StoredWorker[] = [];
    let bytes = 0;
    for (const [index, {key, value}] of outcome.records.entries()) {
      if (index % RECORDS_PER_TURN === 0) await timers.setImmediate();
      bytes += value.length;
      if (value.length === 0) continue;
      if (key === COMBINED_WORKERS_KEY) {
        combinedWorkers = jsonDocument
          .decode<ReadonlyArray<jobJournal.StoredWorker>>(value)
          .orDefault([]);
      } else if (key.startsWith(WORKER_PREFIX)) {
        const decoded = jsonDocument.decode<jobJournal.StoredWorker>(value);
        decoded.ifJust(worker => workers.push(worker));
      } else if (key.startsWith(DEFINITION_PREFIX)) {
        const decoded = jsonDocument.decode<job.JobDefinition>(value);
        decoded.ifJust(definition =>
          definitions.set(definition.id, definition),
        );
      } else if (key.startsWith(PROGRESS_PREFIX)) {
        const id = key.slice(PROGRESS_PREFIX.length);
        const decoded = jsonDocument.decode<jobRecord.JobProgress>(value);
        decoded.ifJust(jobProgress => progress.set(id, jobProgress));
      }
    }
    const jobs = [...definitions.values()].map(definition => ({
      definition,
      progress: progress.get(definition.id),
    }));
    return {
      jobs,
      workers: mergeWorkers(combinedWorkers, workers),
      size: {records: outcome.records.length, bytes},
    };
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
    const producer = {name: PRODUCER_NAME, epoch: term, sequence};
    const outcome = await this.topic.append(records, {producer}, timeoutMs);
    switch (outcome.kind) {
      case 'appended':
        return 'stored';
      case 'fenced':
        return 'superseded';
      case 'outOfSequence':
        // An earlier call stored this sequence, but its answer was lost.
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
        {key: DEFINITION_PREFIX + change.id, value: TOMBSTONE},
        {key: PROGRESS_PREFIX + change.id, value: TOMBSTONE},
      ];
    case 'worker':
      return [
        {
          key: WORKER_PREFIX + change.worker.entry.id,
          value: jsonDocument.encode(change.worker),
        },
      ];
    case 'workerRemoved':
      return [{key: WORKER_PREFIX + change.id, value: TOMBSTONE}];
    case 'combinedWorkersDropped':
      return [{key: COMBINED_WORKERS_KEY, value: TOMBSTONE}];
  }
}

/** Returns the workers of both kinds of keys; those stored singly are newer. */
function mergeWorkers(
  combined: ReadonlyArray<jobJournal.StoredWorker>,
  single: ReadonlyArray<jobJournal.StoredWorker>,
): ReadonlyArray<jobJournal.StoredWorker> {
  const byId = new Map<string, jobJournal.StoredWorker>();
  for (const worker of [...combined, ...single]) {
    byId.set(worker.entry.id, worker);
  }
  return [...byId.values()];
}
