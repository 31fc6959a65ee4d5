import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fencingToken from '../../src/machines/fencing_token.js';
import * as jobCell from '../support/job_cell.js';
import * as recordedCounters from '../support/recorded_counters.js';
import type * as workerClient from '../../src/machines/worker_client.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const LONG_RUNS: workerModel.RunPlan = () => ({
  runTimeMs: 20_000,
  outcome: 'done',
});

type Fields = Readonly<Record<string, unknown>>;

/** Cell of workers `one` and `two` that records lines and counts. */
class MonitoredCell {
  readonly cell = new jobCell.JobCell();
  readonly counters = new recordedCounters.RecordedCounters();
  private readonly lines: Array<{level: string; name: string; fields: Fields}> =
    [];

  constructor() {
    // A queue of each worker's service, so that both are workers of the cell.
    const annex = {service: 'annex', name: 'annex', pathPrefix: '/annex/'};
    this.cell.queues = [jobCell.QUEUE, {...jobCell.QUEUE, ...annex}];
    this.cell.addWorkers(LONG_RUNS, 'one');
    this.cell.addWorker(
      jobCell.registryEntry('two', {service: 'annex'}),
      LONG_RUNS,
    );
    this.cell.counters = this.counters;
    this.cell.log = {
      event: (level, name, fields) => this.lines.push({level, name, fields}),
    };
  }

  linesOf(name: string): ReadonlyArray<{level: string; fields: Fields}> {
    return this.lines.filter(line => line.name === name);
  }

  /** Lets each start leave `delayMs` after the client has been given it. */
  delaySending(delayMs: number): void {
    const {time, workers} = this.cell;
    this.cell.workerClient = {
      start: async (
        ...[entry, command, maySend]: Parameters<
          workerClient.WorkerClient['start']
        >
      ) => {
        await time.delay(delayMs);
        return workers.start(entry, command, maySend);
      },
      stop: (...call) => workers.stop(...call),
      throttle: (...call) => workers.throttle(...call),
      renewLeases: (entry, command) => workers.renewLeases(entry, command),
    };
  }
}

describe('the age of starts', () => {
  // Guards against starts that leave long after their decision unseen.
  test('a start that leaves late is counted by age and logged', async () => {
    const monitored = new MonitoredCell();
    const {cell, counters} = monitored;
    monitored.delaySending(1_500);
    const scheduler = await cell.startTerm(7);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(2_000);
    assert.equal(counters.get('starts_sent', 'first.under3s'), 1);
    const [line] = monitored.linesOf('startSentLate');
    assert.equal(line.level, 'warn');
    assert.deepEqual(line.fields, {
      task: 'aa.0.0.0',
      run: 1,
      worker: 'one',
      born: 1,
      term: 7,
      copy: 'first',
      ageMs: 1_500,
      omitted: 0,
    });
  });

  // Guards against a line for each of many held-up starts.
  test('a series of late starts writes a bounded number of lines', async () => {
    const monitored = new MonitoredCell();
    const {cell, counters} = monitored;
    monitored.delaySending(1_500);
    const scheduler = await cell.startTerm(7);
    await cell.time.advance(200);
    const size = {...jobCell.STEP.size, processors: 100, memory: 100};
    jobCell.submit(scheduler, jobCell.jobOf('aa', {count: 30, size}));
    await cell.time.advance(2_000);
    assert.equal(counters.get('starts_sent', 'first.under3s'), 30);
    assert.equal(monitored.linesOf('startSentLate').length, 10);
  });

  // Guards against repeats that can't be told from first copies.
  test('a repeat is counted apart from the first copy', async () => {
    const monitored = new MonitoredCell();
    const {cell, counters} = monitored;
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(200);
    const model = cell.workers.byAddress.get('one:1');
    assert.ok(model);
    model.losesAnswers = true;
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(700);
    assert.equal(counters.get('starts_sent', 'first.under100ms'), 1);
    assert.equal(counters.get('starts_sent', 'repeat.under1s'), 1);
    assert.deepEqual(monitored.linesOf('startSentLate'), []);
  });
});

describe('a run that this term did not start', () => {
  // Guards against a takeover whose adopted runs leave no trace.
  test('of a task that waits is kept, and counted as such', async () => {
    const monitored = new MonitoredCell();
    const {cell, counters} = monitored;
    const scheduler = await cell.startTerm(2);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(200);
    scheduler.retire();
    await cell.startTerm(3);
    await cell.time.advance(200);
    assert.equal(counters.get('runs_adopted', 'waiting.kept'), 1);
    const [line] = monitored.linesOf('runAdopted');
    assert.equal(line.level, 'info');
    assert.equal(line.fields.term, 3);
    assert.equal(line.fields.runTerm, undefined);
    assert.equal(line.fields.action, 'kept');
  });

  // Guards against a second run of a task that is stopped without a trace.
  test('of a task that runs elsewhere is stopped, with a warning', async () => {
    const monitored = new MonitoredCell();
    const {cell, counters} = monitored;
    const scheduler = await cell.startTerm(2);
    await cell.time.advance(200);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(200);
    const other = cell.workers.byAddress.get('two:1');
    other?.start({
      task: 'aa.0.0.0',
      run: 130,
      payload: 'payload of aa',
      fencingToken: fencingToken.fencingTokenOf(2, 0),
      deadlineMs: cell.time.now() + 5_000,
      checkpoint: '',
    });
    await cell.time.advance(1_000);
    assert.equal(counters.get('runs_adopted', 'assigned.stopped'), 1);
    const [line] = monitored.linesOf('runAdopted');
    assert.equal(line.level, 'warn');
    assert.deepEqual(line.fields, {
      task: 'aa.0.0.0',
      run: 130,
      worker: 'two',
      born: 1,
      term: 2,
      runTerm: 2,
      taskState: 'assigned',
      otherRun: 1,
      otherWorker: 'one',
      action: 'stopped',
      omitted: 0,
    });
  });
});
