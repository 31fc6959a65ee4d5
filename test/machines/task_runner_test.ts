import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fleet from '../../src/machines/fleet.js';
import * as contractSamples from '../support/contract_samples.js';
import * as taskRunner from '../../src/machines/task_runner.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as task from '../../src/contracts/task.js';
import type * as workload from '../../src/contracts/workload.js';

/** The worker's clock is this far ahead of the local one. */
const OFFSET = 50_000;

/** A runner with one worker, whose time and permit the test sets. */
class Bench {
  now = 0;
  permitEnd = 4_000;
  readonly workers = new fleet.Fleet();
  readonly worker = this.workers.ensure({
    name: 'worker-1',
    zone: 'kigali-a',
    address: 'worker-1:1',
  });
  readonly runner = new taskRunner.TaskRunner(this.workers, {
    permitEnd: () => this.permitEnd,
    owns: () => true,
  });

  constructor() {
    this.report([]);
  }

  start(
    change: Partial<workload.Workload> = {},
    name = 'id/0.1',
  ): taskRunner.RunnerOutput {
    const request = contractSamples.buildRequest('id', change);
    const label = contractSamples.buildTaskReport(name, 'id').label;
    this.worker.reserve({task: name, label, size: request.size});
    const {size} = request;
    this.runner.trackHeld({request, task: name, worker: this.worker, size});
    return this.runner.start(name, Infinity, this.now);
  }

  answerStart(answer: 'started' | 'refused' | 'lost'): taskRunner.RunnerOutput {
    return this.handle({
      kind: 'startAnswered',
      worker: 'worker-1',
      task: 'id/0.1',
      answer,
      detail: '',
    });
  }

  report(
    tasks: ReadonlyArray<task.TaskReport>,
    sentAt = this.now,
  ): taskRunner.RunnerOutput {
    const report = contractSamples.buildReport(this.now + OFFSET, tasks);
    return this.handle({kind: 'reportArrived', report, sentAt});
  }

  answer(name: string, worker = 'worker-1'): taskRunner.RunnerOutput {
    const state = 'finished';
    const answer = 'polished';
    return this.handle({
      kind: 'taskAnswerArrived',
      worker,
      task: name,
      state,
      answer,
    });
  }

  pass(milliseconds: number): taskRunner.RunnerOutput {
    this.now += milliseconds;
    return this.handle({kind: 'timePassed'});
  }

  handle(handled: event.Event): taskRunner.RunnerOutput {
    return this.runner.handle(handled, this.now);
  }
}

function kinds(turn: taskRunner.RunnerOutput): ReadonlyArray<string> {
  return turn.outcomes.map(outcome => outcome.kind);
}

function effectsOf<Kind extends effect.Effect['kind']>(
  turn: taskRunner.RunnerOutput,
  kind: Kind,
): ReadonlyArray<effect.Effect & {readonly kind: Kind}> {
  return turn.effects.filter(
    (item): item is effect.Effect & {readonly kind: Kind} => item.kind === kind,
  );
}

nodeTest.describe('start of a task', () => {
  nodeTest.test(
    'carries a lease that ends with the permit on the worker clock, so that ' +
      'a delayed start of a succeeded owner does not run',
    () => {
      const bench = new Bench();
      bench.permitEnd = 2_000;
      const [sent] = effectsOf(bench.start(), 'startTask');
      assert.ok(sent.start.leaseEnd <= 2_000 + OFFSET);
      assert.ok(sent.start.leaseEnd > 1_900 + OFFSET);
    },
  );

  nodeTest.test(
    'is not sent when the permit ended after the placement, so that no start ' +
      'comes from a process that has been succeeded',
    () => {
      const bench = new Bench();
      bench.now = 4_000;
      const turn = bench.start();
      assert.deepEqual(kinds(turn), ['notRun']);
      assert.deepEqual(effectsOf(turn, 'startTask'), []);
      assert.equal(bench.worker.reservations().size, 0);
    },
  );

  nodeTest.test(
    'is refused and reported when an earlier start of a non-idempotent ' +
      'request is not proved not run',
    () => {
      const bench = new Bench();
      bench.start();
      const again = bench.start({}, 'id/0.2');
      assert.deepEqual(effectsOf(again, 'startTask'), []);
      const [violated] = effectsOf(again, 'count');
      assert.deepEqual(violated.labels, {name: 'startedOnce'});
    },
  );
});

nodeTest.describe('start on a worker that has not been heard from', () => {
  nodeTest.test(
    'is not sent, so that a worker whose news is lost gets no new task when ' +
      'it may have been leaving for seconds',
    () => {
      const bench = new Bench();
      bench.permitEnd = 60_000;
      bench.now = 4_001;
      const late = bench.start();
      assert.equal(effectsOf(late, 'startTask').length, 0);
      assert.deepEqual(kinds(late), ['notRun']);
      bench.report([]);
      assert.equal(effectsOf(bench.start(), 'startTask').length, 1);
    },
  );
});

nodeTest.describe('lost start answer', () => {
  nodeTest.test(
    'stays unknown while the worker clock is within the start lease, so that ' +
      'a start that is still on its way is not repeated',
    () => {
      const bench = new Bench();
      bench.start();
      assert.deepEqual(kinds(bench.answerStart('lost')), ['unknown']);
      bench.now = 2_900;
      assert.deepEqual(kinds(bench.report([])), []);
      bench.now = 3_100;
      assert.deepEqual(kinds(bench.report([])), ['notRun']);
      assert.equal(bench.worker.reservations().size, 0);
    },
  );

  nodeTest.test(
    'is never taken for "not run" once ended tasks may have left the report',
    () => {
      const bench = new Bench();
      bench.start();
      bench.answerStart('lost');
      bench.now = 600_000;
      assert.deepEqual(kinds(bench.report([])), []);
    },
  );

  nodeTest.test('of a listed task counts as a start', () => {
    const bench = new Bench();
    bench.start();
    bench.answerStart('lost');
    bench.now = 500;
    const turn = bench.report([
      contractSamples.buildTaskReport('id/0.1', 'id'),
    ]);
    assert.deepEqual(kinds(turn), ['started']);
    assert.equal(effectsOf(turn, 'fetchTaskAnswer').length, 1);
  });
});

nodeTest.describe('renewal', () => {
  nodeTest.test(
    'is one message a worker and is left out without a permit, so that no ' +
      'renewal comes from a process that has been succeeded',
    () => {
      const bench = new Bench();
      bench.start({idempotent: true});
      bench.start({idempotent: true}, 'id/1.1');
      const listed = ['id/0.1', 'id/1.1'].map(name =>
        contractSamples.buildTaskReport(name, 'id'),
      );
      bench.report(listed);
      const [renewal, ...more] = effectsOf(bench.pass(600), 'renewLeases');
      assert.deepEqual(renewal.tasks, ['id/0.1', 'id/1.1']);
      assert.deepEqual(more, []);
      bench.permitEnd = 0;
      for (let second = 0; second < 12; second += 1) {
        bench.report(listed);
        assert.deepEqual(effectsOf(bench.pass(1_000), 'renewLeases'), []);
      }
      assert.ok(bench.runner.nextDeadline() > bench.now);
    },
  );
});

nodeTest.describe('task on a silent worker', () => {
  nodeTest.test(
    'keeps its room until its lease has ended by the slowest worker clock, ' +
      'so that it does not run in two places',
    () => {
      const bench = new Bench();
      bench.start({idempotent: true});
      bench.answerStart('started');
      bench.pass(600);
      bench.permitEnd = Infinity;
      assert.deepEqual(kinds(bench.pass(29_900)), []);
      assert.equal(bench.worker.reservations().size, 1);
      const turn = bench.pass(200);
      assert.deepEqual(kinds(turn), ['ended']);
      assert.equal(bench.worker.reservations().size, 0);
    },
  );

  nodeTest.test(
    'is not given up without a permit, because a new owner may renew it',
    () => {
      const bench = new Bench();
      bench.start({idempotent: true});
      bench.answerStart('started');
      assert.deepEqual(kinds(bench.pass(120_000)), []);
    },
  );

  nodeTest.test(
    'stays unknown when it is not idempotent, and a later report decides',
    () => {
      const bench = new Bench();
      bench.start();
      bench.answerStart('lost');
      bench.permitEnd = Infinity;
      assert.deepEqual(kinds(bench.pass(5_000)), ['unknown']);
      assert.equal(bench.worker.reservations().size, 0);
      const state = 'finished';
      const listed = contractSamples.buildTaskReport('id/0.1', 'id', {state});
      const turn = bench.report([listed]);
      assert.equal(effectsOf(turn, 'fetchTaskAnswer').length, 1);
      assert.deepEqual(kinds(bench.answer('id/0.1')), ['ended']);
    },
  );
});

nodeTest.describe('answer of a task', () => {
  nodeTest.test('is dropped and counted when it comes from elsewhere', () => {
    const bench = new Bench();
    bench.start();
    bench.answerStart('started');
    for (const turn of [
      bench.answer('id/0.1', 'worker-2'),
      bench.answer('other/0.1'),
    ]) {
      assert.deepEqual(kinds(turn), []);
      assert.equal(effectsOf(turn, 'count')[0].metric, 'answer_dropped');
    }
  });

  nodeTest.test('is fetched again on a new call after it was lost', () => {
    const bench = new Bench();
    bench.start();
    bench.answerStart('started');
    const lost = {kind: 'taskAnswerLost', worker: 'worker-1'} as const;
    bench.handle({...lost, task: 'id/0.1'});
    bench.now = 1_000;
    const state = 'finished';
    const listed = contractSamples.buildTaskReport('id/0.1', 'id', {state});
    const turn = bench.report([listed]);
    assert.equal(effectsOf(turn, 'fetchTaskAnswer').length, 1);
    const [ended] = bench.answer('id/0.1').outcomes;
    assert.equal(ended.kind === 'ended' && ended.answer, 'polished');
  });

  nodeTest.test(
    'counts as lost, and the task as run, when two reports lack the task',
    () => {
      const bench = new Bench();
      bench.start();
      bench.answerStart('started');
      bench.now = 1_000;
      assert.deepEqual(kinds(bench.report([])), []);
      bench.now = 2_000;
      const [ended] = bench.report([]).outcomes;
      assert.equal(ended.kind === 'ended' && ended.end, 'answerLost');
    },
  );
});

nodeTest.describe('adoption', () => {
  nodeTest.test(
    'reserves the room of found tasks at once and gives it back at their ' +
      'end, so that a worker that was taken over is not overcommitted',
    () => {
      const bench = new Bench();
      const found = contractSamples.buildTaskReport('old/0.1', 'old');
      const turn = bench.report([found]);
      assert.deepEqual(kinds(turn), ['adopted']);
      assert.equal(bench.worker.reservations().size, 1);
      assert.equal(effectsOf(turn, 'fetchTaskAnswer').length, 1);
      bench.now = 500;
      assert.deepEqual(kinds(bench.answer('old/0.1')), ['ended']);
      assert.equal(bench.worker.reservations().size, 0);
      const late = bench.report([found], 400);
      assert.deepEqual(kinds(late), [], 'an older report adopts nothing');
    },
  );

  nodeTest.test('precedes every placement on a worker', () => {
    const bench = new Bench();
    const workers = new fleet.Fleet();
    workers.ensure({name: 'worker-1', zone: 'kigali-a', address: ''});
    const runner = new taskRunner.TaskRunner(workers, {
      permitEnd: () => bench.permitEnd,
      owns: () => true,
    });
    assert.equal(runner.mayPlace('worker-1', 0), false);
    const report = contractSamples.buildReport(OFFSET);
    runner.handle({kind: 'reportArrived', report, sentAt: 0}, 0);
    assert.equal(runner.mayPlace('worker-1', 0), true);
  });
});

nodeTest.describe('reservation', () => {
  nodeTest.test('without a task is reported and given back', () => {
    const bench = new Bench();
    const {label, size} = contractSamples.buildTaskReport('stray', 'stray');
    bench.worker.reserve({task: 'stray', label, size});
    assert.deepEqual(effectsOf(bench.report([]), 'count'), []);
    const [violated] = effectsOf(bench.report([]), 'count');
    assert.deepEqual(violated.labels, {name: 'reservationHasTask'});
    assert.equal(bench.worker.reservations().size, 0);
  });
});

nodeTest.describe('stop', () => {
  nodeTest.test(
    'that meets a start in flight is sent when the start is answered',
    () => {
      const bench = new Bench();
      bench.start();
      assert.deepEqual(bench.runner.stop('id/0.1').effects, []);
      const turn = bench.answerStart('started');
      assert.equal(effectsOf(turn, 'stopTask').length, 1);
    },
  );
});
