import * as result from '../result.js';
import type * as jobJournal from './job_journal.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Counts and logs a record that the store can never hold. */
export function reportRejected(
  {counters, log}: schedulerOptions.SchedulerOptions,
  key: string,
  {reason, bytes, limitBytes}: jobJournal.ChangeRejection,
): void {
  counters.count('records_rejected', reason);
  const {code} = result.RESULT_CODES.recordTooLarge;
  log.event('error', 'recordRejected', {code, key, reason, bytes, limitBytes});
}
