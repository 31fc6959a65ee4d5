import * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';

/**
 * Merges the stored definitions of queues. Earlier versions stored queues and
 * jobs under what the operator called the queue, so two records may define one.
 */
export class StoredQueueMerger {
  private readonly byName = new Map<string, jobJournal.StoredQueue>();
  private readonly namesByLabel = new Map<string, string>();

  add({version, queue: stored}: jobJournal.StoredQueue): void {
    const queue = job.identify(stored);
    if (queue.name !== stored.name) {
      this.namesByLabel.set(stored.name, queue.name);
    }
    const known = this.byName.get(queue.name);
    if (known !== undefined && known.version > version) return;
    this.byName.set(queue.name, {version, queue});
  }

  /** Returns the name of the queue of a stored job. */
  nameOf(storedName: string): string {
    return this.namesByLabel.get(storedName) ?? storedName;
  }

  merged(): ReadonlyArray<jobJournal.StoredQueue> {
    return [...this.byName.values()];
  }
}
