import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as request from '../../src/contracts/request.js';
import type * as result from '../../src/result.js';
import type * as team from '../../src/contracts/team.js';
import type * as workload from '../../src/contracts/workload.js';

const PLAN = {
  zones: [
    {name: 'kigali-a', region: 'kigali'},
    {name: 'huye-a', region: 'huye'},
  ],
  workerShapes: [
    {
      capacity: schedulingHarness.buildResources(16_000, 32_768, 0, 8),
      zones: ['kigali-a'],
    },
    {
      capacity: schedulingHarness.buildResources(8_000, 131_072, 4, 8),
      zones: ['huye-a'],
    },
  ],
};

function refusal(
  definition: Partial<workload.Workload>,
  changes: Partial<request.Request> = {},
  teamChanges: Partial<team.Team> = {},
): result.Failure | undefined {
  const harness = new schedulingHarness.SchedulingHarness();
  harness.setPlan(PLAN);
  harness.addTeam(schedulingHarness.buildTeam('dispatch', teamChanges));
  const built = harness.buildRequest(
    'dispatch',
    schedulingHarness.buildWorkload(definition),
    0,
    changes,
  );
  return harness.scheduler.admit(built, 0).swap().toMaybe().extract();
}

nodeTest.describe('impossible requests', () => {
  nodeTest.test('the refusal names the dimension that no worker has', () => {
    const refused = refusal({
      size: schedulingHarness.buildResources(1_000, 200_000),
    });
    assert.equal(refused?.result, 'neverFits');
    assert.match(refused?.detail ?? '', /^memory: 200000 exceeds 131072/);
  });

  nodeTest.test('dimensions that only different workers have are named', () => {
    const refused = refusal({
      size: schedulingHarness.buildResources(12_000, 65_536),
    });
    assert.equal(refused?.result, 'neverFits');
    assert.match(refused?.detail ?? '', /lacks memory on .*; processors on/);
  });

  nodeTest.test('only the shapes of the allowed zones count', () => {
    const size = schedulingHarness.buildResources(1_000, 1_024, 1);
    assert.equal(refusal({size}), undefined);
    const refused = refusal({size, zones: ['kigali-a']});
    assert.match(refused?.detail ?? '', /^accelerators: 1 exceeds 0/);
    const nowhere = refusal({zones: ['musanze-a']});
    assert.match(nowhere?.detail ?? '', /^zones: .* musanze-a/);
  });
});

nodeTest.describe('bounds of a team', () => {
  nodeTest.test(
    'a full queue refuses more without touching other teams',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addTeam(schedulingHarness.buildTeam('flood', {queueLimit: 10}));
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const described = schedulingHarness.buildWorkload();
      assert.equal(harness.admit('flood', described, 50, 0).length, 10);
      assert.equal(harness.admit('dispatch', described, 50, 0).length, 50);
    },
  );

  nodeTest.test('a gang above the quota is refused, not queued forever', () => {
    const refused = refusal(
      {
        kind: 'gang',
        taskCount: 4,
        size: schedulingHarness.buildResources(4_000, 1_024),
      },
      {},
      {quota: schedulingHarness.buildResources(12_000, 1e6, 0, 100)},
    );
    assert.equal(refused?.result, 'quotaExceeded');
    assert.match(refused?.detail ?? '', /^processors: 16000 for 4 tasks/);
  });
});

nodeTest.describe('deadlines', () => {
  nodeTest.test('a passed deadline is refused at once', () => {
    const refused = refusal({}, {startBy: 0});
    assert.equal(refused?.result, 'deadlineUnmeetable');
  });

  nodeTest.test('a deadline before the expected start is refused', () => {
    const harness = new schedulingHarness.SchedulingHarness();
    const machine = harness.addWorkers(
      1,
      schedulingHarness.buildResources(1_000, 1_024),
    )[0];
    harness.addTeam(schedulingHarness.buildTeam('dispatch'));
    const described = schedulingHarness.buildWorkload();
    harness.admit('dispatch', described, 40, 0);
    for (let now = 0; now < 20_000; now += 1_000) {
      for (const task of [...machine.reservations().keys()]) {
        machine.release(task);
      }
      harness.scheduler.place(now);
    }
    const hasty = harness.buildRequest('dispatch', described, 20_000, {
      startBy: 22_000,
    });
    assert.ok(harness.scheduler.admit(hasty, 20_000).isLeft());
    const patient = harness.buildRequest('dispatch', described, 20_000, {
      startBy: 80_000,
    });
    assert.ok(harness.scheduler.admit(patient, 20_000).isRight());
  });
});
