import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCodec from '../../src/links/configuration_codec.js';
import * as jobCell from '../support/job_cell.js';
import * as storedQueueMerger from '../../src/links/stored_queue_merger.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';

const {describe, test} = nodeTest;

const HOST = 'orders.example';

/** Queue at a path, as the operator's configuration names and places it. */
interface Route {
  readonly label: string;
  readonly pathPrefix: string;
  readonly service?: string;
}

function configurationOf(
  version: number,
  ...routes: ReadonlyArray<Route>
): job.OperatorConfiguration {
  return configurationCodec
    .checkConfiguration({
      version,
      queues: routes.map(({label, pathPrefix, service}) => ({
        ...jobCell.QUEUE,
        name: label,
        host: HOST,
        pathPrefix,
        service: service ?? jobCell.QUEUE.service,
      })),
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    })
    .unsafeCoerce();
}

/** Name of the queue that serves a path in a configuration. */
function nameAt(
  configuration: job.OperatorConfiguration,
  path: string,
): string {
  const queue = configuration.queues.find(
    ({pathPrefix}) => pathPrefix === path,
  );
  assert.notEqual(queue, undefined, `no queue at ${path}`);
  return (queue as job.Queue).name;
}

/** Job of one step after another, of a second each. */
function chainOf(id: string, queue: string, length: number): job.JobDefinition {
  const steps = Array.from({length}, (_unused, index) => ({
    after: index === 0 ? [] : [index - 1],
  }));
  return {...jobCell.jobOf(id, ...steps), queue};
}

/** Scheduler that has accepted a job at a path of its configuration. */
class RenamedQueueCell extends jobCell.JobCell {
  async accept(
    configuration: job.OperatorConfiguration,
    path: string,
    id: string,
  ): Promise<jobScheduler.JobScheduler> {
    this.addWorkers(jobCell.ONE_SECOND_RUNS, 'w1');
    this.configurationVersion = configuration.version;
    this.queues = configuration.queues;
    const scheduler = await this.startTerm(1);
    const queue = nameAt(configuration, path);
    const submitted = jobCell.submit(scheduler, chainOf(id, queue, 4));
    await this.time.advance(500);
    assert.equal(submitted.outcome?.kind, 'accepted');
    return scheduler;
  }
}

const FIRST = configurationOf(1, {label: 'a', pathPrefix: '/x/'});

describe('the job of a queue that is renamed', () => {
  // Guards against a 410 for an accepted job, whose route has another name in
  // the newest configuration and the same host and path.
  test('stays known to its caller, and is cancelled by it', async () => {
    const cell = new RenamedQueueCell();
    const scheduler = await cell.accept(FIRST, '/x/', 'chain');
    const renamed = configurationOf(2, {label: 'b', pathPrefix: '/x/'});
    scheduler.configure(renamed);
    const queue = nameAt(renamed, '/x/');
    assert.equal(scheduler.stateOf(queue, 'chain'), 'running');
    let outcome: jobScheduler.CancelOutcome | undefined;
    scheduler.cancel(queue, 'chain', value => (outcome = value));
    await cell.time.advance(1_000);
    assert.equal(outcome, 'cancelled');
    const startCount = cell.startsOf('chain').length;
    await cell.time.advance(5_000);
    assert.equal(cell.startsOf('chain').length, startCount);
  });

  // Guards against a successor that restores a job under a name which no queue
  // of its configuration has.
  test('stays known to a successor', async () => {
    const cell = new RenamedQueueCell();
    const scheduler = await cell.accept(FIRST, '/x/', 'chain');
    scheduler.retire();
    const renamed = configurationOf(2, {label: 'b', pathPrefix: '/x/'});
    cell.configurationVersion = 2;
    cell.queues = renamed.queues;
    const successor = await cell.startTerm(2);
    await cell.time.advance(15_000);
    const queue = nameAt(renamed, '/x/');
    assert.equal(successor.stateOf(queue, 'chain'), 'completed');
  });

  // Guards against a count of waiting jobs that a new name sets to nothing.
  test('counts as pending while it waits', async () => {
    const cell = new jobCell.JobCell();
    cell.queues = FIRST.queues;
    const scheduler = await cell.startTerm(1);
    jobCell.submit(scheduler, chainOf('job', nameAt(FIRST, '/x/'), 1));
    await cell.time.advance(500);
    const renamed = configurationOf(2, {label: 'b', pathPrefix: '/x/'});
    scheduler.configure(renamed);
    assert.equal(scheduler.countPending(nameAt(renamed, '/x/')), 1);
  });
});

describe('the job of a path', () => {
  const TWO = configurationOf(
    1,
    {label: 'a', pathPrefix: '/x/'},
    {label: 'b', pathPrefix: '/y/'},
  );

  // Guards against a job that is found at another path than that of its caller,
  // and not at its own, once two routes have swapped paths.
  test('is found at that path only after two queues swap paths', async () => {
    const cell = new RenamedQueueCell();
    const scheduler = await cell.accept(TWO, '/x/', 'chain');
    const swapped = configurationOf(
      2,
      {label: 'a', pathPrefix: '/y/'},
      {label: 'b', pathPrefix: '/x/'},
    );
    scheduler.configure(swapped);
    assert.equal(scheduler.stateOf(nameAt(swapped, '/x/'), 'chain'), 'running');
    const other = nameAt(swapped, '/y/');
    assert.equal(scheduler.stateOf(other, 'chain'), undefined);
    // Guards against a POST that is answered 200 and a GET that finds nothing.
    const submitted = jobCell.submit(scheduler, chainOf('chain', other, 1));
    await cell.time.advance(100);
    assert.deepEqual(submitted.outcome, {
      kind: 'refused',
      reason: 'idInUse',
      retryAfterSeconds: 0,
    });
  });

  // Guards against tasks on the service that the operator has taken the path
  // away from, because the queue there has another name now.
  test('goes on at the service to which the path moves', async () => {
    const cell = new RenamedQueueCell();
    cell.addWorker(jobCell.registryEntry('new', {service: 'annex'}));
    const scheduler = await cell.accept(FIRST, '/x/', 'chain');
    scheduler.configure(
      configurationOf(2, {label: 'b', pathPrefix: '/x/', service: 'annex'}),
    );
    await cell.time.advance(8_000);
    const [first, ...others] = cell.startsOf('chain').map(({worker}) => worker);
    assert.equal(first, 'w1');
    assert.deepEqual(others, ['new', 'new', 'new']);
  });

  // Guards against a job that is unknown after its path was removed for a while.
  test('is known again when the path comes back under another name', async () => {
    const cell = new RenamedQueueCell();
    const scheduler = await cell.accept(TWO, '/x/', 'chain');
    scheduler.configure(configurationOf(2, {label: 'b', pathPrefix: '/y/'}));
    await cell.time.advance(5_000);
    const back = configurationOf(
      3,
      {label: 'b', pathPrefix: '/y/'},
      {label: 'c', pathPrefix: '/x/'},
    );
    scheduler.configure(back);
    assert.equal(scheduler.stateOf(nameAt(back, '/x/'), 'chain'), 'completed');
  });

  // Guards against members of an earlier version, which pass the name that the
  // operator gives the queue.
  test('is found by the label of its queue', async () => {
    const cell = new RenamedQueueCell();
    const scheduler = await cell.accept(FIRST, '/x/', 'chain');
    assert.equal(scheduler.stateOf('a', 'chain'), 'running');
    const repeated = jobCell.submit(scheduler, chainOf('chain', 'a', 4));
    assert.equal(repeated.outcome?.kind, 'accepted');
  });
});

describe('stored queues', () => {
  // Guards against jobs of an earlier version that no caller finds any more.
  test('of an earlier version keep their jobs under the new name', () => {
    const merger = new storedQueueMerger.StoredQueueMerger();
    const stored = {...jobCell.QUEUE, name: 'a'};
    const renamed = {...stored, label: 'b', name: 'orders.example/orders/'};
    merger.add({version: 4, queue: renamed});
    merger.add({version: 3, queue: stored});
    assert.equal(merger.nameOf('a'), renamed.name);
    assert.equal(merger.nameOf(renamed.name), renamed.name);
    assert.deepEqual(merger.merged(), [{version: 4, queue: renamed}]);
  });
});
