import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobAdmission from '../../src/jobs/job_admission.js';
import * as jobCell from '../support/job_cell.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';

const {describe, test} = nodeTest;

const BATCH_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'batch',
  pathPrefix: '/batch/',
  priority: 2,
  stretch: 4,
};

function batchOf(id: string, step: Partial<job.Step>): job.JobDefinition {
  return {...jobCell.jobOf(id, step), queue: BATCH_QUEUE.name};
}

/** Cell with a scheduler whose event loop a test can slow down. */
class OverloadableCell extends jobCell.JobCell {
  readonly load = {delayMs: 0, times: {active: 0, idle: 0}};

  constructor() {
    super();
    this.loopLoad = this.load;
    this.queues = [jobCell.QUEUE, BATCH_QUEUE];
  }

  /** Submits jobs over some seconds while all work waits for the loop. */
  async overload(scheduler: jobScheduler.JobScheduler): Promise<void> {
    this.load.delayMs = 3_000;
    for (let index = 0; index < 30; index += 1) {
      jobCell.submit(scheduler, jobCell.jobOf(`load-${index}`, {}));
      await this.time.advance(100);
    }
    assert.equal(scheduler.overloaded, true);
  }
}

/** Returns a refused job out of many. */
function findRefused(
  scheduler: jobScheduler.JobScheduler,
  prefix: string,
): job.JobDefinition {
  for (let index = 0; index < 100; index += 1) {
    const definition = jobCell.jobOf(`${prefix}-${index}`, {});
    const {outcome} = jobCell.submit(scheduler, definition);
    if (outcome?.kind === 'refused') return definition;
  }
  throw new Error('no job was refused');
}

describe('an overloaded leader', () => {
  // Guards against telling a caller that its accepted job never runs.
  test('accepts the repeat of a job that it knows', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    const known = Array.from({length: 20}, (_unused, index) =>
      jobCell.jobOf(`known-${index}`, {}),
    );
    for (const definition of known) jobCell.submit(scheduler, definition);
    await cell.time.advance(50);
    await cell.overload(scheduler);
    for (const definition of known) {
      const [screened] = scheduler.screen([
        jobAdmission.toScreenedJob(definition),
      ]);
      assert.equal(screened.refusal, undefined);
      const repeated = jobCell.submit(scheduler, definition);
      assert.deepEqual(repeated.outcome, {kind: 'accepted'});
    }
  });

  // Guards against a job that runs although its caller was told that it never
  // does: an earlier call with the same id arrives after a refused later one.
  test('does not accept a call that a refusal has overtaken', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.overload(scheduler);
    const refused = findRefused(scheduler, 'late');
    cell.load.delayMs = 0;
    cell.load.times = {active: 0, idle: 100_000};
    await cell.time.advance(600);
    const overtaken = jobCell.submit(scheduler, refused);
    assert.equal(overtaken.outcome?.kind, 'refused');
    await cell.time.advance(5_000);
    const returned = jobCell.submit(scheduler, refused);
    await cell.time.advance(100);
    assert.deepEqual(returned.outcome, {kind: 'accepted'});
  });

  // Guards against a cut-off leader that tells a caller that its job never
  // runs, although a successor has accepted it: a refusal needs no write.
  test('refuses nothing without proof of leadership', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.overload(scheduler);
    const {id} = findRefused(scheduler, 'proved');
    cell.hasLeadershipProof = false;
    const definitions = [jobCell.jobOf(id, {})];
    for (let index = 0; index < 20; index += 1) {
      definitions.push(jobCell.jobOf(`unproved-${index}`, {}));
    }
    let unansweredCount = 0;
    for (const definition of definitions) {
      const kinds: string[] = [];
      const isAnswered = scheduler.submit(definition, 1, outcome => {
        kinds.push(outcome.kind);
      });
      assert.ok(!kinds.includes('refused'), definition.id);
      if (!isAnswered) unansweredCount += 1;
    }
    assert.ok(unansweredCount > 0);
  });

  // Guards against a job that is refused for ever, because each refusal that
  // rests on an earlier one extends that one.
  test('accepts a job that returns within a second of its refusal', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.overload(scheduler);
    cell.load.delayMs = 0;
    await cell.time.advance(600);
    const refused = findRefused(scheduler, 'eager');
    cell.load.times = {active: 0, idle: 100_000};
    for (let attempt = 0; attempt < 12; attempt += 1) {
      await cell.time.advance(700);
      jobCell.submit(scheduler, refused);
    }
    await cell.time.advance(100);
    assert.equal(scheduler.overloaded, false);
    const {outcome} = jobCell.submit(scheduler, refused);
    assert.deepEqual(outcome, {kind: 'accepted'});
  });

  // Guards against a wrong division of the refusals among the ranks: a job that
  // is screened and then submitted would weigh twice in its rank.
  test('counts a job that is screened and submitted once', async () => {
    const refusedBatchJobs = async (screens: boolean): Promise<number> => {
      const cell = new OverloadableCell();
      cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
      const scheduler = await cell.startTerm(1);
      cell.load.delayMs = 320;
      for (let index = 0; index < 60; index += 1) {
        jobCell.submit(scheduler, jobCell.jobOf(`urgent-${index}`, {}));
        const batch = batchOf(`batch-${index}`, {});
        const [screened] = screens
          ? scheduler.screen([jobAdmission.toScreenedJob(batch)])
          : [{refusal: undefined}];
        if (!screened.refusal) jobCell.submit(scheduler, batch);
        await cell.time.advance(100);
      }
      const later = Array.from({length: 200}, (_unused, index) =>
        jobAdmission.toScreenedJob(batchOf(`later-${index}`, {})),
      );
      return scheduler.screen(later).filter(({refusal}) => refusal).length;
    };
    const unscreenedCount = await refusedBatchJobs(false);
    assert.ok(unscreenedCount > 0 && unscreenedCount < 200);
    assert.equal(await refusedBatchJobs(true), unscreenedCount);
  });

  // Guards against callers that are told to come back at once.
  test('sends a delay with each refusal', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    await cell.overload(scheduler);
    const {id} = findRefused(scheduler, 'delayed');
    const [{refusal}] = scheduler.screen([
      jobAdmission.toScreenedJob(jobCell.jobOf(id, {})),
    ]);
    assert.equal(refusal?.reason, 'overloaded');
    assert.ok((refusal?.retryAfterSeconds ?? 0) >= 1);
  });

  // Guards against refusing questions and cancels, which cost little and tell
  // callers of accepted jobs what became of them.
  test('answers questions and cancels', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('a1', {longRunning: true}));
    await cell.overload(scheduler);
    assert.equal(scheduler.stateOf('orders', 'a1'), 'running');
    const outcomes: string[] = [];
    scheduler.cancel('orders', 'a1', outcome => outcomes.push(outcome));
    await cell.time.advance(500);
    assert.deepEqual(outcomes, ['cancelled']);
  });
});

describe('a cell without free workers', () => {
  /** Offers twice the capacity of the cell's eight cores for five seconds. */
  async function floodWithOrders(
    cell: OverloadableCell,
    scheduler: jobScheduler.JobScheduler,
    prefix = 'flood',
  ): Promise<ReadonlyArray<string>> {
    const kinds: string[] = [];
    for (let index = 0; index < 80; index += 1) {
      const definition = jobCell.jobOf(`${prefix}-${index}`, {});
      scheduler.submit(definition, 1, outcome => kinds.push(outcome.kind));
      await cell.time.advance(62);
    }
    return kinds;
  }

  // Guards against accepted jobs that can only be served when they have lost
  // their value.
  test('refuses jobs for which no room will be left in time', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    const kinds = await floodWithOrders(cell, scheduler);
    assert.ok(kinds.includes('refused'));
    const batch = jobCell.submit(scheduler, batchOf('b1', {}));
    await cell.time.advance(20);
    assert.deepEqual(batch.outcome, {kind: 'accepted'});
  });

  // Guards against an untrue reason: a process that is not overloaded would
  // blame its load for a refusal that rests on an earlier one.
  test('repeats the reason of a refusal that is in force', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    await floodWithOrders(cell, scheduler);
    let definition = jobCell.jobOf('repeated-0', {});
    let {outcome} = jobCell.submit(scheduler, definition);
    for (let index = 1; outcome?.kind !== 'refused'; index += 1) {
      assert.ok(index < 80, 'no job was refused');
      await cell.time.advance(62);
      definition = jobCell.jobOf(`repeated-${index}`, {});
      outcome = jobCell.submit(scheduler, definition).outcome;
    }
    assert.equal(outcome.reason, 'noRoomInTime');
    const [{refusal}] = scheduler.screen([
      jobAdmission.toScreenedJob(definition),
    ]);
    assert.equal(scheduler.overloaded, false);
    assert.equal(refusal?.reason, 'noRoomInTime');
  });

  // Guards against the same answer of a cut-off leader whose room is used up.
  test('refuses nothing without proof of leadership', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    await floodWithOrders(cell, scheduler);
    cell.hasLeadershipProof = false;
    const kinds = await floodWithOrders(cell, scheduler, 'unproved');
    assert.ok(!kinds.includes('refused'));
  });

  // Guards against refusals in a short peak, which the backlog can absorb.
  test('accepts all jobs of a short peak', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    const outcomes = Array.from({length: 24}, (_unused, index) =>
      jobCell.submit(scheduler, jobCell.jobOf(`peak-${index}`, {})),
    );
    await cell.time.advance(100);
    for (const {outcome} of outcomes) assert.equal(outcome?.kind, 'accepted');
  });

  // Guards against urgent work that is refused because of work behind it.
  test('accepts urgent jobs in a flood of batch work', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    for (let index = 0; index < 40; index += 1) {
      jobCell.submit(scheduler, batchOf(`b${index}`, {count: 4}));
      await cell.time.advance(100);
    }
    const urgent = jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(20);
    assert.deepEqual(urgent.outcome, {kind: 'accepted'});
  });

  // Guards against refusals because of work that can't use the room yet.
  test('counts only work that is ready to run', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(
      scheduler,
      jobCell.jobOf('s1', {count: 8, longRunning: true}),
    );
    for (let index = 0; index < 20; index += 1) {
      const later = {count: 40, after: [0]};
      jobCell.submit(scheduler, jobCell.jobOf(`chain-${index}`, {}, later));
      await cell.time.advance(20);
    }
    await cell.time.advance(300);
    const waiting = jobCell.submit(scheduler, batchOf('b1', {}));
    await cell.time.advance(20);
    assert.deepEqual(waiting.outcome, {kind: 'accepted'});
  });

  // Guards against services and schedules that are refused for want of room
  // at the moment: they have no time by which they must end.
  test('accepts long-running and scheduled jobs', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    await floodWithOrders(cell, scheduler);
    const service = jobCell.submit(
      scheduler,
      jobCell.jobOf('s1', {longRunning: true}),
    );
    const scheduled = jobCell.submit(scheduler, {
      ...jobCell.jobOf('s2', {}),
      schedule: {occurrences: 2, startAtMs: 60_000, intervalMs: 1_000},
    });
    await cell.time.advance(20);
    assert.deepEqual(service.outcome, {kind: 'accepted'});
    assert.deepEqual(scheduled.outcome, {kind: 'accepted'});
  });

  // Guards against hysteresis: refusals while workers are free again.
  test('accepts jobs again once the flood is over', async () => {
    const cell = new OverloadableCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one', 'two');
    const scheduler = await cell.startTerm(1);
    await floodWithOrders(cell, scheduler);
    await cell.time.advance(3_000);
    const later = jobCell.submit(scheduler, jobCell.jobOf('a1', {}));
    await cell.time.advance(20);
    assert.deepEqual(later.outcome, {kind: 'accepted'});
  });
});
