import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobInvariantChecker from '../../bench/job_invariant_checker.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const JOB = '0000000000000001';
const TASK = `${JOB}.0.0.0`;

/** A run of the task on a worker, from its start to its end. */
interface Run {
  readonly worker: string;
  readonly run: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: string;
  /** Whether the lease lapsed before the acknowledgement; none without it. */
  readonly leaseLapsed?: boolean;
}

function historyOf(
  id: string,
  runs: ReadonlyArray<Run>,
): jobInvariantChecker.WorkerHistory {
  const events: workerModel.RunEvent[] = [];
  const acknowledgedEnds: workerModel.AcknowledgedEnd[] = [];
  for (const {worker, run, startedAtMs, endedAtMs, ...end} of runs) {
    if (worker !== id) continue;
    const {outcome, leaseLapsed} = end;
    const common = {worker, task: TASK, run, fencingToken: 2_000};
    events.push(
      {...common, atMs: startedAtMs, kind: 'started', outcome: ''},
      {...common, atMs: endedAtMs, kind: 'ended', outcome},
    );
    if (leaseLapsed === undefined) continue;
    const identity = {task: TASK, run, endKind: outcome};
    acknowledgedEnds.push({...identity, endedAtMs, leaseLapsed});
  }
  return {id, events, acknowledgedEnds};
}

/** Returns what is found in runs on two workers. */
function violationsOf(runs: ReadonlyArray<Run>): ReadonlyArray<string> {
  const workers = ['worker-0', 'worker-1'].map(id => historyOf(id, runs));
  const cell = {workers};
  const checker = new jobInvariantChecker.JobInvariantChecker(cell);
  checker.jobSubmitted(JOB);
  checker.checkRuns(new jobInvariantChecker.AcknowledgedSuccess(cell));
  return checker.violations;
}

const SUCCESS: Run = {
  worker: 'worker-0',
  run: 1,
  startedAtMs: 100,
  endedAtMs: 200,
  outcome: 'done',
};
const LATER: Run = {
  worker: 'worker-1',
  run: 2,
  startedAtMs: 300,
  endedAtMs: 400,
  outcome: 'lapsed',
};

nodeTest.describe('checks of runs on workers that were cut off', () => {
  // Guards against a check that passes over a task that runs again.
  nodeTest.test('find a start after an acknowledged success', () => {
    const violations = violationsOf([{...SUCCESS, leaseLapsed: false}, LATER]);
    assert.equal(violations.length, 1);
    assert.match(violations[0], /run 2 on worker-1 by 2000 started after/);
  });

  // Guards against a check that calls a permitted repetition a fault.
  nodeTest.test('permit a start after a success beyond the lease', () => {
    const lapsed = {...SUCCESS, leaseLapsed: true};
    assert.deepEqual(violationsOf([lapsed, LATER]), []);
    assert.deepEqual(violationsOf([SUCCESS, LATER]), []);
  });

  // Guards against a check that passes over two runs at once.
  nodeTest.test('find two runs at once', () => {
    const violations = violationsOf([SUCCESS, {...LATER, startedAtMs: 150}]);
    assert.equal(violations.length, 1);
    assert.match(violations[0], /while worker-0\/1 was active/);
  });
});
