import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as workerReportParser from '../../src/links/worker_report_parser.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
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

/** A link to one worker, with what it posts. */
class Bench {
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  private readonly callers: ReadonlyArray<pooledHttpClient.PooledHttpClient>;
  readonly link: workerLink.WorkerLink;

  constructor(private readonly address: string) {
    const caller = (): pooledHttpClient.PooledHttpClient =>
      new pooledHttpClient.PooledHttpClient({
        connections: {minimum: 1, initial: 4, maximum: 8},
        probePath: '/report',
        onSilent: () => this.metrics.count('silent', {}, 1),
      });
    this.callers = [caller(), caller()];
    this.link = new workerLink.WorkerLink({
      client: this.callers[0],
      answerClient: this.callers[1],
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
    await Promise.all(this.callers.map(caller => caller.close()));
  }
}

function standIn(): standInWorker.StandInWorker {
  return new standInWorker.StandInWorker({
    name: 'w',
    rack: 'r',
    capacity: CAPACITY,
    runTimeMs: 5,
  });
}

nodeTest.describe('starts', () => {
  nodeTest.test('each answer tells what is proved', async () => {
    const machine = standIn();
    const bench = new Bench(await machine.listen());
    await bench.start('t1', '');
    assert.equal(answerOf(bench), 'started');
    machine.updateFailures({losesStartAnswers: true});
    await bench.start('t2', '');
    assert.equal(answerOf(bench), 'lost');
    machine.close();
    await bench.start('t3', '');
    assert.equal(answerOf(bench), 'refused');
    await bench.close();
  });
});

function answerOf(bench: Bench): string | undefined {
  const last = bench.last();
  return last?.kind === 'startAnswered' ? last.answer : undefined;
}

nodeTest.describe('answers of tasks', () => {
  nodeTest.test('a task gets its own answer', async () => {
    const machine = standIn();
    const bench = new Bench(await machine.listen());
    await Promise.all(
      ['a', 'b', 'c'].map(name => bench.start(name, `{"answer":"of ${name}"}`)),
    );
    await Promise.all(['c', 'a', 'b'].map(name => bench.fetch(name)));
    for (const name of ['a', 'b', 'c']) {
      const arrived = bench.posted.find(
        item => item.kind === 'taskAnswerArrived' && item.task === name,
      );
      assert.equal(
        arrived?.kind === 'taskAnswerArrived' && arrived.answer,
        `of ${name}`,
      );
    }
    await bench.close();
    machine.close();
  });

  // Guards against a client that gets the answer of another task.
  nodeTest.test('an answer that names another task is lost', async () => {
    const server = new standInServer.StandInServer({
      serve: call =>
        call.send(200, {task: 'other', state: 'finished', answer: 'x'}),
      control: () => {},
      observe: () => ({}),
    });
    const bench = new Bench(await server.listen(0));
    await bench.fetch('mine');
    assert.equal(bench.last()?.kind, 'taskAnswerLost');
    await bench.close();
    server.close();
  });

  // Guards against a wait without end for an answer that can't arrive.
  nodeTest.test('a silent wait ends when reports show the end', async () => {
    const machine = standIn();
    const bench = new Bench(await machine.listen());
    await bench.start('t', '{"runTimeMs": 300}');
    const fetched = bench.fetch('t');
    await wait.until('the call', async () =>
      machine.connectionCount() >= 2 ? true : undefined,
    );
    machine.silenceConnections();
    const reports = wait.until('the overdue answer', async () => {
      await bench.readReport();
      const key = 'silent_connection worker answer_overdue';
      return bench.metrics.total(key) > 0 ? true : undefined;
    });
    await Promise.all([fetched, reports]);
    assert.equal(
      bench.posted.some(item => item.kind === 'taskAnswerLost'),
      true,
    );
    await bench.fetch('t');
    assert.equal(bench.last()?.kind, 'taskAnswerArrived');
    await bench.close();
    machine.close();
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

  nodeTest.test('a good report passes', () => {
    const read = workerReportParser.parseWorkerReport(
      'w',
      JSON.stringify(good),
    );
    assert.deepEqual(read, {...good, worker: 'w'});
  });

  nodeTest.test('no report with a malformed part passes', () => {
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

  nodeTest.test('a malformed report is counted as failed', async () => {
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, {...good, tasks: [{}]}),
      control: () => {},
      observe: () => ({}),
    });
    const bench = new Bench(await server.listen(0));
    await bench.readReport();
    assert.deepEqual(bench.last(), {kind: 'reportFailed', worker: 'w'});
    assert.equal(bench.metrics.total('malformed_report w'), 1);
    await bench.close();
    server.close();
  });
});
