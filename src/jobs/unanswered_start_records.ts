import type * as clock from '../machines/clock.js';
import type * as jobRecord from './job_record.js';
import type * as jobTable from './job_table.js';

/**
 * The jobs whose stored progress lists starts without an answer. They are stored
 * again once the listed starts can't run any more: the next term would take them
 * for new ones.
 */
export class UnansweredStartRecords {
  private readonly records = new Set<jobRecord.JobRecord>();

  constructor(private readonly jobTable: jobTable.JobTable) {}

  [Symbol.iterator](): Iterator<jobRecord.JobRecord> {
    return this.records.values();
  }

  add(record: jobRecord.JobRecord): void {
    this.records.add(record);
  }

  /** Drops the starts that can't run any more, and stores their jobs. */
  expire(now: clock.Milliseconds): void {
    for (const record of this.records) {
      const {unansweredStarts} = record;
      const hasChanged = unansweredStarts.expire(now);
      if (unansweredStarts.isEmpty) this.records.delete(record);
      const isKept = this.jobTable.get(record.definition.id) === record;
      if (hasChanged && isKept) this.jobTable.store(record);
    }
  }
}
