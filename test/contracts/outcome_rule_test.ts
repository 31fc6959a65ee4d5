import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as nodeTest from 'node:test';
import * as outcomeRule from '../../src/contracts/outcome_rule.js';
import * as contractSamples from '../support/contract_samples.js';
import type * as journalBackend from '../../src/contracts/journal_backend.js';
import type * as requestTable from '../../src/contracts/request_table.js';
import type * as task from '../../src/contracts/task.js';

const SEED = 20_262;
const IDENTITY = 'home_1_a';
const LEASE_BOUND_MS = 10_000;

/** One attempt of a home to run an identity that was proved not to have run. */
interface EarlierAttempt {
  readonly kind: 'lapsedStart' | 'refusedOffer';
}

/** Actual course of the last attempt. */
type LastAttempt =
  'none' | 'finished' | 'endedUnrecorded' | 'stillRunning' | 'lapsedStart';

const EARLIER_ATTEMPTS = fastCheck.array(
  fastCheck.constantFrom<EarlierAttempt>(
    {kind: 'lapsedStart'},
    {kind: 'refusedOffer'},
  ),
  {maxLength: 4},
);
const LAST_ATTEMPT = fastCheck.constantFrom<LastAttempt>(
  'none',
  'finished',
  'endedUnrecorded',
  'stillRunning',
  'lapsedStart',
);

function startRecord(
  number: number,
  attempt: number,
): journalBackend.JournalRecord {
  return {
    number,
    entry: {
      kind: 'starting',
      identity: IDENTITY,
      client: 'alice',
      task: `${IDENTITY}/0.${attempt}`,
      taskCount: 1,
      attempt,
      worker: `worker-${attempt}`,
      leaseBound: LEASE_BOUND_MS,
    },
  };
}

function offerRecord(number: number): journalBackend.JournalRecord {
  const process = 'peer';
  const entry = {
    kind: 'offered',
    identity: IDENTITY,
    client: 'alice',
    process,
  } as const;
  return {number, entry};
}

function endRecord(
  number: number,
  answer = 'polished',
): journalBackend.JournalRecord {
  return {
    number,
    entry: {
      kind: 'finished',
      identity: IDENTITY,
      client: 'alice',
      result: 'ok',
      detail: '',
      answer,
      answerKept: true,
    },
  };
}

/** Returns all records of the home, in order. */
function recordsOf(
  earlier: ReadonlyArray<EarlierAttempt>,
  last: LastAttempt,
): ReadonlyArray<journalBackend.JournalRecord> {
  const records: journalBackend.JournalRecord[] = earlier.map(
    (attempt, index) =>
      attempt.kind === 'lapsedStart'
        ? startRecord(index, index)
        : offerRecord(index),
  );
  const number = earlier.length;
  if (last !== 'none') records.push(startRecord(number, number));
  if (last === 'finished') records.push(endRecord(number + 1));
  return records;
}

/** Returns the reports of all workers at `workerClock`. */
function reportsOf(
  count: number,
  last: LastAttempt,
  workerClock: number,
): ReadonlyMap<string, outcomeRule.ConclusiveReport> {
  const reports = new Map<string, outcomeRule.ConclusiveReport>();
  for (let attempt = 0; attempt <= count; attempt += 1) {
    const tasks = new Map<string, task.TaskReport>();
    const name = `${IDENTITY}/0.${attempt}`;
    const shown = last === 'stillRunning' ? 'running' : 'finished';
    const ran = last !== 'none' && last !== 'lapsedStart';
    if (ran && attempt === count) {
      const state = shown;
      tasks.set(name, contractSamples.buildTaskReport(name, IDENTITY, {state}));
    }
    reports.set(`worker-${attempt}`, {workerClock, tasks});
  }
  return reports;
}

const NO_ANSWERS: ReadonlyMap<string, requestTable.RequestOutcome> = new Map();

nodeTest.describe('outcome of an identity whose home is dead', () => {
  nodeTest.test(
    'is "not run" only if nothing ran, whichever records and witnesses are ' +
      'missing: guards against a client that repeats a request that ran',
    () => {
      const property = fastCheck.property(
        EARLIER_ATTEMPTS,
        LAST_ATTEMPT,
        fastCheck.array(fastCheck.boolean(), {minLength: 6, maxLength: 6}),
        fastCheck.constantFrom('log', 'witness', 'both'),
        fastCheck.integer({min: 0, max: 400_000}),
        (earlier, last, seen, incomplete, workerClock) => {
          const whole = recordsOf(earlier, last);
          const records = whole.filter((_, index) => seen[index]);
          // Only incomplete sources may lack records.
          const missing = records.length < whole.length;
          const finding = outcomeRule.decide({
            records,
            logComplete: !missing || incomplete === 'witness',
            witnessComplete: !missing || incomplete === 'log',
            reports: reportsOf(earlier.length, last, workerClock),
            answers: NO_ANSWERS,
          });
          const ran = last !== 'none' && last !== 'lapsedStart';
          if (ran) assert.notEqual(finding.kind, 'notRun');
          if (!ran) assert.notEqual(finding.kind, 'ended');
        },
      );
      fastCheck.assert(property, {seed: SEED, numRuns: 2_000});
    },
  );

  nodeTest.test(
    'does not depend on the order of the records or on duplicates',
    () => {
      const property = fastCheck.property(
        EARLIER_ATTEMPTS,
        LAST_ATTEMPT,
        fastCheck.infiniteStream(fastCheck.nat(1_000)),
        (earlier, last, keys) => {
          const records = recordsOf(earlier, last);
          const shuffled = [...records, ...records]
            .map(record => ({record, key: keys.next().value ?? 0}))
            .sort((left, right) => left.key - right.key)
            .map(({record}) => record);
          const evidence = {
            logComplete: true,
            witnessComplete: true,
            reports: reportsOf(earlier.length, last, 50_000),
            answers: NO_ANSWERS,
          };
          assert.deepEqual(
            outcomeRule.decide({...evidence, records: shuffled}),
            outcomeRule.decide({...evidence, records}),
          );
        },
      );
      fastCheck.assert(property, {seed: SEED, numRuns: 500});
    },
  );

  nodeTest.test(
    'is unknown until the lease of the recorded start has ended, because the ' +
      'start may still reach the worker',
    () => {
      const evidence = {
        records: [startRecord(1, 0)],
        logComplete: true,
        witnessComplete: true,
        answers: NO_ANSWERS,
      };
      const at = (workerClock: number): string =>
        outcomeRule.decide({
          ...evidence,
          reports: reportsOf(0, 'none', workerClock),
        }).kind;
      assert.equal(at(LEASE_BOUND_MS), 'unknown');
      assert.equal(at(LEASE_BOUND_MS + 1), 'notRun');
      assert.equal(at(LEASE_BOUND_MS + 600_000), 'lost');
    },
  );

  nodeTest.test(
    'is "answerLost", not a truncated answer, if it was too long to record',
    () => {
      const record = endRecord(1, '');
      const entry = {
        ...record.entry,
        answerKept: false,
      } as journalBackend.JournalEntry;
      const finding = outcomeRule.decide({
        records: [{number: 1, entry}],
        logComplete: true,
        witnessComplete: true,
        reports: new Map(),
        answers: NO_ANSWERS,
      });
      assert.equal(
        finding.kind === 'ended' && finding.outcome.result,
        'answerLost',
      );
    },
  );
});
