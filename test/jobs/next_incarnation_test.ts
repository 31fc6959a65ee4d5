import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as workerClient from '../../src/machines/worker_client.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const LONG_RUN_MS = 15_000;

/** Age of the first worker when the test begins. */
const WORKER_AGE_MS = 100_000;

const LONG_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: LONG_RUN_MS,
  outcome: 'done',
});

/**
 * Crashes worker `one`, which comes back at once under its id and address. By
 * default it belongs to another service then, so that tasks are placed elsewhere.
 */
function restartWorker(
  cell: jobCell.JobCell,
  service = 'annex',
  runTimeMs = LONG_RUN_MS,
): workerModel.WorkerModel {
  const [entry] = cell.entries;
  cell.workers.byAddress.get(entry.address)?.crash();
  const nextEntry = {...entry, born: entry.born + 1, service};
  cell.entries = [nextEntry, ...cell.entries.slice(1)];
  const plan: workerModel.RunPlan = () => ({runTimeMs, outcome: 'done'});
  return cell.workers.add(nextEntry, plan, cell.time.now());
}

/** Records the renewals, and counts those whose answer is awaited. */
function trackRenewals(cell: jobCell.JobCell): {
  readonly inFlightCount: number;
  readonly commands: ReadonlyArray<workerClient.RenewalCommand>;
} {
  const commands: workerClient.RenewalCommand[] = [];
  let inFlightCount = 0;
  const {workers} = cell;
  const renew = workers.renewLeases.bind(workers);
  workers.renewLeases = async (entry, command) => {
    commands.push(command);
    inFlightCount += 1;
    const outcome = await renew(entry, command);
    inFlightCount -= 1;
    return outcome;
  };
  return {
    commands,
    get inFlightCount() {
      return inFlightCount;
    },
  };
}

/** Advances time; the workers' leases end in time. */
async function advanceWithLeases(
  cell: jobCell.JobCell,
  milliseconds: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 10) {
    await cell.time.advance(10);
    for (const worker of cell.workers.byAddress.values()) worker.endDueRuns();
  }
}

/** Restarts worker `one` out of reach, and ends the term once it knows that. */
async function restartOutOfReach(
  cell: jobCell.JobCell,
  scheduler: jobScheduler.JobScheduler,
): Promise<void> {
  restartWorker(cell).partitioned = true;
  await cell.time.advance(1_000);
  scheduler.retire();
  useSecondWorker(cell);
}

/** Returns the tasks of which two runs were up at the same time. */
function tasksRunTwice(cell: jobCell.JobCell): ReadonlyArray<string> {
  const activeRuns = new Map<string, number>();
  const twice: string[] = [];
  for (const {kind, task} of cell.workers.events) {
    const change = kind === 'started' ? 1 : -1;
    const count = (activeRuns.get(task) ?? 0) + change;
    activeRuns.set(task, count);
    if (count > 1) twice.push(task);
  }
  return twice;
}

/** Lets the second worker take tasks. */
function useSecondWorker(cell: jobCell.JobCell): void {
  cell.entries = cell.entries.map(entry =>
    entry.id === 'two' ? {...entry, service: jobCell.QUEUE.service} : entry,
  );
}

/** Starts a cell whose second worker belongs to another service at first. */
async function createCell(): Promise<{
  readonly cell: jobCell.JobCell;
  readonly scheduler: jobScheduler.JobScheduler;
}> {
  const cell = new jobCell.JobCell();
  const first = jobCell.registryEntry('one');
  cell.entries = [first];
  // Deadlines on its clock are far ahead on that of the next incarnation.
  cell.workers.add(first, LONG_RUNS, -WORKER_AGE_MS);
  const second = jobCell.registryEntry('two', {service: 'annex'});
  cell.addWorker(second, LONG_RUNS);
  const scheduler = await cell.startTerm(1);
  await cell.time.advance(200);
  return {cell, scheduler};
}

function acknowledgedTasks(cell: jobCell.JobCell): ReadonlyArray<string> {
  return cell.workers.acknowledgedEnds.map(({task}) => task);
}

/**
 * Starts a cell in its second term. The first one ran `aa` by a second copy of
 * its start; the first copy arrives 3 s after it was sent. It also ran `cc` on
 * another worker, and no end is acknowledged yet.
 */
async function createCellWithLateCopy(): Promise<{
  readonly cell: jobCell.JobCell;
  readonly successor: jobScheduler.JobScheduler;
}> {
  const cell = new jobCell.JobCell();
  for (const [name, runTimeMs] of [
    ['one', 1_100],
    ['two', 1_500],
  ] as const) {
    const entry = jobCell.registryEntry(name, {labels: [name, 'r1-1']});
    cell.addWorker(entry, () => ({runTimeMs, outcome: 'done'}));
  }
  const scheduler = await cell.startTerm(1);
  await cell.time.advance(200);
  cell.workers.commandDelayMs = address => (address === 'one:1' ? 3_000 : 0);
  jobCell.submit(scheduler, jobCell.jobOf('aa', {requiredLabel: 'one'}));
  jobCell.submit(scheduler, jobCell.jobOf('cc', {requiredLabel: 'two'}));
  await cell.time.advance(100);
  cell.workers.commandDelayMs = () => 0;
  await cell.time.advance(1_000);
  scheduler.retire();
  const successor = await cell.startTerm(2);
  await cell.time.advance(1_000);
  return {cell, successor};
}

describe('a worker that is back under its id', () => {
  // Guards against a task that runs twice: a start that was on its way reached
  // the next incarnation of its worker, and the task was started elsewhere as soon as
  // the registry listed that incarnation.
  test('carries out a start meant for its last incarnation: the task runs once', async () => {
    const {cell, scheduler} = await createCell();
    cell.workers.commandDelayMs = () => 300;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    restartWorker(cell);
    await cell.time.advance(250);
    assert.equal(cell.startsOf('aa').length, 1, 'the start did not arrive');
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(30_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against the same when the start arrives only after the next incarnation is
  // known: its task must not be started elsewhere before the stop is confirmed.
  test('carries out a late start after it was listed: the task runs once', async () => {
    const {cell, scheduler} = await createCell();
    cell.workers.commandDelayMs = () => 500;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    restartWorker(cell);
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(30_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a confirmed start that counts as one of the last incarnation, when
  // the answer came from the next one.
  test('confirms a start before it is known: the task runs once', async () => {
    const {cell, scheduler} = await createCell();
    restartWorker(cell);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(20);
    assert.equal(cell.startsOf('aa').length, 1);
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(30_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against the same when a report shows the next incarnation before the
  // registry lists it.
  test('reports before the registry lists it: the task runs once', async () => {
    const {cell, scheduler} = await createCell();
    const {entries} = cell;
    restartWorker(cell);
    cell.entries = entries;
    useSecondWorker(cell);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(20);
    assert.equal(cell.startsOf('aa').length, 1);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(30_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a task that runs twice after a failover: the next scheduler
  // took the worker's last incarnation as over, but a start of the earlier one had
  // reached the new incarnation.
  test('is back at a failover: waits for the report of the next incarnation', async () => {
    const {cell, scheduler} = await createCell();
    const nextIncarnation = restartWorker(cell);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(20);
    assert.equal(cell.startsOf('aa').length, 1);
    scheduler.retire();
    nextIncarnation.partitioned = true;
    useSecondWorker(cell);
    const successor = await cell.startTerm(2);
    await cell.time.advance(1_000);
    nextIncarnation.partitioned = false;
    await cell.time.advance(40_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a task that runs twice when the next incarnation falls silent: a
  // deadline on the old clock is far ahead on one that has started anew.
  test('falls silent with such a run: its task waits for the longest lease', async () => {
    const {cell, scheduler} = await createCell();
    const nextIncarnation = restartWorker(cell);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(20);
    nextIncarnation.leaseEndMs = cell.time.now() + 10_000;
    nextIncarnation.partitioned = true;
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    for (let step = 0; step < 1_200; step += 1) {
      await cell.time.advance(10);
      nextIncarnation.endDueRuns();
    }
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(cell.startsOf('aa').length, 2, 'the task still waits');
  });

  // Guards against a task that starts again after its success was acknowledged: a
  // copy of its start that got no answer reached the worker's next incarnation.
  test('is reached by a late copy of a start whose run is done: does not run it', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 200, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 5_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(2_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    const nextIncarnation = restartWorker(cell);
    await cell.time.advance(10_000);
    assert.equal(nextIncarnation.runningCount, 0);
    assert.equal(cell.startsOf('aa').length, 1, 'the task started again');
  });

  // Guards against a start after an acknowledged success: the late copy arrives
  // before the next incarnation has seen any fencing token.
  test('carries out a late copy before it is known: the success was not acknowledged', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 200, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(2_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    cell.workers.byAddress.get('one:1')?.crash();
    await cell.time.advance(300);
    restartWorker(cell);
    await cell.time.advance(10_000);
    assert.equal(cell.startsOf('aa').length, 2, 'the copy did not arrive');
    const firstEnd = cell.workers.events.find(({kind}) => kind === 'ended');
    assert.deepEqual(
      cell.workers.acknowledgedEnds.filter(
        ({endedAtMs}) => endedAtMs === firstEnd?.atMs,
      ),
      [],
    );
  });

  // Guards against a start after an acknowledged success: the copy was sent by the
  // last term, and the next one acknowledged the end at once.
  test('carries out a late copy of the last term: the success was not acknowledged', async () => {
    const {cell, successor} = await createCellWithLateCopy();
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
    cell.workers.byAddress.get('one:1')?.crash();
    await cell.time.advance(700);
    restartWorker(cell);
    await cell.time.advance(10_000);
    assert.equal(cell.startsOf('aa').length, 2, 'the copy did not arrive');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
  });

  // Guards against ends that a new term never acknowledges, and against ends of
  // other tasks that wait with them although nothing is known against them.
  test('a copy of the last term got no answer: only its success waits, for 14 s', async () => {
    const {cell, successor} = await createCellWithLateCopy();
    await cell.time.advance(12_500);
    assert.deepEqual(acknowledgedTasks(cell), ['cc.0.0.0']);
    await cell.time.advance(1_000);
    assert.deepEqual(acknowledgedTasks(cell), ['cc.0.0.0', 'aa.0.0.0']);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a worker over its capacity: a late copy of a start was carried
  // out beside tasks that were started before the next incarnation was known.
  test('carries out a late copy: no tasks were started before it was known', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 200, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(2_500);
    cell.workers.byAddress.get('one:1')?.crash();
    await cell.time.advance(250);
    const nextIncarnation = restartWorker(cell, 'dispatch', 1_000);
    await cell.time.advance(100);
    jobCell.submit(scheduler, jobCell.jobOf('bb', {count: 4}));
    let mostRuns = 0;
    for (let step = 0; step < 400; step += 1) {
      await cell.time.advance(10);
      mostRuns = Math.max(mostRuns, nextIncarnation.runningCount);
      if (step === 200) scheduler.updateWorkers(cell.entries);
    }
    assert.equal(cell.startsOf('aa').length, 2, 'the copy did not arrive');
    assert.equal(mostRuns, 4);
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
  });

  // Guards against the same by a copy that the last term sent.
  test('carries out a late copy of the last term: no tasks were started before it was known', async () => {
    const {cell, successor} = await createCellWithLateCopy();
    cell.workers.byAddress.get('one:1')?.crash();
    await cell.time.advance(600);
    const nextIncarnation = restartWorker(cell, 'dispatch', 1_000);
    await cell.time.advance(300);
    assert.equal(cell.startsOf('aa').length, 2, 'the copy did not arrive');
    const steps = {count: 4, requiredLabel: 'one'};
    jobCell.submit(successor, jobCell.jobOf('bb', steps));
    let mostRuns = 0;
    for (let step = 0; step < 500; step += 1) {
      await cell.time.advance(10);
      mostRuns = Math.max(mostRuns, nextIncarnation.runningCount);
      if (step === 200) successor.updateWorkers(cell.entries);
    }
    assert.equal(mostRuns, 4);
    assert.equal(successor.stateOf('orders', 'bb'), 'completed');
  });

  // Guards against two runs at the same time: the lease of a silent worker was
  // over, but a start that it had not answered came to its next incarnation.
  test('comes back after its lease with a late start: the task runs once', async () => {
    const {cell, scheduler} = await createCell();
    cell.workers.commandDelayMs = () => 8_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    cell.workers.byAddress.get('one:1')?.crash();
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(7_880);
    restartWorker(cell);
    await cell.time.advance(30_000);
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against two runs at the same time: the next incarnation, out of reach,
  // carried out a late copy just before that counted as impossible, and ran it
  // for the longest lease.
  test('stays out of reach with a late start: its task waits for the lease of that run', async () => {
    const {cell, scheduler} = await createCell();
    cell.workers.commandDelayMs = () => 11_900;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    const nextIncarnation = restartWorker(cell);
    nextIncarnation.partitioned = true;
    useSecondWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await advanceWithLeases(cell, 25_000);
    assert.ok(cell.startsOf('aa').length >= 2, 'the copy did not arrive');
    assert.deepEqual(tasksRunTwice(cell), []);
    await cell.time.advance(LONG_RUN_MS);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against the same after a change of the leader, which waits only for the
  // leases that its predecessor granted.
  test('stays out of reach of the next term with a late start: its task waits', async () => {
    const {cell, scheduler} = await createCell();
    cell.workers.commandDelayMs = () => 11_900;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await restartOutOfReach(cell, scheduler);
    const successor = await cell.startTerm(2);
    jobCell.submit(successor, jobCell.jobOf('cc', {}));
    await advanceWithLeases(cell, 27_000);
    assert.ok(cell.startsOf('aa').length >= 2, 'a start did not arrive');
    assert.deepEqual(tasksRunTwice(cell), []);
    assert.equal(cell.startsOf('cc').length, 1, 'other jobs wait too');
    await cell.time.advance(LONG_RUN_MS);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against ends that are never acknowledged again, and against a job that
  // waits for an acknowledgement.
  test('a copy of a start got no answer: the success counts at once, its acknowledgement waits for 12 s', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 200, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 3_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(1_500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    jobCell.submit(scheduler, jobCell.jobOf('bb', {}));
    await cell.time.advance(9_900);
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
    assert.deepEqual(cell.workers.acknowledgedEnds, []);
    await cell.time.advance(1_500);
    const tasks = cell.workers.acknowledgedEnds.map(({task}) => task);
    assert.deepEqual(tasks, ['aa.0.0.0', 'bb.0.0.0']);
  });

  // Guards against a task that starts again on an incarnation that this term
  // takes for a new worker, because the registry had dropped the earlier one.
  test('is dropped and listed again: no late copy of a start is carried out', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 200, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 8_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(1_000);
    cell.workers.byAddress.get('one:1')?.crash();
    scheduler.updateWorkers([]);
    await cell.time.advance(5_000);
    restartWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(10_000);
    assert.equal(cell.startsOf('aa').length, 1, 'the task started again');
  });

  // Guards against a term that ends because a call meant for the last incarnation
  // is rejected by the token that the next one was given in the same term.
  test('rejects a start meant for its last incarnation: the term goes on', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(LONG_RUNS, 'one');
    const outcomes: workerClient.CommandOutcome[] = [];
    const start = cell.workers.start.bind(cell.workers);
    cell.workers.start = async (entry, command) => {
      await cell.time.delay(300);
      const outcome = await start(entry, command);
      outcomes.push(outcome);
      return outcome;
    };
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(50);
    restartWorker(cell);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(1_000);
    assert.deepEqual(
      outcomes.map(outcome => outcome.kind === 'rejected' && outcome.reason),
      ['superseded'],
    );
    assert.deepEqual(cell.supersededReasons, []);
  });

  // Guards against a task that runs again because its end was forgotten unseen: an
  // acknowledgement that was sent to the last incarnation again, while another
  // one was held back, waited in the next incarnation when the run ended there.
  test('is back between two renewals: forgets no end that nobody has seen', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 400, outcome: 'done'}), 'one');
    const renewals = trackRenewals(cell);
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(1_000);
    assert.deepEqual(acknowledgedTasks(cell), ['aa.0.0.0']);
    cell.workers.commandDelayMs = () => 20_000;
    jobCell.submit(scheduler, jobCell.jobOf('bb', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(2_000);
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
    while (renewals.inFlightCount > 0) await cell.time.advance(1);
    restartWorker(cell, 'dispatch', 400);
    await cell.time.advance(250);
    jobCell.submit(scheduler, jobCell.jobOf('cc', {}));
    await cell.time.advance(1_000);
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(5_000);
    assert.equal(scheduler.stateOf('orders', 'cc'), 'completed');
    assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    assert.equal(cell.startsOf('cc').length, 1, 'the task ran again');
  });

  // Guards against the same by an acknowledgement that comes late and then waits
  // at a worker that may have restarted since its last answer.
  test('may be back when an acknowledgement is due: the call does not wait', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 400, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    const renewals = trackRenewals(cell);
    await cell.time.advance(200);
    cell.workers.commandDelayMs = () => 20_000;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(100);
    cell.workers.commandDelayMs = () => 0;
    await cell.time.advance(14_000);
    assert.deepEqual(acknowledgedTasks(cell), ['aa.0.0.0']);
    const acknowledging = renewals.commands.filter(
      ({storedEndNumber}) => storedEndNumber > 0,
    );
    assert.deepEqual(
      acknowledging.map(({waitMs}) => waitMs),
      [0],
    );
  });

  // Guards against an end that the next incarnation forgets unseen: an acknowledgement
  // meant for the last incarnation names a number that the next one has not reached.
  test('answers after a silence: no acknowledgement of the last incarnation reaches it', async () => {
    const {cell, scheduler} = await createCell();
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(LONG_RUN_MS + 500);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    const lastIncarnation = cell.workers.byAddress.get('one:1');
    assert.ok(lastIncarnation);
    lastIncarnation.partitioned = true;
    await cell.time.advance(1_500);
    const acknowledged: number[] = [];
    const {workers} = cell;
    const renew = workers.renewLeases.bind(workers);
    workers.renewLeases = (entry, command) => {
      acknowledged.push(command.storedEndNumber);
      return renew(entry, command);
    };
    await cell.time.advance(2_000);
    assert.ok(acknowledged.length > 0);
    assert.deepEqual(
      acknowledged.filter(number => number > 0),
      [],
    );
  });
});
