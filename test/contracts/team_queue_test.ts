import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as teamQueue from '../../src/contracts/team_queue.js';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as request from '../../src/contracts/request.js';
import type * as workload from '../../src/contracts/workload.js';

const harness = new schedulingHarness.SchedulingHarness();

function add(
  queue: teamQueue.TeamQueue,
  definition: workload.Workload,
  now: number,
  changes: Partial<request.Request> = {},
): request.Request {
  const built = harness.buildRequest('dispatch', definition, now, changes);
  queue.push(built, now);
  return built;
}

function takeNext(queue: teamQueue.TeamQueue, now: number): string | undefined {
  const head = queue.next(() => true, now)?.head();
  if (head !== undefined) queue.take(head, now);
  return head?.identity;
}

const NORMAL = schedulingHarness.buildWorkload({name: 'normal'});
const WORTHY = schedulingHarness.buildWorkload({name: 'worthy', worth: 5});
const URGENT = schedulingHarness.buildWorkload({
  name: 'urgent',
  urgency: 'urgent',
});

nodeTest.describe('order within a team', () => {
  nodeTest.test(
    'requests are ordered by urgency, then worth, then arrival',
    () => {
      const queue = new teamQueue.TeamQueue('dispatch');
      const first = add(queue, NORMAL, 0);
      const second = add(queue, WORTHY, 1);
      const third = add(queue, URGENT, 2);
      const order = [3, 3, 3].map(now => takeNext(queue, now));
      assert.deepEqual(
        order,
        [third, second, first].map(item => item.identity),
      );
    },
  );

  nodeTest.test(
    'a request past the starvation bound goes first, but urgent requests ' +
      'still get every second placement',
    () => {
      const queue = new teamQueue.TeamQueue('dispatch');
      const old = [0, 1, 2].map(now => add(queue, NORMAL, now));
      const now = teamQueue.STARVATION_BOUND_MS + 10;
      const urgent = [add(queue, URGENT, now), add(queue, URGENT, now)];
      const order = [0, 1, 2, 3].map(() => takeNext(queue, now));
      assert.deepEqual(
        order,
        [old[0], urgent[0], old[1], urgent[1]].map(item => item.identity),
      );
    },
  );

  nodeTest.test(
    'a returned request stays ahead of requests that arrived later',
    () => {
      const queue = new teamQueue.TeamQueue('dispatch');
      const first = add(queue, NORMAL, 0);
      add(queue, NORMAL, 1);
      takeNext(queue, 2);
      queue.putBack(first);
      assert.equal(takeNext(queue, 3), first.identity);
    },
  );
});

nodeTest.describe('removal from a queue', () => {
  nodeTest.test(
    'removing many cancelled requests keeps the order of the others',
    () => {
      const queue = new teamQueue.TeamQueue('dispatch');
      const all = Array.from({length: 2_000}, (_, now) =>
        add(queue, NORMAL, now),
      );
      for (const item of all.slice(0, 1_990)) queue.remove(item.identity);
      assert.equal(queue.size, 10);
      const rest = all.slice(1_990).map(() => takeNext(queue, 3_000));
      assert.deepEqual(
        rest,
        all.slice(1_990).map(item => item.identity),
      );
    },
  );

  nodeTest.test('only requests whose start deadline has passed expire', () => {
    const queue = new teamQueue.TeamQueue('dispatch');
    const late = add(queue, NORMAL, 0, {startBy: 50});
    add(queue, NORMAL, 0, {startBy: 150});
    const gone = add(queue, NORMAL, 0, {startBy: 40});
    queue.remove(gone.identity);
    assert.deepEqual(queue.takeExpired(100), [late]);
    assert.equal(queue.nextDeadline(), 150);
    assert.equal(queue.size, 1);
  });
});
