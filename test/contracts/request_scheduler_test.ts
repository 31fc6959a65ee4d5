import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as nodeTest from 'node:test';
import * as placementPolicy from '../../src/contracts/placement_policy.js';
import * as resources from '../../src/machines/resources.js';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as placement from '../../src/contracts/placement.js';

const SEED = 20_260_401;

/** Size of a task such that eight of them fill a worker. */
const EIGHTH_OF_WORKER = schedulingHarness.buildResources(2_000, 4_096);

function countByTeam(
  placements: ReadonlyArray<placement.Placement>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const placement of placements) {
    const {team} = placement.request;
    counts.set(team, (counts.get(team) ?? 0) + 1);
  }
  return counts;
}

nodeTest.describe('fair shares', () => {
  nodeTest.test(
    'a flood of requests of one team does not block another team',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addWorkers(4);
      harness.addTeam(schedulingHarness.buildTeam('flood'));
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload({
        size: EIGHTH_OF_WORKER,
      });
      harness.admit('flood', definition, 1_000, 0);
      harness.admit('dispatch', definition, 16, 0);
      const counts = countByTeam(harness.scheduler.place(0));
      assert.equal(counts.get('dispatch'), 16);
      assert.equal(counts.get('flood'), 16);
    },
  );

  nodeTest.test(
    'capacity is divided by weight while every team has waiting work',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(fastCheck.integer({min: 1, max: 4}), {
            minLength: 2,
            maxLength: 5,
          }),
          weights => {
            const harness = new schedulingHarness.SchedulingHarness();
            harness.addWorkers(20);
            const definition = schedulingHarness.buildWorkload({
              size: EIGHTH_OF_WORKER,
            });
            weights.forEach((share, index) => {
              harness.addTeam(
                schedulingHarness.buildTeam(`team-${index}`, {share}),
              );
              harness.admit(`team-${index}`, definition, 200, 0);
            });
            const counts = countByTeam(harness.scheduler.place(0));
            const sum = weights.reduce((left, right) => left + right, 0);
            weights.forEach((share, index) => {
              const expected = (160 * share) / sum;
              const got = counts.get(`team-${index}`) ?? 0;
              assert.ok(
                Math.abs(got - expected) <= share + 1,
                `${got} of ${expected}`,
              );
            });
          },
        ),
        {seed: SEED, numRuns: 30},
      );
    },
  );

  nodeTest.test('work that may not borrow stays within its quota', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    harness.addWorkers(2);
    const quota = schedulingHarness.buildResources(6_000, 1e6, 0, 100);
    harness.addTeam(schedulingHarness.buildTeam('dispatch', {quota}));
    const order = schedulingHarness.buildWorkload({
      size: EIGHTH_OF_WORKER,
      idempotent: false,
    });
    harness.admit('dispatch', order, 8, 0);
    assert.equal(harness.scheduler.place(0).length, 3);
  });

  nodeTest.test(
    'the lending reserve stays free for a team below its fair share',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addWorkers(5);
      harness.addTeam(schedulingHarness.buildTeam('flood'));
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload({
        size: EIGHTH_OF_WORKER,
      });
      harness.admit('dispatch', definition, 1, 0);
      harness.admit('flood', definition, 100, 0);
      assert.equal(harness.scheduler.place(0).length, 38);
      harness.admit('dispatch', definition, 2, 1);
      assert.equal(harness.scheduler.place(1).length, 2);
    },
  );
});

nodeTest.describe('reclaiming', () => {
  function floodedHarness(): schedulingHarness.SchedulingHarness {
    const harness = new schedulingHarness.SchedulingHarness();
    harness.addWorkers(2);
    harness.addTeam(schedulingHarness.buildTeam('flood'));
    harness.addTeam(schedulingHarness.buildTeam('dispatch'));
    const definition = schedulingHarness.buildWorkload({
      size: EIGHTH_OF_WORKER,
    });
    harness.admit('flood', definition, 100, 0);
    harness.scheduler.place(0);
    return harness;
  }

  nodeTest.test(
    'urgent work within its quota has a borrowing task checkpointed and ' +
      'receives the capacity of that task',
    () => {
      const harness = floodedHarness();
      const urgent = schedulingHarness.buildWorkload({
        name: 'kiln',
        urgency: 'urgent',
        size: EIGHTH_OF_WORKER,
      });
      harness.admit('dispatch', urgent, 1, 10);
      assert.equal(harness.scheduler.place(10).length, 0);
      const [intervention, ...more] = harness.scheduler.takeInterventions();
      assert.equal(intervention.kind, 'checkpoint');
      assert.equal(more.length, 0);
      intervention.worker.release(intervention.task);
      const [placed] = harness.scheduler.place(20);
      assert.equal(placed.request.team, 'dispatch');
      assert.equal(placed.worker, intervention.worker);
    },
  );

  nodeTest.test(
    'a flood of urgent work reclaims no more than its fair share',
    () => {
      const harness = floodedHarness();
      const urgent = schedulingHarness.buildWorkload({
        urgency: 'urgent',
        size: EIGHTH_OF_WORKER,
      });
      harness.admit('dispatch', urgent, 100, 10);
      harness.scheduler.place(10);
      const interventions = harness.scheduler.takeInterventions();
      assert.ok(
        interventions.length <= 8,
        `${interventions.length} tasks of 16 were checkpointed`,
      );
      assert.ok(
        interventions.length >= 6,
        `${interventions.length} tasks of 16 were checkpointed`,
      );
    },
  );
});

nodeTest.describe('placement', () => {
  nodeTest.test(
    'no sequence of admissions and task ends overcommits a worker',
    () => {
      const step = fastCheck.record({
        processors: fastCheck.integer({min: 1, max: 20_000}),
        memory: fastCheck.integer({min: 1, max: 40_000}),
        count: fastCheck.integer({min: 1, max: 6}),
        kind: fastCheck.constantFrom('batch', 'gang', 'service'),
        urgent: fastCheck.boolean(),
        ends: fastCheck.integer({min: 0, max: 5}),
      });
      fastCheck.assert(
        fastCheck.property(fastCheck.array(step, {maxLength: 40}), steps => {
          const harness = new schedulingHarness.SchedulingHarness();
          const workers = harness.addWorkers(6);
          const names = ['one', 'two'];
          for (const name of names) {
            harness.addTeam(schedulingHarness.buildTeam(name));
          }
          const running: placement.Placement[] = [];
          steps.forEach((item, index) => {
            const now = index * 150;
            const definition = schedulingHarness.buildWorkload({
              kind: item.kind,
              urgency: item.urgent ? 'urgent' : 'normal',
              size: schedulingHarness.buildResources(
                item.processors,
                item.memory,
              ),
              taskCount: item.count,
            });
            harness.admit(names[index % 2], definition, 2, now);
            running.push(...harness.scheduler.place(now));
            for (const intervention of harness.scheduler.takeInterventions()) {
              const found = running.findIndex(
                task => task.task === intervention.task,
              );
              harness.end(running.splice(found, 1)[0], false, now);
            }
            for (const ended of running.splice(0, item.ends)) {
              harness.end(ended, false, now);
            }
            for (const target of workers) {
              assert.ok(resources.fits(resources.NONE, target.free));
            }
          });
          assert.deepEqual(harness.scheduler.takeViolations(), []);
        }),
        {seed: SEED, numRuns: 60},
      );
    },
  );

  nodeTest.test(
    'a large request at the head does not block requests that fit',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addWorkers(1);
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const large = schedulingHarness.buildWorkload({
        name: 'large',
        worth: 9,
        size: schedulingHarness.buildResources(15_000, 1_024),
      });
      const small = schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER});
      harness.admit('dispatch', small, 1, 0);
      harness.scheduler.place(0);
      harness.admit('dispatch', large, 1, 1);
      harness.admit('dispatch', small, 2, 1);
      const placed = harness.scheduler.place(1);
      assert.deepEqual(
        placed.map(item => item.request.workload.name),
        ['inspection', 'inspection'],
      );
    },
  );

  nodeTest.test(
    'no task is placed on a leaving worker or one without a permit',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      const [withoutPermit, leaving, available] = harness.addWorkers(3);
      harness.denyPlacement(withoutPermit.name);
      leaving.markLeaving();
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      harness.admit(
        'dispatch',
        schedulingHarness.buildWorkload({size: EIGHTH_OF_WORKER}),
        20,
        0,
      );
      const placed = harness.scheduler.place(0);
      assert.equal(placed.length, 8);
      assert.ok(placed.every(item => item.worker === available));
    },
  );
});

nodeTest.describe('learned sizes', () => {
  nodeTest.test(
    'five tasks suffice to correct sizes declared ten times too large',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      const [target] = harness.addWorkers(
        1,
        schedulingHarness.buildResources(16_000, 32_768, 0, 64),
      );
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload({
        size: schedulingHarness.buildResources(10_000, 20_480),
      });
      for (let index = 0; index < 5; index += 1) {
        const now = index * 1_000;
        harness.admit('dispatch', definition, 1, now);
        const [placed] = harness.scheduler.place(now);
        report(
          harness,
          placed,
          schedulingHarness.buildResources(1_000, 2_048),
          now,
        );
        harness.end(placed, false, now + 500);
      }
      harness.admit('dispatch', definition, 20, 9_000);
      assert.equal(harness.scheduler.place(9_000).length, 16);
      assert.equal(target.overcommitted, false);
    },
  );

  nodeTest.test(
    'usage above the reservation is reserved at once, and the task of an ' +
      'overcommitted worker is throttled, checkpointed and then stopped',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      const [target] = harness.addWorkers(1);
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload({
        size: schedulingHarness.buildResources(8_000, 8_192),
      });
      harness.admit('dispatch', definition, 2, 0);
      const [first] = harness.scheduler.place(0);
      const kinds: string[] = [];
      for (const now of [1_000, 7_000, 13_000]) {
        report(
          harness,
          first,
          schedulingHarness.buildResources(8_000, 30_000),
          now,
        );
        for (const intervention of harness.scheduler.takeInterventions()) {
          kinds.push(intervention.kind);
        }
      }
      assert.deepEqual(kinds, ['throttle', 'checkpoint', 'stop']);
      assert.equal(target.overcommitted, true);
      assert.equal(harness.scheduler.takeViolations()[0].cause, 'resize');
    },
  );

  function report(
    harness: schedulingHarness.SchedulingHarness,
    placed: placement.Placement,
    usage: resources.Resources,
    now: number,
  ): void {
    const {worker: target, task, size} = placed;
    const label = target.reservations().get(task)?.label;
    assert.ok(label !== undefined);
    harness.scheduler.observeReport(
      {
        worker: target.name,
        workerClock: now,
        capacity: target.capacity,
        rack: target.rack,
        leaving: false,
        tasks: [{task, label, state: 'running', size, usage, leaseEnd: 1e9}],
      },
      now,
    );
  }
});

nodeTest.describe('adopted tasks', () => {
  nodeTest.test('adopted tasks can be reclaimed like placed tasks', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    const [target] = harness.addWorkers(1);
    const definition = schedulingHarness.buildWorkload({
      size: EIGHTH_OF_WORKER,
    });
    harness.addTeam(
      schedulingHarness.buildTeam('flood', {workloads: [definition]}),
    );
    harness.addTeam(schedulingHarness.buildTeam('dispatch'));
    for (let index = 0; index < 8; index += 1) {
      const built = harness.buildRequest('flood', definition, 0);
      const label = placementPolicy.buildTaskLabel(built);
      const task = `${built.identity}/0.1`;
      target.adopt({task, label, size: EIGHTH_OF_WORKER});
      const reference = {task, label, worker: target.name};
      harness.scheduler.observeOutcome({kind: 'adopted', reference}, 0);
    }
    const urgent = {...definition, urgency: 'urgent' as const};
    harness.admit('dispatch', urgent, 1, 1);
    harness.scheduler.place(1);
    assert.equal(harness.scheduler.takeInterventions()[0].kind, 'checkpoint');
  });
});

nodeTest.describe('requeued tasks', () => {
  nodeTest.test(
    'tasks of one request that return one by one are placed once each',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addWorkers(2);
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const watch = schedulingHarness.buildWorkload({
        kind: 'service',
        size: EIGHTH_OF_WORKER,
      });
      const lost = harness.buildRequest('dispatch', watch, 0);
      for (let task = 0; task < 3; task += 1) harness.scheduler.requeue(lost);
      assert.equal(harness.scheduler.place(0).length, 3);
      assert.equal(harness.scheduler.waitingCount(), 0);
    },
  );

  nodeTest.test(
    'starts abandoned before they were sent do not block the worker',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addWorkers(1);
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload({
        size: EIGHTH_OF_WORKER,
      });
      harness.admit('dispatch', definition, 8, 0);
      for (let round = 0; round < 20; round += 1) {
        const placed = harness.scheduler.place(round * 200);
        assert.equal(placed.length, 8, `round ${round}`);
        for (const abandoned of placed) {
          abandoned.worker.release(abandoned.task);
          harness.scheduler.requeue(abandoned.request);
        }
      }
    },
  );
});

nodeTest.describe('many workloads that cannot be placed', () => {
  nodeTest.test('do not prevent the placement of a request that fits', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    harness.addWorkers(1);
    harness.addTeam(schedulingHarness.buildTeam('dispatch'));
    const small = schedulingHarness.buildWorkload({
      worth: 0,
      size: EIGHTH_OF_WORKER,
    });
    harness.admit('dispatch', small, 1, 0);
    harness.scheduler.place(0);
    for (let kind = 0; kind < 100; kind += 1) {
      const size = schedulingHarness.buildResources(15_900 - kind, 1_024);
      const large = schedulingHarness.buildWorkload({
        name: `large-${kind}`,
        size,
      });
      harness.admit('dispatch', large, 1, 1);
    }
    harness.admit('dispatch', small, 1, 1);
    let cycleCount = 1;
    while (harness.scheduler.place(cycleCount).length === 0) {
      cycleCount += 1;
      assert.ok(
        cycleCount < 20,
        'the small task was not placed within 20 cycles',
      );
    }
  });
});
