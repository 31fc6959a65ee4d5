import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fleet from '../../src/machines/fleet.js';
import * as contractSamples from '../support/contract_samples.js';
import * as taskRunner from '../../src/machines/task_runner.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as task from '../../src/contracts/task.js';
import type * as workload from '../../src/contracts/workload.js';

/** Offset of the worker's clock from the local clock, in milliseconds. */
const CLOCK_OFFSET_MS = 50_000;

/** Task runner with one worker; the test sets the time and the permit. */
class RunnerFixture {
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
    this.runner.trackReserved({request, task: name, worker: this.worker, size});
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
    const report = contractSamples.buildReport(
      this.now + CLOCK_OFFSET_MS,
      tasks,
    );
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

  advance(milliseconds: number): taskRunner.RunnerOutput {
    this.now += milliseconds;
    return this.handle({kind: 'timePassed'});
  }

  handle(handled: event.Event): taskRunner.RunnerOutput {
    return this.runner.handle(handled, this.now);
  }
}

function outcomeKinds(output: taskRunner.RunnerOutput): ReadonlyArray<string> {
  return output.outcomes.map(outcome => outcome.kind);
}

function effectsOf<Kind extends effect.Effect['kind']>(
  output: taskRunner.RunnerOutput,
  kind: Kind,
): ReadonlyArray<effect.Effect & {readonly kind: Kind}> {
  return output.effects.filter(
    (item): item is effect.Effect & {readonly kind: Kind} => item.kind === kind,
  );
}

nodeTest.describe('start of a task', () => {
  nodeTest.test(
    'carries a lease that ends with the permit; guards against a start of a ' +
      'former owner that arrives late and runs',
    () => {
      const fixture = new RunnerFixture();
      fixture.permitEnd = 2_000;
      const [sent] = effectsOf(fixture.start(), 'startTask');
      assert.ok(sent.start.leaseEnd <= 2_000 + CLOCK_OFFSET_MS);
      assert.ok(sent.start.leaseEnd > 1_900 + CLOCK_OFFSET_MS);
    },
  );

  nodeTest.test(
    'is not sent when the permit ended after the placement; guards against ' +
      'starts from a former owner of the worker',
    () => {
      const fixture = new RunnerFixture();
      fixture.now = 4_000;
      const output = fixture.start();
      assert.deepEqual(outcomeKinds(output), ['notRun']);
      assert.deepEqual(effectsOf(output, 'startTask'), []);
      assert.equal(fixture.worker.reservations().size, 0);
    },
  );

  nodeTest.test(
    'is refused and reported while an earlier start may have run; guards ' +
      'against a second run of a non-idempotent request',
    () => {
      const fixture = new RunnerFixture();
      fixture.start();
      const again = fixture.start({}, 'id/0.2');
      assert.deepEqual(effectsOf(again, 'startTask'), []);
      const [violated] = effectsOf(again, 'count');
      assert.deepEqual(violated.labels, {name: 'startedOnce'});
    },
  );
});

nodeTest.describe('start on a worker without a recent report', () => {
  nodeTest.test(
    'is not sent; guards against new tasks on a worker that has been leaving ' +
      'for seconds while its reports were lost',
    () => {
      const fixture = new RunnerFixture();
      fixture.permitEnd = 60_000;
      fixture.now = 4_001;
      const late = fixture.start();
      assert.equal(effectsOf(late, 'startTask').length, 0);
      assert.deepEqual(outcomeKinds(late), ['notRun']);
      fixture.report([]);
      assert.equal(effectsOf(fixture.start(), 'startTask').length, 1);
    },
  );
});

nodeTest.describe('lost start answer', () => {
  nodeTest.test(
    'leaves the task unknown until the start lease has ended; guards against ' +
      'repeating a start that is still in transit',
    () => {
      const fixture = new RunnerFixture();
      fixture.start();
      assert.deepEqual(outcomeKinds(fixture.answerStart('lost')), ['unknown']);
      fixture.now = 2_900;
      assert.deepEqual(outcomeKinds(fixture.report([])), []);
      fixture.now = 3_100;
      assert.deepEqual(outcomeKinds(fixture.report([])), ['notRun']);
      assert.equal(fixture.worker.reservations().size, 0);
    },
  );

  // Guards against a second run of a task that ran and ended so long ago that
  // reports no longer list it.
  nodeTest.test('is never "not run" once reports may omit ended tasks', () => {
    const fixture = new RunnerFixture();
    fixture.start();
    fixture.answerStart('lost');
    fixture.now = 600_000;
    assert.deepEqual(outcomeKinds(fixture.report([])), []);
  });

  // Guards against a task that runs although the answer to its start was lost,
  // and whose own answer is never fetched.
  nodeTest.test('counts as a start when a report lists the task', () => {
    const fixture = new RunnerFixture();
    fixture.start();
    fixture.answerStart('lost');
    fixture.now = 500;
    const output = fixture.report([
      contractSamples.buildTaskReport('id/0.1', 'id'),
    ]);
    assert.deepEqual(outcomeKinds(output), ['started']);
    assert.equal(effectsOf(output, 'fetchTaskAnswer').length, 1);
  });
});

nodeTest.describe('renewal', () => {
  nodeTest.test(
    'is one message per worker and none without a permit; guards against ' +
      'renewals from a former owner of the worker',
    () => {
      const fixture = new RunnerFixture();
      fixture.start({idempotent: true});
      fixture.start({idempotent: true}, 'id/1.1');
      const listed = ['id/0.1', 'id/1.1'].map(name =>
        contractSamples.buildTaskReport(name, 'id'),
      );
      fixture.report(listed);
      const [renewal, ...more] = effectsOf(fixture.advance(600), 'renewLeases');
      assert.deepEqual(renewal.tasks, ['id/0.1', 'id/1.1']);
      assert.deepEqual(more, []);
      fixture.permitEnd = 0;
      for (let second = 0; second < 12; second += 1) {
        fixture.report(listed);
        assert.deepEqual(effectsOf(fixture.advance(1_000), 'renewLeases'), []);
      }
      assert.ok(fixture.runner.nextDeadline() > fixture.now);
    },
  );
});

nodeTest.describe('task on a silent worker', () => {
  nodeTest.test(
    'keeps its reservation until its lease has ended by the slowest worker ' +
      'clock; guards against a task that runs in two places',
    () => {
      const fixture = new RunnerFixture();
      fixture.start({idempotent: true});
      fixture.answerStart('started');
      fixture.advance(600);
      fixture.permitEnd = Infinity;
      assert.deepEqual(outcomeKinds(fixture.advance(29_900)), []);
      assert.equal(fixture.worker.reservations().size, 1);
      const output = fixture.advance(200);
      assert.deepEqual(outcomeKinds(output), ['ended']);
      assert.equal(fixture.worker.reservations().size, 0);
    },
  );

  nodeTest.test(
    'is not released without a permit, as a new owner may have renewed it',
    () => {
      const fixture = new RunnerFixture();
      fixture.start({idempotent: true});
      fixture.answerStart('started');
      assert.deepEqual(outcomeKinds(fixture.advance(120_000)), []);
    },
  );

  // Guards against a second run of a non-idempotent task that may have run on a
  // worker which no longer reports.
  nodeTest.test(
    'becomes unknown if not idempotent, until a later report decides',
    () => {
      const fixture = new RunnerFixture();
      fixture.start();
      fixture.answerStart('lost');
      fixture.permitEnd = Infinity;
      assert.deepEqual(outcomeKinds(fixture.advance(5_000)), ['unknown']);
      assert.equal(fixture.worker.reservations().size, 0);
      const state = 'finished';
      const listed = contractSamples.buildTaskReport('id/0.1', 'id', {state});
      const output = fixture.report([listed]);
      assert.equal(effectsOf(output, 'fetchTaskAnswer').length, 1);
      assert.deepEqual(outcomeKinds(fixture.answer('id/0.1')), ['ended']);
    },
  );
});

nodeTest.describe('answer of a task', () => {
  // Guards against an answer that is delivered for another task.
  nodeTest.test('is dropped and counted if worker or task is wrong', () => {
    const fixture = new RunnerFixture();
    fixture.start();
    fixture.answerStart('started');
    for (const output of [
      fixture.answer('id/0.1', 'worker-2'),
      fixture.answer('other/0.1'),
    ]) {
      assert.deepEqual(outcomeKinds(output), []);
      assert.equal(effectsOf(output, 'count')[0].metric, 'answer_dropped');
    }
  });

  // Guards against a request that stays open because a fetch was lost.
  nodeTest.test('is fetched again after the first fetch was lost', () => {
    const fixture = new RunnerFixture();
    fixture.start();
    fixture.answerStart('started');
    const lost = {kind: 'taskAnswerLost', worker: 'worker-1'} as const;
    fixture.handle({...lost, task: 'id/0.1'});
    fixture.now = 1_000;
    const state = 'finished';
    const listed = contractSamples.buildTaskReport('id/0.1', 'id', {state});
    const output = fixture.report([listed]);
    assert.equal(effectsOf(output, 'fetchTaskAnswer').length, 1);
    const [ended] = fixture.answer('id/0.1').outcomes;
    assert.equal(ended.kind === 'ended' && ended.answer, 'polished');
  });

  // Guards against a request that waits for a task which its worker no longer
  // knows. A single such report may be a race.
  nodeTest.test(
    'counts as lost when two consecutive reports omit the running task',
    () => {
      const fixture = new RunnerFixture();
      fixture.start();
      fixture.answerStart('started');
      fixture.now = 1_000;
      assert.deepEqual(outcomeKinds(fixture.report([])), []);
      fixture.now = 2_000;
      const [ended] = fixture.report([]).outcomes;
      assert.equal(ended.kind === 'ended' && ended.end, 'answerLost');
    },
  );
});

nodeTest.describe('adoption', () => {
  nodeTest.test(
    'reserves capacity for running tasks at once and releases it at their ' +
      'end; guards against overcommitment of a worker after a takeover',
    () => {
      const fixture = new RunnerFixture();
      const found = contractSamples.buildTaskReport('old/0.1', 'old');
      const output = fixture.report([found]);
      assert.deepEqual(outcomeKinds(output), ['adopted']);
      assert.equal(fixture.worker.reservations().size, 1);
      assert.equal(effectsOf(output, 'fetchTaskAnswer').length, 1);
      fixture.now = 500;
      assert.deepEqual(outcomeKinds(fixture.answer('old/0.1')), ['ended']);
      assert.equal(fixture.worker.reservations().size, 0);
      const late = fixture.report([found], 400);
      assert.deepEqual(
        outcomeKinds(late),
        [],
        'an older report must adopt nothing',
      );
    },
  );

  // Guards against overcommitment by a new owner that does not know yet which
  // tasks run on the worker.
  nodeTest.test('is required before any placement on a worker', () => {
    const fixture = new RunnerFixture();
    const workers = new fleet.Fleet();
    workers.ensure({name: 'worker-1', zone: 'kigali-a', address: ''});
    const runner = new taskRunner.TaskRunner(workers, {
      permitEnd: () => fixture.permitEnd,
      owns: () => true,
    });
    assert.equal(runner.mayPlace('worker-1', 0), false);
    const report = contractSamples.buildReport(CLOCK_OFFSET_MS);
    runner.handle({kind: 'reportArrived', report, sentAt: 0}, 0);
    assert.equal(runner.mayPlace('worker-1', 0), true);
  });
});

nodeTest.describe('reservation', () => {
  // Guards against capacity that stays reserved although no task uses it.
  nodeTest.test('without a task is reported and released', () => {
    const fixture = new RunnerFixture();
    const {label, size} = contractSamples.buildTaskReport('stray', 'stray');
    fixture.worker.reserve({task: 'stray', label, size});
    assert.deepEqual(effectsOf(fixture.report([]), 'count'), []);
    const [violated] = effectsOf(fixture.report([]), 'count');
    assert.deepEqual(violated.labels, {name: 'reservationHasTask'});
    assert.equal(fixture.worker.reservations().size, 0);
  });
});

nodeTest.describe('stop', () => {
  // Guards against a stop that is lost because the worker does not know the
  // task yet.
  nodeTest.test(
    'requested before the start is answered is sent after the answer',
    () => {
      const fixture = new RunnerFixture();
      fixture.start();
      assert.deepEqual(fixture.runner.stop('id/0.1').effects, []);
      const output = fixture.answerStart('started');
      assert.equal(effectsOf(output, 'stopTask').length, 1);
    },
  );
});
