import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as workerReportParser from '../../src/links/worker_report_parser.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
import * as responseTimerSupport from '../support/response_timer.js';
import * as wait from '../support/wait.js';
import * as standInWorker from '../../stand_ins/stand_in_worker.js';
import * as workerLink from '../../src/links/worker_link.js';
import type * as event from '../../src/contracts/event.js';
import type * as task from '../../src/contracts/task.js';

const CAPACITY = {
  processors: 16_000,
  memory: 32_768,
  accelerators: 0,
  slots: 8,
};
const SIZE = {processors: 1_000, memory: 1_024, accelerators: 0, slots: 1};

function taskStart(name: string, payload: string): task.TaskStart {
  return {
    task: name,
    label: {
      identity: `identity-${name}`,
      client: 'workshop-1',
      team: 'dispatch',
      workload: 'polish',
      idempotent: false,
      worth: 1,
    },
    size: SIZE,
    payload,
    leaseEnd: performance.now() + 60_000,
  };
}

/** A link to one worker that records the posted events. */
class WorkerLinkFixture {
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  private readonly clients: ReadonlyArray<pooledHttpClient.PooledHttpClient>;
  readonly link: workerLink.WorkerLink;

  constructor(private readonly address: string) {
    const buildClient = (): pooledHttpClient.PooledHttpClient =>
      new pooledHttpClient.PooledHttpClient({
        timer: responseTimerSupport.createResponseTimer(),
        connections: {minimum: 1, initial: 4, maximum: 8},
        probePath: '/report',
        onSilent: () => this.metrics.count('silent', {}, 1),
      });
    this.clients = [buildClient(), buildClient()];
    this.link = new workerLink.WorkerLink({
      client: this.clients[0],
      answerClient: this.clients[1],
      post: posted => void this.posted.push(posted),
      now: () => performance.now(),
      metrics: this.metrics,
    });
  }

  start(name: string, payload: string): Promise<void> {
    const start = taskStart(name, payload);
    const {address} = this;
    return this.link.perform({kind: 'startTask', worker: 'w', address, start});
  }

  fetch(name: string): Promise<void> {
    const {address} = this;
    const kind = 'fetchTaskAnswer';
    return this.link.perform({kind, worker: 'w', address, task: name});
  }

  readReport(): Promise<void> {
    const {address} = this;
    return this.link.perform({kind: 'readReport', worker: 'w', address});
  }

  last(): event.Event | undefined {
    return this.posted.at(-1);
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()));
  }
}

function createStandInWorker(): standInWorker.StandInWorker {
  return new standInWorker.StandInWorker({
    name: 'w',
    rack: 'r',
    capacity: CAPACITY,
    runTimeMs: 5,
  });
}

nodeTest.describe('starts of tasks', () => {
  // Guards against a start that counts as refused, and is sent to another
  // worker, although the task may run.
  nodeTest.test('a start is refused only if it never ran', async () => {
    const standIn = createStandInWorker();
    const fixture = new WorkerLinkFixture(await standIn.listen());
    await fixture.start('t1', '');
    assert.equal(startAnswerOf(fixture), 'started');
    standIn.updateFailures({losesStartAnswers: true});
    await fixture.start('t2', '');
    assert.equal(startAnswerOf(fixture), 'lost');
    standIn.close();
    await fixture.start('t3', '');
    assert.equal(startAnswerOf(fixture), 'refused');
    await fixture.close();
  });
});

function startAnswerOf(fixture: WorkerLinkFixture): string | undefined {
  const last = fixture.last();
  return last?.kind === 'startAnswered' ? last.answer : undefined;
}

nodeTest.describe('answers of tasks', () => {
  // Guards against answers that are mixed up between concurrent fetches.
  nodeTest.test('each fetch gets the answer of its task', async () => {
    const standIn = createStandInWorker();
    const fixture = new WorkerLinkFixture(await standIn.listen());
    await Promise.all(
      ['a', 'b', 'c'].map(name =>
        fixture.start(name, `{"answer":"of ${name}"}`),
      ),
    );
    await Promise.all(['c', 'a', 'b'].map(name => fixture.fetch(name)));
    for (const name of ['a', 'b', 'c']) {
      const arrived = fixture.posted.find(
        item => item.kind === 'taskAnswerArrived' && item.task === name,
      );
      assert.equal(
        arrived?.kind === 'taskAnswerArrived' && arrived.answer,
        `of ${name}`,
      );
    }
    await fixture.close();
    standIn.close();
  });

  // Guards against a caller that gets the answer of another task because the
  // worker confused them.
  nodeTest.test(
    'an answer that names another task counts as lost',
    async () => {
      const server = new standInServer.StandInServer({
        serve: call =>
          call.send(200, {task: 'other', state: 'finished', answer: 'x'}),
        control: () => {},
        observe: () => ({}),
      });
      const fixture = new WorkerLinkFixture(await server.listen(0));
      await fixture.fetch('mine');
      assert.equal(fixture.last()?.kind, 'taskAnswerLost');
      await fixture.close();
      server.close();
    },
  );

  // Guards against an endless wait for an answer on a silent connection: the
  // reports of the worker show that the task has ended.
  nodeTest.test('an overdue fetch is aborted and can be retried', async () => {
    const standIn = createStandInWorker();
    const fixture = new WorkerLinkFixture(await standIn.listen());
    await fixture.start('t', '{"runTimeMs": 300}');
    const fetched = fixture.fetch('t');
    await wait.until('the call', async () =>
      standIn.connectionCount() >= 2 ? true : undefined,
    );
    standIn.silenceConnections();
    const reports = wait.until('the overdue answer', async () => {
      await fixture.readReport();
      const key = 'silent_connection worker answer_overdue';
      return fixture.metrics.total(key) > 0 ? true : undefined;
    });
    await Promise.all([fetched, reports]);
    assert.equal(
      fixture.posted.some(item => item.kind === 'taskAnswerLost'),
      true,
    );
    await fixture.fetch('t');
    assert.equal(fixture.last()?.kind, 'taskAnswerArrived');
    await fixture.close();
    standIn.close();
  });
});

nodeTest.describe('reports', () => {
  const good = {
    workerClock: 5,
    capacity: CAPACITY,
    rack: 'r',
    leaving: false,
    tasks: [
      {
        task: 't',
        label: taskStart('t', '').label,
        state: 'running',
        size: SIZE,
        usage: SIZE,
        leaseEnd: 9,
      },
    ],
  };

  // Guards against a check that rejects valid reports.
  nodeTest.test('a valid report is accepted', () => {
    const read = workerReportParser.parseWorkerReport(
      'w',
      JSON.stringify(good),
    );
    assert.deepEqual(read, {...good, worker: 'w'});
  });

  // Guards against a malformed field that reaches the decision core.
  nodeTest.test('a report with any malformed part is rejected', () => {
    const [first] = good.tasks;
    const bad: ReadonlyArray<unknown> = [
      {...good, workerClock: null},
      {...good, capacity: {...CAPACITY, slots: -1}},
      {...good, capacity: {processors: 1}},
      {...good, leaving: 'no'},
      {...good, tasks: {}},
      {...good, tasks: [{...first, state: 'lost'}]},
      {...good, tasks: [{...first, usage: undefined}]},
      {...good, tasks: [{...first, label: {...first.label, identity: ''}}]},
      {...good, tasks: [first, first]},
      [],
    ];
    for (const raw of bad) {
      const read = workerReportParser.parseWorkerReport(
        'w',
        JSON.stringify(raw),
      );
      assert.equal(read, undefined, JSON.stringify(raw));
    }
  });

  // Guards against a malformed report that counts as proof of a live worker.
  nodeTest.test('a malformed report counts as failed', async () => {
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, {...good, tasks: [{}]}),
      control: () => {},
      observe: () => ({}),
    });
    const fixture = new WorkerLinkFixture(await server.listen(0));
    await fixture.readReport();
    assert.deepEqual(fixture.last(), {kind: 'reportFailed', worker: 'w'});
    assert.equal(fixture.metrics.total('malformed_report w'), 1);
    await fixture.close();
    server.close();
  });
});
