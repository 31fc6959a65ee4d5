import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as teamQueue from '../../src/contracts/team_queue.js';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as request from '../../src/contracts/request.js';
import type * as workload from '../../src/contracts/workload.js';

const world = new schedulingHarness.SchedulingHarness();

function add(
  queued: teamQueue.TeamQueue,
  described: workload.Workload,
  now: number,
  changes: Partial<request.Request> = {},
): request.Request {
  const built = world.buildRequest('dispatch', described, now, changes);
  queued.push(built, now);
  return built;
}

function takeNext(
  queued: teamQueue.TeamQueue,
  now: number,
): string | undefined {
  const head = queued.next(() => true, now)?.head();
  if (head !== undefined) queued.take(head, now);
  return head?.identity;
}

const NORMAL = schedulingHarness.buildWorkload({name: 'normal'});
const WORTHY = schedulingHarness.buildWorkload({name: 'worthy', worth: 5});
const URGENT = schedulingHarness.buildWorkload({
  name: 'urgent',
  urgency: 'urgent',
});

nodeTest.describe('order in a team', () => {
  nodeTest.test('urgency goes before worth, and worth before arrival', () => {
    const queued = new teamQueue.TeamQueue('dispatch');
    const first = add(queued, NORMAL, 0);
    const second = add(queued, WORTHY, 1);
    const third = add(queued, URGENT, 2);
    const order = [3, 3, 3].map(now => takeNext(queued, now));
    assert.deepEqual(
      order,
      [third, second, first].map(item => item.identity),
    );
  });

  nodeTest.test(
    'a request past the starvation bound goes first, yet urgent work still ' +
      'gets every second place',
    () => {
      const queued = new teamQueue.TeamQueue('dispatch');
      const old = [0, 1, 2].map(now => add(queued, NORMAL, now));
      const now = teamQueue.STARVATION_BOUND_MS + 10;
      const urgent = [add(queued, URGENT, now), add(queued, URGENT, now)];
      const order = [0, 1, 2, 3].map(() => takeNext(queued, now));
      assert.deepEqual(
        order,
        [old[0], urgent[0], old[1], urgent[1]].map(item => item.identity),
      );
    },
  );

  nodeTest.test('a request put back keeps its place before later ones', () => {
    const queued = new teamQueue.TeamQueue('dispatch');
    const first = add(queued, NORMAL, 0);
    add(queued, NORMAL, 1);
    takeNext(queued, 2);
    queued.putBack(first);
    assert.equal(takeNext(queued, 3), first.identity);
  });
});

nodeTest.describe('leaving a queue', () => {
  nodeTest.test('a wave of cancellations leaves the others in order', () => {
    const queued = new teamQueue.TeamQueue('dispatch');
    const all = Array.from({length: 2_000}, (_, now) =>
      add(queued, NORMAL, now),
    );
    for (const item of all.slice(0, 1_990)) queued.remove(item.identity);
    assert.equal(queued.size, 10);
    const rest = all.slice(1_990).map(() => takeNext(queued, 3_000));
    assert.deepEqual(
      rest,
      all.slice(1_990).map(item => item.identity),
    );
  });

  nodeTest.test('only requests whose latest start has passed expire', () => {
    const queued = new teamQueue.TeamQueue('dispatch');
    const late = add(queued, NORMAL, 0, {startBy: 50});
    add(queued, NORMAL, 0, {startBy: 150});
    const gone = add(queued, NORMAL, 0, {startBy: 40});
    queued.remove(gone.identity);
    assert.deepEqual(queued.takeExpired(100), [late]);
    assert.equal(queued.nextDeadline(), 150);
    assert.equal(queued.size, 1);
  });
});
