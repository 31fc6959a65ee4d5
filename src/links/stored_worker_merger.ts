import * as jsonDocument from './json_document.js';
import * as recordChecks from './record_checks.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as keyedTopic from './keyed_topic.js';

/** Prefix of the keys under which each worker is stored. */
export const WORKER_PREFIX = 'w/';

/** Key under which earlier versions stored all workers. */
export const COMBINED_WORKERS_KEY = 'workers';

/** Newest record of a worker's own key. */
interface SingleWorker {
  readonly offset: number;
  /** The worker; undefined if the record is a tombstone. */
  readonly worker: jobJournal.StoredWorker | undefined;
}

/**
 * Merges the workers of both kinds of keys. During a rolling update an earlier
 * version may write the list after a later one has stored a worker, so of two
 * records that name a worker the later one decides.
 */
export class StoredWorkerMerger {
  private listed: ReadonlyArray<jobJournal.StoredWorker> = [];
  private listOffset = -1;
  private readonly single = new Map<string, SingleWorker>();

  /** Adds a record, or a tombstone, of a worker or of the list. */
  add(record: keyedTopic.TopicRecord): void {
    if (record.key === COMBINED_WORKERS_KEY) this.addList(record);
    else if (record.key.startsWith(WORKER_PREFIX)) this.addSingle(record);
  }

  /** Returns the workers as the newest record of each describes them. */
  merged(): ReadonlyArray<jobJournal.StoredWorker> {
    const byId = new Map(this.listed.map(worker => [worker.entry.id, worker]));
    for (const [id, {offset, worker}] of this.single) {
      if (byId.has(id) && offset < this.listOffset) continue;
      if (worker === undefined) byId.delete(id);
      else byId.set(id, worker);
    }
    return [...byId.values()];
  }

  private addList({value, offset}: keyedTopic.TopicRecord): void {
    this.listOffset = offset;
    this.listed = jsonDocument
      .parse(value)
      .map(list => (Array.isArray(list) ? list : []))
      .orDefault([])
      .filter(recordChecks.isStoredWorker);
  }

  private addSingle({key, value, offset}: keyedTopic.TopicRecord): void {
    const id = key.slice(WORKER_PREFIX.length);
    if (value.length === 0) {
      this.single.set(id, {offset, worker: undefined});
      return;
    }
    const decoded = jsonDocument.decode(value, recordChecks.isStoredWorker);
    decoded.ifJust(worker => this.single.set(id, {offset, worker}));
  }
}
