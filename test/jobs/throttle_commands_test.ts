import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as assignmentIndex from '../../src/jobs/assignment_index.js';
import * as jobCell from '../support/job_cell.js';
import * as jobRecord from '../../src/jobs/job_record.js';
import * as jobTask from '../../src/jobs/job_task.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as simulatedClock from '../support/simulated_clock.js';
import * as throttleCommands from '../../src/jobs/throttle_commands.js';
import type * as workerClient from '../../src/machines/worker_client.js';

const {describe, test} = nodeTest;

const DONE: workerClient.CommandOutcome = {kind: 'done', clockMs: 1};
const UNANSWERED: workerClient.CommandOutcome = {
  kind: 'unanswered',
  detail: '',
};
const UNHEALTHY: workerClient.CommandOutcome = {
  kind: 'rejected',
  reason: 'unhealthy',
  clockMs: 1,
};

interface Fixture {
  readonly time: simulatedClock.SimulatedClock;
  readonly commands: throttleCommands.ThrottleCommands;
  readonly index: assignmentIndex.AssignmentIndex;
  readonly worker: remoteWorker.RemoteWorker;
  readonly run: jobTask.Assignment;
  /** The limits that were sent. */
  readonly sent: ReadonlyArray<number>;
  /** Outcomes of the next commands; `done` once there are none left. */
  readonly outcomes: workerClient.CommandOutcome[];
}

function createFixture(): Fixture {
  const time = new simulatedClock.SimulatedClock();
  const index = new assignmentIndex.AssignmentIndex();
  const worker = new remoteWorker.RemoteWorker(jobCell.registryEntry('one'), 0);
  const record = new jobRecord.JobRecord(jobCell.jobOf('aa', {}), 0);
  const task = record.steps[0].tasks[0];
  const run = new jobTask.Assignment(task, worker, 1, undefined, 0);
  run.confirm(0);
  index.add(run);
  const sent: number[] = [];
  const outcomes: workerClient.CommandOutcome[] = [];
  const client = {
    throttle: async (_entry: unknown, _run: unknown, percent: number) => {
      sent.push(percent);
      return outcomes.shift() ?? DONE;
    },
  } as unknown as workerClient.WorkerClient;
  const commands = new throttleCommands.ThrottleCommands(
    client,
    index,
    time,
    1,
    () => {},
  );
  time.runEvery(100, () => commands.retry(time.now()));
  return {time, commands, index, worker, run, sent, outcomes};
}

describe('the limit of a run', () => {
  // Guards against a service that stays over its target: a limit that was lost,
  // or refused by a worker under load, was never sent again.
  for (const outcome of [UNANSWERED, UNHEALTHY]) {
    test(`is sent again until it is confirmed (${outcome.kind})`, async () => {
      const {time, commands, run, sent, outcomes} = createFixture();
      outcomes.push(outcome, outcome);
      commands.set(run, 0);
      await time.advance(1_500);
      assert.deepEqual(sent, [0, 0, 0]);
    });
  }

  // Guards against a limit that is sent for ever.
  test('is sent once if it is confirmed', async () => {
    const {time, commands, run, sent} = createFixture();
    commands.set(run, 0);
    await time.advance(20_000);
    assert.deepEqual(sent, [0]);
  });

  // Guards against a run that stays paused because an old limit without an answer
  // was carried out after a newer one.
  test('is repeated while an earlier one may still be carried out', async () => {
    const {time, commands, run, sent, outcomes} = createFixture();
    outcomes.push(UNANSWERED);
    commands.set(run, 0);
    await time.advance(50);
    commands.set(run, 100);
    await time.advance(9_000);
    assert.deepEqual(sent.slice(0, 2), [0, 100]);
    const {length} = sent;
    assert.ok(length >= 5, `${length} commands`);
    await time.advance(3_000);
    const last = sent.length;
    await time.advance(20_000);
    assert.equal(sent.length, last);
    assert.deepEqual(new Set(sent.slice(1)), new Set([100]));
  });

  // Guards against calls to a worker that does not answer, and about runs that
  // are over.
  test('is not sent to a silent worker, nor for a run that is over', async () => {
    const {time, commands, index, worker, run, sent, outcomes} =
      createFixture();
    outcomes.push(UNANSWERED, UNANSWERED);
    worker.unansweredCalls = 2;
    commands.set(run, 0);
    await time.advance(3_000);
    assert.deepEqual(sent, [0]);
    worker.unansweredCalls = 0;
    await time.advance(150);
    assert.deepEqual(sent, [0, 0]);
    index.remove(run);
    await time.advance(3_000);
    assert.deepEqual(sent, [0, 0]);
  });
});

describe('a run that an earlier scheduler has limited', () => {
  // Guards against a run that stays paused for good after a failover: the next
  // scheduler took it to be at full speed.
  test('gets a limit of the next scheduler', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 60_000, outcome: 'done'}), 'one');
    const first = await cell.startTerm(1);
    jobCell.submit(first, jobCell.jobOf('fill', {usesIdleCapacity: true}));
    await cell.time.advance(500);
    assert.equal(cell.startsOf('fill').length, 1);
    first.retire();
    const limits: number[] = [];
    cell.workers.throttle = async (_entry, _run, percent) => {
      limits.push(percent);
      return DONE;
    };
    await cell.startTerm(2);
    await cell.time.advance(2_000);
    assert.deepEqual(limits, [100]);
  });
});
