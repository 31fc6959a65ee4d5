import * as timers from 'node:timers/promises';
import * as jsonDocument from './json_document.js';
import * as keyedTopic from './keyed_topic.js';
import * as recordChecks from './record_checks.js';
import * as storedQueueMerger from './stored_queue_merger.js';
import * as storedWorkerMerger from './stored_worker_merger.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobRecord from '../jobs/job_record.js';

/** Producer of all terms, so that a later term fences earlier ones. */
const PRODUCER_NAME = 'scheduler';

/** Timeout of the append that fences earlier terms. */
const FENCE_TIMEOUT_MS = 900;

/** Key prefixes of the topic; those of workers belong to their merger. */
const DEFINITION_PREFIX = 'd/';
const PROGRESS_PREFIX = 'p/';
const QUEUE_PREFIX = 'q/';

/** Records that are decoded in one turn of the event loop. */
const RECORDS_PER_TURN = 200;

/** Time without a part of the journal after which a load is given up. */
const LOAD_STALL_TIMEOUT_MS = 900;

const TOMBSTONE = new Uint8Array(0);

/** Largest record of a store that states no limit. */
export const DEFAULT_MAXIMUM_RECORD_BYTES = 262_144;

/** Bytes of a record that hold the length of its key. */
const KEY_LENGTH_BYTES = 1;

/** Journal in a keyed topic: two keys per job and one per worker. */
export class TopicJournalStore implements jobJournal.JobJournalStore {
  /** Records of measured changes, so that each is encoded once. */
  private readonly encoded = new WeakMap<
    jobJournal.JournalChange,
    ReadonlyArray<keyedTopic.KeyedRecord>
  >();

  constructor(
    private readonly topic: keyedTopic.KeyedTopic,
    private readonly maximumRecordBytes = DEFAULT_MAXIMUM_RECORD_BYTES,
  ) {}

  measure(change: jobJournal.JournalChange): jobJournal.ChangeSize {
    const records = this.recordsOf(change);
    let bytes = 0;
    for (const {key, value} of records) {
      const keyBytes = Buffer.byteLength(key);
      const recordBytes = KEY_LENGTH_BYTES + keyBytes + value.length;
      bytes += recordBytes;
      const rejection =
        rejectionOf('keyTooLong', keyBytes, keyedTopic.MAXIMUM_KEY_BYTES) ??
        rejectionOf('recordTooLarge', recordBytes, this.maximumRecordBytes);
      if (rejection !== undefined) return {bytes, rejection};
    }
    return {bytes};
  }

  async open(term: number): Promise<jobJournal.StoreOutcome> {
    // An append without records raises the epoch and writes nothing.
    return this.send([], term, 0, FENCE_TIMEOUT_MS);
  }

  async load(
    onPart?: keyedTopic.PartListener,
  ): Promise<jobJournal.JournalContent | undefined> {
    const outcome = await this.topic.readNewest(LOAD_STALL_TIMEOUT_MS, onPart);
    if (outcome.kind !== 'read') return undefined;
    const definitions = new Map<string, recordChecks.StoredDefinition>();
    const progress = new Map<string, jobRecord.JobProgress>();
    const workers = new storedWorkerMerger.StoredWorkerMerger();
    const queues = new storedQueueMerger.StoredQueueMerger();
    let bytes = 0;
    for (const [index, record] of outcome.records.entries()) {
      if (index % RECORDS_PER_TURN === 0) await timers.setImmediate();
      const {key, value} = record;
      bytes += value.length;
      workers.add(record);
      if (value.length === 0) continue;
      if (key.startsWith(DEFINITION_PREFIX)) {
        const decoded = jsonDocument.decode(
          value,
          recordChecks.isStoredDefinition,
        );
        decoded.ifJust(stored => definitions.set(stored.id, stored));
      } else if (key.startsWith(PROGRESS_PREFIX)) {
        const id = key.slice(PROGRESS_PREFIX.length);
        const decoded = jsonDocument.decode(value, recordChecks.isJobProgress);
        decoded.ifJust(jobProgress => progress.set(id, jobProgress));
      } else if (key.startsWith(QUEUE_PREFIX)) {
        const decoded = jsonDocument.decode(value, recordChecks.isStoredQueue);
        decoded.ifJust(stored => queues.add(stored));
      }
    }
    const jobs = [...definitions.values()].map(
      ({arrivedAtUnixMs, ...definition}) => ({
        definition: {...definition, queue: queues.nameOf(definition.queue)},
        progress: progress.get(definition.id),
        arrivedAtUnixMs,
      }),
    );
    return {
      jobs,
      workers: workers.merged(),
      queues: queues.merged(),
      size: {records: outcome.records.length, bytes},
    };
  }

  append(
    term: number,
    sequence: number,
    changes: ReadonlyArray<jobJournal.JournalChange>,
    timeoutMs: number,
  ): Promise<jobJournal.StoreOutcome> {
    const records = changes.flatMap(change => this.recordsOf(change));
    return this.send(records, term, sequence, timeoutMs);
  }

  private recordsOf(
    change: jobJournal.JournalChange,
  ): ReadonlyArray<keyedTopic.KeyedRecord> {
    const known = this.encoded.get(change);
    if (known !== undefined) return known;
    const records = toRecords(change);
    this.encoded.set(change, records);
    return records;
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
      case 'rejected':
        return 'rejected';
      case 'conditionFailed':
      case 'refused':
        return 'refused';
      case 'unanswered':
        return 'unanswered';
    }
  }
}

function rejectionOf(
  reason: jobJournal.ChangeRejection['reason'],
  bytes: number,
  limitBytes: number,
): jobJournal.ChangeRejection | undefined {
  return bytes > limitBytes ? {reason, bytes, limitBytes} : undefined;
}

function toRecords(
  change: jobJournal.JournalChange,
): ReadonlyArray<keyedTopic.KeyedRecord> {
  switch (change.kind) {
    case 'definition':
      return [
        {
          key: DEFINITION_PREFIX + change.definition.id,
          value: jsonDocument.encode({
            ...change.definition,
            arrivedAtUnixMs: change.arrivedAtUnixMs,
          }),
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
          key: storedWorkerMerger.WORKER_PREFIX + change.worker.entry.id,
          value: jsonDocument.encode(change.worker),
        },
      ];
    case 'workerRemoved':
      return [
        {key: storedWorkerMerger.WORKER_PREFIX + change.id, value: TOMBSTONE},
      ];
    case 'queue':
      return [
        {
          key: QUEUE_PREFIX + change.stored.queue.name,
          value: jsonDocument.encode(change.stored),
        },
      ];
    case 'queueRemoved':
      return [{key: QUEUE_PREFIX + change.name, value: TOMBSTONE}];
    case 'combinedWorkersDropped':
      return [{key: storedWorkerMerger.COMBINED_WORKERS_KEY, value: TOMBSTONE}];
  }
}
