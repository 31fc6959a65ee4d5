import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fencingToken from '../../src/machines/fencing_token.js';
import * as jobCell from '../support/job_cell.js';

const {describe, test} = nodeTest;

describe('the ends of runs that a worker lists', () => {
  // Guards against a worker whose ends are never acknowledged again after one
  // short cut: a success whose task was started again was withheld for good, and
  // with it all later ends, because acknowledgements are cumulative.
  test('lists a success that came too late: acknowledges it and all later ends', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(jobCell.ONE_SECOND_RUNS, 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(300);
    const unreachable = cell.workers.byAddress.get('one:1');
    assert.ok(unreachable);
    unreachable.partitioned = true;
    cell.addWorkers(() => ({runTimeMs: 20_000, outcome: 'done'}), 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(8_000);
    assert.equal(cell.startsOf('aa').length, 2);
    unreachable.partitioned = false;
    await cell.time.advance(5_000);
    // The second run decides, because the success does not count any more.
    assert.equal(scheduler.stateOf('orders', 'aa'), 'running');
    const [acknowledged] = cell.workers.acknowledgedEnds;
    assert.equal(acknowledged.endKind, 'done');
    assert.equal(acknowledged.leaseLapsed, true, 'counts as the task end');
    // Three tasks fill the other worker, so that the fourth runs here.
    jobCell.submit(scheduler, jobCell.jobOf('bb', {count: 4}));
    await cell.time.advance(3_000);
    assert.ok(cell.startsOf('bb').some(({worker}) => worker === 'one'));
    assert.equal(unreachable.hasEndedRuns, false, 'an end was withheld');
    await cell.time.advance(30_000);
    assert.equal(scheduler.stateOf('orders', 'aa'), 'completed');
    assert.equal(scheduler.stateOf('orders', 'bb'), 'completed');
    assert.equal(cell.startsOf('aa').length, 2);
  });

  // Guards against jobs that stand still for good after one cut of one worker:
  // its list of ends only grew, and a report shows no more than 500 of them.
  test('ends 600 runs after a cut: every job completes', async () => {
    const cell = new jobCell.JobCell();
    const quickRuns = (): {runTimeMs: number; outcome: 'done'} => ({
      runTimeMs: 40,
      outcome: 'done',
    });
    cell.addWorkers(quickRuns, 'one');
    const scheduler = await cell.startTerm(1);
    const worker = cell.workers.byAddress.get('one:1');
    assert.ok(worker);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(6);
    assert.equal(cell.startsOf('aa').length, 1);
    worker.partitioned = true;
    cell.addWorkers(quickRuns, 'two');
    scheduler.updateWorkers(cell.entries);
    await cell.time.advance(8_000);
    worker.partitioned = false;
    await cell.time.advance(1_000);
    const ids = Array.from({length: 150}, (_, index) => `job${index}`);
    for (const id of ids) {
      jobCell.submit(scheduler, jobCell.jobOf(id, {count: 8}));
      await cell.time.advance(200);
    }
    await cell.time.advance(15_000);
    const endsOfOne = cell.workers.events.filter(
      event => event.kind === 'ended' && event.worker === 'one',
    );
    assert.ok(endsOfOne.length > 500, `${endsOfOne.length} ends`);
    const open = ids.filter(
      id => scheduler.stateOf('orders', id) !== 'completed',
    );
    assert.deepEqual(open, []);
  });

  // Guards against a finished task that runs again after a failover: a later
  // report, of ends that needed no storing, let the worker forget an end that was
  // still on its way to the store.
  test('lists ends of unknown tasks: keeps an earlier end until it is stored', async () => {
    const cell = new jobCell.JobCell();
    cell.addWorkers(() => ({runTimeMs: 100, outcome: 'done'}), 'one');
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, jobCell.jobOf('aa', {}));
    await cell.time.advance(50);
    cell.journal.down = true;
    await cell.time.advance(500);
    const worker = cell.workers.byAddress.get('one:1');
    assert.equal(worker?.hasEndedRuns, true);
    worker?.start({
      task: 'unknown.0.0.0',
      run: 1,
      payload: '',
      fencingToken: fencingToken.fencingTokenOf(1, 0),
      deadlineMs: cell.time.now() + 1_000,
      checkpoint: '',
    });
    await cell.time.advance(1_500);
    scheduler.retire();
    cell.journal.down = false;
    const successor = await cell.startTerm(2);
    await cell.time.advance(5_000);
    assert.equal(cell.startsOf('aa').length, 1);
    assert.equal(successor.stateOf('orders', 'aa'), 'completed');
  });

  // Guards against a task that runs again after its success: a report lists 500
  // ends, and a stopped run whose end was not among them counted as not run.
  test('holds more ends than a report lists: a stopped run is not started again', async () => {
    const cell = new jobCell.JobCell();
    const size = {...jobCell.registryEntry('one').capacity, processors: 1e6};
    const worker = cell.addWorker(
      jobCell.registryEntry('one', {capacity: {...size, memory: 1e6}}),
      () => ({runTimeMs: 100, outcome: 'done'}),
    );
    const scheduler = await cell.startTerm(1);
    // The starts of this job are carried out late and not answered.
    const {workers} = cell;
    const start = workers.start.bind(workers);
    workers.start = async (entry, command) => {
      if (!command.task.startsWith('late')) return start(entry, command);
      cell.time.runAt(cell.time.now() + 800, () => worker.start(command));
      await cell.time.delay(600);
      return {kind: 'unanswered', detail: 'lost'};
    };
    jobCell.submit(scheduler, jobCell.jobOf('many', {count: 600}));
    jobCell.submit(scheduler, jobCell.jobOf('late', {}));
    await cell.time.advance(20);
    cell.journal.down = true;
    await cell.time.advance(4_500);
    assert.ok(cell.startsOf('many').length > 500);
    cell.journal.down = false;
    await cell.time.advance(10_000);
    assert.equal(cell.startsOf('late').length, 1);
    assert.equal(scheduler.stateOf('orders', 'late'), 'completed');
    assert.equal(scheduler.stateOf('orders', 'many'), 'completed');
  });
});
