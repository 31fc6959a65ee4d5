import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as topicJournalStore from '../../src/links/topic_journal_store.js';
import type * as job from '../../src/jobs/job.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const SIMULATED_MS = 60_000;

const SMALL_TASK = {...jobCell.STEP.size, processors: 100, memory: 10};

const FAILING_SERVICE = jobCell.jobOf('service', {
  count: 48,
  longRunning: true,
  size: SMALL_TASK,
});

const USUAL_BATCH = jobCell.jobOf(
  'usual',
  {count: 13, size: SMALL_TASK},
  {count: 13, size: SMALL_TASK, after: [0]},
);

/** Steps, tasks and occurrences of the largest batch on the users' sites. */
const LARGEST_BATCH: job.JobDefinition = {
  ...jobCell.jobOf(
    'largest',
    ...[0, 1, 2, 3, 4].map(position => ({
      count: 88,
      size: SMALL_TASK,
      after: position === 0 ? [] : [position - 1],
    })),
  ),
  schedule: {occurrences: 8, startAtMs: 0, intervalMs: 2_000},
};

const FAILS_AT_ONCE: workerModel.RunPlan = () => ({
  runTimeMs: 75,
  outcome: 'failed',
});

/** Durations differ, so that few ends share a report. */
const UNEVEN_RUNS: workerModel.RunPlan = ({task}) => ({
  runTimeMs: 500 + 37 * (Number(task.split('.')[3]) % 40),
  outcome: 'done',
});

const CASES: ReadonlyArray<[string, job.JobDefinition, workerModel.RunPlan]> = [
  ['a service that fails at once', FAILING_SERVICE, FAILS_AT_ONCE],
  ['a usual batch', USUAL_BATCH, UNEVEN_RUNS],
  ['the largest batch', LARGEST_BATCH, UNEVEN_RUNS],
];

describe('the bytes stored for each start', () => {
  // Guards against a record that outgrows the store while a job runs. The figures
  // that are printed stand in docs/CAPACITY.md.
  for (const [name, definition, plan] of CASES) {
    test(`come in records that fit (${name})`, async t => {
      const cell = new jobCell.JobCell();
      const stored = observeAppends(cell);
      cell.addWorkers(plan, 'one', 'two', 'three', 'four');
      const scheduler = await cell.startTerm(1);
      jobCell.submit(scheduler, definition);
      await cell.time.advance(SIMULATED_MS);
      const startCount = cell.startsOf(definition.id).length;
      const bytesPerStart = stored.bytes / startCount;
      const {appendCount} = cell.journal;
      t.diagnostic(
        `${startCount} starts, ${appendCount} appends, ${stored.bytes} bytes, ${bytesPerStart.toFixed(1)} a start, largest record ${stored.largestBytes}`,
      );
      assert.ok(startCount > 0);
      assert.ok(
        stored.largestBytes < topicJournalStore.DEFAULT_MAXIMUM_RECORD_BYTES,
      );
    });
  }
});

interface StoredBytes {
  bytes: number;
  largestBytes: number;
}

/** Measures what is appended as the platform's store would. */
function observeAppends(cell: jobCell.JobCell): StoredBytes {
  const {journal} = cell;
  const codec = new topicJournalStore.TopicJournalStore(
    {} as keyedTopic.KeyedTopic,
  );
  const append = journal.append.bind(journal);
  const stored = {bytes: 0, largestBytes: 0};
  journal.append = (term, sequence, changes, timeoutMs) => {
    for (const change of changes) {
      const {bytes} = codec.measure(change);
      stored.bytes += bytes;
      stored.largestBytes = Math.max(stored.largestBytes, bytes);
    }
    return append(term, sequence, changes, timeoutMs);
  };
  return stored;
}
